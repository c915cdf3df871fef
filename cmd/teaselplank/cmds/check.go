package cmds

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"teaselplank/check"
	"teaselplank/fleet"
	"teaselplank/platform"
)

// checkConfig compares two configurations of a deployment. It needs no node.
type checkConfig struct {
	Old  string `arg:"" help:"File with the configuration in force."`
	New  string `arg:"" help:"File with the configuration to check."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// errFindings means that a configuration has findings, which are printed.
var errFindings = errors.New("configuration has findings")

// A usageError makes a subcommand exit with the status of invalid usage.
type usageError struct{ error }

func isUsage(err error) bool {
	var usage usageError
	return errors.As(err, &usage)
}

// Run implements the subcommand.
func (c *checkConfig) Run(s *streams) error {
	old, err := readConfig(c.Old)
	if err != nil {
		return usageError{err}
	}
	updated, err := readConfig(c.New)
	if err != nil {
		return usageError{err}
	}
	report := check.Compare(old, updated)
	if err := c.print(s, report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return fmt.Errorf("%s: %w", c.New, errFindings)
	}
	return nil
}

func (c *checkConfig) print(s *streams, report check.Report) error {
	if c.JSON {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
		return nil
	}
	for _, f := range report.Findings {
		fmt.Fprintf(s.out, "%s: %s: %s\n", f.Kind, f.Entry, f.Text)
	}
	for _, change := range report.Changes {
		fmt.Fprintf(s.out, "differs: %s: %s\n", change.Entry, change.Text)
	}
	return nil
}

func readConfig(file string) (fleet.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return fleet.Config{}, fmt.Errorf("read configuration: %w", err)
	}
	config, err := platform.Adapter{}.ParseConfig(data)
	if err != nil {
		return fleet.Config{}, fmt.Errorf("%s: %w", file, err)
	}
	return config, nil
}
