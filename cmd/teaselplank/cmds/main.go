// Package cmds holds the subcommands of teaselplank, one a file. A failure is
// reported on the error stream and ends with status 1, wrong usage with 2.
package cmds

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// The exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// streams is where a subcommand writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands is the command line.
type commands struct {
	Serve   serve      `cmd:"" help:"Run a node."`
	Entry   entry      `cmd:"" help:"Run an entry host of a deployment."`
	Explain explain    `cmd:"" help:"Tell the story of a request from the logs of entry hosts."`
	Rules   rulesGroup `cmd:"" help:"Check, show and publish rules."`
	Dump    dump       `cmd:"" help:"Print the whole state of a node as JSON."`
	Status  status     `cmd:"" help:"Print how a node is and what it sees of the others."`
	Call    call       `cmd:"" help:"Call a pipeline or a service."`
	Load    load       `cmd:"" help:"Put a bounded load on a pipeline or a service."`
	Version version    `cmd:"" help:"Print the version."`
}

type rulesGroup struct {
	Check   rulesCheck   `cmd:"" help:"Check a rules file."`
	Show    rulesShow    `cmd:"" help:"Print the rules that a node has in force."`
	Publish rulesPublish `cmd:"" help:"Publish an edited rules file."`
	Log     rulesLog     `cmd:"" help:"Print the changes of the rules in the platform's log."`
}

// Main runs the subcommand that the arguments name and returns the exit status.
func Main(args []string, out, errors io.Writer) int {
	var c commands
	status := -1
	parser, err := kong.New(&c,
		kong.Name("teaselplank"),
		kong.Description("Serves multi-stage model pipelines on donated hosts."),
		kong.Writers(out, errors),
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
		return exitFailure
	}
	return 0
}
