package cmds

import (
	"fmt"
	"io"
	"os"

	"teaselplank/triage"
)

// explain prints the history of a request from the logs of entry hosts.
type explain struct {
	Request string   `arg:"" optional:"" help:"Request id."`
	Files   []string `arg:"" optional:"" type:"existingfile" help:"Log files of the entry hosts; by default standard input."`
	Summary bool     `help:"Count all failed requests by their first cause. All arguments are then log files."`
}

// Run implements the subcommand.
func (c *explain) Run(s *streams) error {
	files := c.Files
	if c.Summary && c.Request != "" {
		files = append([]string{c.Request}, files...)
	}
	if !c.Summary && c.Request == "" {
		return fmt.Errorf("request id is missing")
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
	return c.printHistory(s.out, triage.ForRequest(lines, c.Request))
}

func (c *explain) printHistory(out io.Writer, lines []triage.Line) error {
	if len(lines) == 0 {
		return fmt.Errorf("logs have no line for request %q", c.Request)
	}
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	if cause, failed := triage.FirstCause(lines); failed {
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
		fileLines, err := triage.Read(f, name)
		f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}
