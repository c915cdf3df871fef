package cmds

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"teaselplank/server"
)

// status prints the state of a node and its view of the other nodes.
type status struct {
	operatorClient
	JSON bool `help:"Print JSON."`
}

// Run implements the subcommand.
func (c *status) Run(s *streams) error {
	var status server.Status
	if err := c.get("/v1/status", &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, status)
	}
	ready := "ready"
	if !status.Ready {
		ready = "not ready: " + status.Reason
	}
	fmt.Fprintf(s.out, "%s: %s, rules %d, %d calls\n", status.Node, ready, status.Version, status.Calls)
	table := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tSTATE\tRULES")
	for _, n := range status.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", n.ID, n.Zone, n.State, n.Version)
	}
	return table.Flush()
}

func printJSON(s *streams, value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
