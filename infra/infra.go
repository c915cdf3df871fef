// Package infra is the client of the platform's services: the append-only log, the host
// list and the store of model weights. Each service is an interface, so that tests and
// programs that embed the system can provide their own implementation.
package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"teaselplank/wire"
)

// A Log is an append-only log of streams. The offset of a record never changes. Records
// are deleted, oldest first, when the retention time of the log has passed.
type Log interface {
	// Append adds a record and returns its offset. If it returns an error, the
	// record may still have been appended.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns retained records starting at an offset. It may return only
	// some of them.
	Read(ctx context.Context, stream string, from int64) (wire.Page, error)
}

// A Directory lists the hosts of the platform. The list may be stale.
type Directory interface {
	Hosts(ctx context.Context) ([]wire.Host, error)
}

// Weights is a rate-limited store of model weights.
type Weights interface {
	// Weight returns the size in bytes of a model version, or ErrLimited.
	Weight(ctx context.Context, model, version string) (int64, error)
}

// Errors that callers distinguish.
var (
	// ErrLimited means that the service rejected a request because of its rate
	// limit and did not execute it.
	ErrLimited = errors.New("rate limit of the platform exceeded")
	// ErrTooLarge means that a record exceeds MaxRecord.
	ErrTooLarge = errors.New("record is too large for the log")
)

// MaxRecord is the maximum size of a log record in bytes.
const MaxRecord = 4 << 20

// maxReplyBytes is the maximum number of bytes that are read from a response.
const maxReplyBytes = 64 << 20

// A Client accesses the platform over HTTP. It implements Log, Directory and
// Weights.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client for the platform at the given URL. A call that takes longer
// than timeout fails and its connection is closed, so that a connection that has stopped
// responding is not reused.
func NewClient(baseURL string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	return &Client{baseURL: baseURL, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// Append implements Log. It sends the record once: net/http cannot rewind the body to
// retry the request.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("append %d bytes to stream %q: %w", len(data), stream, ErrTooLarge)
	}
	body := struct{ io.Reader }{bytes.NewReader(data)}
	var reply wire.AppendReply
	if err := c.do(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), body, &reply); err != nil {
		return 0, fmt.Errorf("append to stream %q: %w", stream, err)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64) (wire.Page, error) {
	path := "/log/" + url.PathEscape(stream) + "?from=" + strconv.FormatInt(from, 10)
	var page wire.Page
	if err := c.do(ctx, http.MethodGet, path, nil, &page); err != nil {
		return wire.Page{}, fmt.Errorf("read stream %q from %d: %w", stream, from, err)
	}
	return page, nil
}

// Hosts implements Directory.
func (c *Client) Hosts(ctx context.Context) ([]wire.Host, error) {
	var hosts []wire.Host
	if err := c.do(ctx, http.MethodGet, "/hosts", nil, &hosts); err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	return hosts, nil
}

// Weight implements Weights.
func (c *Client) Weight(ctx context.Context, model, version string) (int64, error) {
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	var size int64
	if err := c.do(ctx, http.MethodGet, path, nil, &size); err != nil {
		return 0, fmt.Errorf("get weight of model %q version %q: %w", model, version, err)
	}
	return size, nil
}

// do sends a request and decodes the JSON body of the response into reply.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return ErrLimited
	default:
		return fmt.Errorf("platform answered %s: %s", response.Status, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
