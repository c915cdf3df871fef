package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorClient holds the connection flags of operator subcommands and sends their
// requests.
type operatorClient struct {
	Node  string `required:"" env:"TEASELPLANK_NODE" help:"Address of the node's listener for operators."`
	Token string `required:"" env:"TEASELPLANK_OPERATOR_TOKEN" help:"Credential for that listener."`
}

// Limits of an operator request.
const (
	operatorTimeout  = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// do sends a request and returns the body of the response. It returns an error if the
// status is not 200.
func (o *operatorClient) do(method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+o.Node+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request to node %q: %w", o.Node, err)
	}
	r.Header.Set("Authorization", "Bearer "+o.Token)
	client := http.Client{Timeout: operatorTimeout}
	response, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("send request to node %q: %w", o.Node, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response from node %q: %w", o.Node, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node %q returned status %s: %s", o.Node, response.Status, bytes.TrimSpace(data))
	}
	return data, nil
}

// get sends a GET request and decodes the JSON response into result.
func (o *operatorClient) get(path string, result any) error {
	data, err := o.do(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode response from node %q: %w", o.Node, err)
	}
	return nil
}
