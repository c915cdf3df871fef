package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselplank/pipe"
	"teaselplank/wire"
)

// upstreams holds the HTTP clients for upstreams and the attempts in flight.
type upstreams struct {
	// shared reuses connections. singleUse opens a new connection for each
	// request, because net/http may retry a request on a reused connection, and an upstream
	// may write an old answer there.
	shared    *http.Client
	singleUse *http.Client

	mu sync.Mutex
	// cancels holds the cancel functions of the attempts in flight.
	cancels map[pipe.Ref]context.CancelFunc
}

func (u *upstreams) track(ref pipe.Ref, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancels[ref] = cancel
}

// cancel cancels an attempt if it is in flight.
func (u *upstreams) cancel(ref pipe.Ref) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel := u.cancels[ref]; cancel != nil {
		cancel()
		delete(u.cancels, ref)
	}
}

// Limits of connections to upstreams.
const (
	dialTimeout       = time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerHost    = 64
	cancelTimeout     = time.Second
	maxTokenLineBytes = 64 << 10
)

func newUpstreams() *upstreams {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	shared := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout}
	singleUse := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &upstreams{
		shared:    &http.Client{Transport: shared, CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: singleUse, CheckRedirect: noRedirect},
		cancels:   make(map[pipe.Ref]context.CancelFunc),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newPost returns a POST request. It hides the type of the body reader, so that net/http
// cannot rewind the body and retry the request.
func newPost(ctx context.Context, h wire.Host, path string, body []byte) (*http.Request, error) {
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build request to %q: %w", h.ID, err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func getJSON(ctx context.Context, client *http.Client, h wire.Host, path string, header http.Header, target any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr+path, nil)
	if err != nil {
		return fmt.Errorf("build request to %q: %w", h.ID, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("call %q: %w", h.ID, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call %q: upstream answered %s", h.ID, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, wire.MaxBody)).Decode(target); err != nil {
		return fmt.Errorf("decode response of %q: %w", h.ID, err)
	}
	return nil
}

func (u *upstreams) load(ctx context.Context, h wire.Host) (wire.Load, error) {
	var load wire.Load
	err := getJSON(ctx, u.shared, h, "/load", nil, &load)
	return load, err
}

// status returns the status of a key. As it does not name the key, it is read on a new
// connection, where no status of another key can arrive.
func (u *upstreams) status(ctx context.Context, h wire.Host, key string, number int64) (wire.KeyStatus, error) {
	header := http.Header{}
	header.Set(wire.HeaderKey, key)
	header.Set(wire.HeaderFence, strconv.FormatInt(number, 10))
	var status wire.KeyStatus
	err := getJSON(ctx, u.singleUse, h, "/status", header, &status)
	return status, err
}

// sendOrder sends an order to an engine.
func (u *upstreams) sendOrder(ctx context.Context, h wire.Host, o wire.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order to %q: %w", h.ID, err)
	}
	r, err := newPost(ctx, h, "/order", body)
	if err != nil {
		return err
	}
	response, err := u.singleUse.Do(r)
	if err != nil {
		return fmt.Errorf("order to %q: %w", h.ID, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("order to %q under number %d: engine answered %s", h.ID, o.Number, response.Status)
	}
	return nil
}
