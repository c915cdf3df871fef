// Package infra is the client of the platform's services: the append-only log,
// the host list and the weight store. Each is an interface, so that tests and
// others who embed the system can put their own in its place.
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

// A Log is an append-only log of streams. Records keep their offset for good and
// are dropped, oldest first, once the log's retention has passed.
type Log interface {
	// Append adds a record and returns its offset. After an error the
	// record may have been appended all the same.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns retained records from an offset on. It may return fewer
	// than there are.
	Read(ctx context.Context, stream string, from int64) (wire.Page, error)
}

// A Directory lists the hosts of the platform. The list lags.
type Directory interface {
	Hosts(ctx context.Context) ([]wire.Host, error)
}

// Weights is a rate-limited store of model weights.
type Weights interface {
	// Weight returns the size in bytes of a model version, or ErrLimited.
	Weight(ctx context.Context, model, version string) (int64, error)
}

// Errors that callers tell apart.
var (
	// ErrLimited means that the service refused because of its rate limit;
	// nothing was done.
	ErrLimited = errors.New("rate limit of the platform exceeded")
	// ErrTooLarge means that a record is over the log's bound.
	ErrTooLarge = errors.New("record is too large for the log")
)

// MaxRecord bounds a record of the log in bytes.
const MaxRecord = 4 << 20

// maxReply bounds what is read of an answer.
const maxReply = 64 << 20

// A Client speaks to the platform over HTTP. It implements Log, Directory and
// Weights.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the platform at the given URL. A call that takes
// longer than timeout fails and its connection is closed, so that a connection
// that went silent is not used again.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	return &Client{base: base, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// Append implements Log. It sends the record once.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("append %d bytes to stream %q: %w", len(data), stream, ErrTooLarge)
	}
	body := struct{ io.Reader }{bytes.NewReader(data)}
	var done wire.Appended
	if err := c.do(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), body, &done); err != nil {
		return 0, fmt.Errorf("append to stream %q: %w", stream, err)
	}
	return done.Offset, nil
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
		return 0, fmt.Errorf("weight of model %q version %q: %w", model, version, err)
	}
	return size, nil
}

// do sends a request and decodes the JSON of the answer into reply.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxReply))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return ErrLimited
	default:
		return fmt.Errorf("platform answered %s: %s", answer.Status, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
