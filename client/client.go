// Package client is a caller's client of the system. It sends each request once;
// whether and when to ask again is the caller's decision, guided by the outcome.
package client

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"teaselplank/wire"
)

// A Client calls nodes with the credential of one client account.
type Client struct {
	token string
	http  *http.Client
}

// New returns a client with the given credential.
func New(token string) *Client {
	return &Client{token: token, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerNode}}}
}

const idlePerNode = 64

// A Request is a call of a pipeline or a service.
type Request struct {
	// Pipeline or Service is set.
	Pipeline string
	Service  string
	Input    string
	Prefix   string
	// Tokens bounds what is generated; 0 leaves it to the pipeline.
	Tokens int
	// Key is an idempotency key, or empty.
	Key string
	// Deadline shortens that of the rules; 0 leaves it.
	Deadline time.Duration
	// Stream asks for tokens as they come; each is passed to Each.
	Stream bool
	Each   func(text string)
}

// body returns the path and the body of a request.
func (q *Request) body() (string, []byte, error) {
	if q.Service != "" {
		return "/v1/services/" + q.Service, []byte(q.Input), nil
	}
	body, err := json.Marshal(wire.PipelineCall{Input: q.Input, MaxTokens: q.Tokens, Prefix: q.Prefix, Stream: q.Stream})
	if err != nil {
		return "", nil, fmt.Errorf("encode call: %w", err)
	}
	return "/v1/pipelines/" + q.Pipeline, body, nil
}

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

// Send makes a call to a node and returns its final answer. An error means that
// there was none, so that the outcome is not known.
func (c *Client) Send(ctx context.Context, node string, q Request) (wire.Answer, error) {
	path, body, err := q.body()
	if err != nil {
		return wire.Answer{}, err
	}
	// The body cannot be replayed, so net/http sends a call once only.
	reader := struct{ io.Reader }{strings.NewReader(string(body))}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, reader)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("build call to node %q: %w", node, err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer "+c.token)
	if q.Key != "" {
		r.Header.Set(wire.HeaderKey, q.Key)
	}
	if q.Deadline > 0 {
		r.Header.Set(wire.HeaderDeadline, q.Deadline.String())
	}
	response, err := c.http.Do(r)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("call node %q: %w", node, err)
	}
	defer response.Body.Close()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(node, response.Body, q.Each)
	}
	var answer wire.Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer); err != nil {
		return wire.Answer{}, fmt.Errorf("decode answer of node %q (%s): %w", node, response.Status, err)
	}
	return answer, nil
}

// NewKey asks a node for a key that is bound to it.
func (c *Client) NewKey(ctx context.Context, node string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/keys", nil)
	if err != nil {
		return "", fmt.Errorf("build call to node %q: %w", node, err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil {
		return "", fmt.Errorf("call node %q: %w", node, err)
	}
	defer response.Body.Close()
	var issued struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&issued); err != nil {
		return "", fmt.Errorf("decode key of node %q (%s): %w", node, response.Status, err)
	}
	return issued.Key, nil
}

// ErrCut is the failure of a stream that ends without a final answer.
var ErrCut = errors.New("stream ended without a final answer")

// readStream reads server-sent events up to the final answer and checks that no
// token is missing.
func readStream(node string, body io.Reader, each func(string)) (wire.Answer, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswer)
	event, next := "", 0
	var text strings.Builder
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "answer" {
			return endOfStream(node, data, text.String())
		}
		var token struct {
			Index int    `json:"index"`
			Text  string `json:"text"`
		}
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return wire.Answer{}, fmt.Errorf("decode token of node %q: %w", node, err)
		}
		if token.Index != next {
			return wire.Answer{}, fmt.Errorf("node %q sent token %d in place of %d", node, token.Index, next)
		}
		next++
		text.WriteString(token.Text)
		if each != nil {
			each(token.Text)
		}
	}
	return wire.Answer{}, fmt.Errorf("node %q after token %d: %w", node, next, ErrCut)
}

func endOfStream(node, data, text string) (wire.Answer, error) {
	var answer wire.Answer
	if err := json.Unmarshal([]byte(data), &answer); err != nil {
		return answer, fmt.Errorf("decode answer of node %q: %w", node, err)
	}
	if answer.Outcome == wire.Done && text != "" && answer.Output != text {
		return answer, fmt.Errorf("node %q: tokens do not make up the answer", node)
	}
	return answer, nil
}
