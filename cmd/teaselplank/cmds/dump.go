package cmds

import (
	"fmt"
	"net/http"
)

// dump prints the whole state of a node.
type dump struct {
	operatorClient
}

// Run implements the subcommand.
func (c *dump) Run(s *streams) error {
	data, err := c.do(http.MethodGet, "/v1/dump", nil)
	if err != nil {
		return err
	}
	_, err = s.out.Write(data)
	if err != nil {
		return fmt.Errorf("write dump: %w", err)
	}
	return nil
}
