package cmds

import (
	"fmt"
	"io"
	"os"

	"teaselplank/triage"
)

// explain tells the story of a request from the logs of entry hosts.
type explain struct {
	Request string   `arg:"" optional:"" help:"The request's id."`
	Files   []string `arg:"" optional:"" type:"existingfile" help:"Logs of the hosts; by default the standard input."`
	Summary bool     `help:"Count all failed requests by their first cause. The first argument is then a log, too."`
}

// Run implements the subcommand.
func (c *explain) Run(s *streams) error {
	files := c.Files
	if c.Summary && c.Request != "" {
		files = append([]string{c.Request}, files...)
	}
	if !c.Summary && c.Request == "" {
		return fmt.Errorf("no request is named")
	}
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	if c.Summary {
		for _, count := range triage.Summary(lines) {
			fmt.Fprintf(s.out, "%6d  %s (such as %s)\n", count.Count, count.Cause, count.Example)
		}
		return nil
	}
	return c.tell(s.out, triage.ForRequest(lines, c.Request))
}

func (c *explain) tell(out io.Writer, own []triage.Line) error {
	if len(own) == 0 {
		return fmt.Errorf("logs have no line about request %q", c.Request)
	}
	for _, l := range own {
		fmt.Fprintln(out, l)
	}
	if cause, failed := triage.FirstCause(own); failed {
		fmt.Fprintf(out, "first cause: %s\n", cause)
	}
	return nil
}

func readLogs(files []string) ([]triage.Line, error) {
	if len(files) == 0 {
		return triage.Read(os.Stdin, "stdin")
	}
	var lines []triage.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		own, err := triage.Read(f, name)
		f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, own...)
	}
	return lines, nil
}
