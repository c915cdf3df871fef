package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator says which node an operator's subcommand speaks to.
type operator struct {
	Node  string `required:"" env:"TEASELPLANK_NODE" help:"Address of the node's listener for operators."`
	Token string `required:"" env:"TEASELPLANK_OPERATOR_TOKEN" help:"Credential of that listener."`
}

// The bounds of an operator's request.
const (
	operatorTimeout = 30 * time.Second
	maxAnswer       = 64 << 20
)

// do sends a request and returns the body of the answer.
func (o *operator) do(method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+o.Node+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request to node %q: %w", o.Node, err)
	}
	r.Header.Set("Authorization", "Bearer "+o.Token)
	client := http.Client{Timeout: operatorTimeout}
	answer, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask node %q: %w", o.Node, err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read answer of node %q: %w", o.Node, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node %q answered %s: %s", o.Node, answer.Status, bytes.TrimSpace(data))
	}
	return data, nil
}

// get decodes the JSON of an answer into to.
func (o *operator) get(path string, to any) error {
	data, err := o.do(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, to); err != nil {
		return fmt.Errorf("decode answer of node %q: %w", o.Node, err)
	}
	return nil
}
