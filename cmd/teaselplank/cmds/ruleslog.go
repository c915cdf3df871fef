package cmds

import (
	"context"
	"fmt"
	"time"

	"teaselplank/infra"
	"teaselplank/rules"
)

// rulesLog prints the retained records of the rules stream.
type rulesLog struct {
	Platform string `required:"" env:"TEASELPLANK_PLATFORM" help:"URL of the platform."`
	JSON     bool   `help:"Print JSON."`
}

const platformTimeout = 5 * time.Second

// Run implements the subcommand.
func (c *rulesLog) Run(s *streams) error {
	log := infra.NewClient(c.Platform, platformTimeout)
	var replica rules.Replica
	for {
		page, err := log.Read(context.Background(), rules.Stream, replica.Next())
		if err != nil {
			return err
		}
		replica.Fold(page)
		for _, r := range page.Records {
			entry, err := rules.Describe(&replica, r)
			if err != nil {
				return err
			}
			if err := c.print(s, entry); err != nil {
				return err
			}
		}
		if len(page.Records) == 0 || replica.Next() >= page.End {
			return nil
		}
	}
}

func (c *rulesLog) print(s *streams, e rules.LogEntry) error {
	if c.JSON {
		return printJSON(s, e)
	}
	fmt.Fprintf(s.out, "%d  %s  %s  %s\n", e.Offset, e.Time.UTC().Format(time.RFC3339), e.Who, e.Verdict)
	for _, edit := range e.Edits {
		fmt.Fprintf(s.out, "    %s\n", edit)
	}
	return nil
}
