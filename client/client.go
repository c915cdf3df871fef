// Package client implements a client for callers of the system. It sends each request
// once and never retries: the caller decides from the outcome whether and when to retry.
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

// New returns a client that sends the given credential.
func New(token string) *Client {
	return &Client{token: token, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerNode}}}
}

const maxIdleConnsPerNode = 64

// A Request is a call of a pipeline or a service.
type Request struct {
	// Exactly one of Pipeline and Service is set.
	Pipeline string
	Service  string
	Input    string
	Prefix   string
	// MaxTokens is the maximum number of tokens to generate; 0 means the pipeline's limit.
	MaxTokens int
	// Key is an idempotency key or empty.
	Key string
	// Deadline shortens the deadline in the rules; 0 keeps that deadline.
	Deadline time.Duration
	// Stream requests a stream of tokens. OnToken is called with the text of each token
	// as it arrives.
	Stream  bool
	OnToken func(text string)
}

// encode returns the path and the body of the request.
func (q *Request) encode() (string, []byte, error) {
	if q.Service != "" {
		return "/v1/services/" + q.Service, []byte(q.Input), nil
	}
	body, err := json.Marshal(wire.PipelineCall{Input: q.Input, MaxTokens: q.MaxTokens, Prefix: q.Prefix, Stream: q.Stream})
	if err != nil {
		return "", nil, fmt.Errorf("encode request: %w", err)
	}
	return "/v1/pipelines/" + q.Pipeline, body, nil
}

// maxAnswerBytes is the maximum size of an answer in bytes.
const maxAnswerBytes = 64 << 20

// Send calls a node and returns its final answer. An error means that there is no valid
// final answer, so the outcome is unknown.
func (c *Client) Send(ctx context.Context, node string, q Request) (wire.Answer, error) {
	path, body, err := q.encode()
	if err != nil {
		return wire.Answer{}, err
	}
	// net/http cannot rewind this body, so it never sends the request twice.
	reader := struct{ io.Reader }{strings.NewReader(string(body))}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, reader)
	if err != nil {
		return wire.Answer{}, fmt.Errorf("create request to node %q: %w", node, err)
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
		return readStream(node, response.Body, q.OnToken)
	}
	var answer wire.Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return wire.Answer{}, fmt.Errorf("decode answer from node %q (%s): %w", node, response.Status, err)
	}
	return answer, nil
}

// NewKey requests an idempotency key that is bound to the node.
func (c *Client) NewKey(ctx context.Context, node string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/keys", nil)
	if err != nil {
		return "", fmt.Errorf("create request to node %q: %w", node, err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil {
		return "", fmt.Errorf("call node %q: %w", node, err)
	}
	defer response.Body.Close()
	var reply struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&reply); err != nil {
		return "", fmt.Errorf("decode key from node %q (%s): %w", node, response.Status, err)
	}
	return reply.Key, nil
}

// ErrNoFinalAnswer is returned for a stream that ends without a final answer.
var ErrNoFinalAnswer = errors.New("stream ended without a final answer")

// readStream reads server-sent events up to the final answer. It returns an error if a
// token is missing.
func readStream(node string, body io.Reader, onToken func(string)) (wire.Answer, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswerBytes)
	event, nextIndex := "", 0
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
			return decodeFinalAnswer(node, data, text.String())
		}
		var token struct {
			Index int    `json:"index"`
			Text  string `json:"text"`
		}
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return wire.Answer{}, fmt.Errorf("decode token from node %q: %w", node, err)
		}
		if token.Index != nextIndex {
			return wire.Answer{}, fmt.Errorf("node %q sent token %d, want token %d", node, token.Index, nextIndex)
		}
		nextIndex++
		text.WriteString(token.Text)
		if onToken != nil {
			onToken(token.Text)
		}
	}
	return wire.Answer{}, fmt.Errorf("node %q after token %d: %w", node, nextIndex, ErrNoFinalAnswer)
}

func decodeFinalAnswer(node, data, text string) (wire.Answer, error) {
	var answer wire.Answer
	if err := json.Unmarshal([]byte(data), &answer); err != nil {
		return answer, fmt.Errorf("decode answer from node %q: %w", node, err)
	}
	if answer.Outcome == wire.Done && text != "" && answer.Output != text {
		return answer, fmt.Errorf("node %q: streamed tokens differ from the final answer", node)
	}
	return answer, nil
}
