// Package cmds implements the subcommands of teaselplank. A subcommand that fails prints
// the error to the error stream and exits with status 1; invalid usage exits with status
// 2.
package cmds

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"teaselplank/platform"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// streams holds the output streams of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

// commandLine defines the subcommands.
type commandLine struct {
	Serve   serve         `cmd:"" help:"Run a node."`
	Entry   entry         `cmd:"" help:"Run an entry host of a deployment."`
	Check   checkConfig   `cmd:"" help:"Check a configuration of a deployment, and compare it with another one."`
	Explain explain       `cmd:"" help:"Print the history of a request from the logs of entry hosts."`
	Rules   rulesCommands `cmd:"" help:"Check, show and publish rules."`
	Dump    dump          `cmd:"" help:"Print the whole state of a node as JSON."`
	Status  status        `cmd:"" help:"Print the state of a node and its view of the other nodes."`
	Call    call          `cmd:"" help:"Call a pipeline or a service."`
	Load    load          `cmd:"" help:"Call a pipeline or a service at a fixed rate for a limited time."`
	Version version       `cmd:"" help:"Print the version."`
}

type rulesCommands struct {
	Check   rulesCheck   `cmd:"" help:"Check a rules file."`
	Show    rulesShow    `cmd:"" help:"Print the rules in force on a node."`
	Publish rulesPublish `cmd:"" help:"Publish an edited rules file."`
	Log     rulesLog     `cmd:"" help:"Print the rule changes in the platform's log."`
}

// Main runs the subcommand given by the arguments and returns the exit status.
func Main(args []string, out, errors io.Writer) int {
	var c commandLine
	status := -1
	parser, err := kong.New(&c,
		kong.Name("teaselplank"),
		kong.Description("Serves multi-stage model pipelines on donated hosts."),
		kong.Writers(out, errors),
		kong.Vars{"settings_variable": platform.SettingsVariable},
		kong.Exit(func(code int) { status = code }),
		kong.Bind(&streams{out, errors}),
	)
	if err != nil {
		fmt.Fprintf(errors, "teaselplank: %v\n", err)
		return exitFailure
	}
	ctx, err := parser.Parse(args)
	if status >= 0 {
		return status
	}
	if err != nil {
		fmt.Fprintf(errors, "teaselplank: %v\n", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(errors, "teaselplank: %v\n", err)
		if isUsage(err) {
			return exitUsage
		}
		return exitFailure
	}
	return 0
}
