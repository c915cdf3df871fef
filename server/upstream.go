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

// upstreams is the client of all upstreams.
type upstreams struct {
	// shared reuses connections; once opens one for each call, so that
	// net/http has no reason to send a call again.
	shared *http.Client
	once   *http.Client

	mu sync.Mutex
	// cancels stops the attempts under way.
	cancels map[pipe.Ref]context.CancelFunc
}

func (u *upstreams) begin(ref pipe.Ref, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancels[ref] = cancel
}

// stop ends an attempt if it is under way.
func (u *upstreams) stop(ref pipe.Ref) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel := u.cancels[ref]; cancel != nil {
		cancel()
		delete(u.cancels, ref)
	}
}

// The bounds of connections to upstreams.
const (
	dialTimeout   = time.Second
	dialIdle      = 30 * time.Second
	idlePerHost   = 64
	cancelTimeout = time.Second
	maxTokenLine  = 64 << 10
)

func newUpstreams() *upstreams {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	shared := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: dialIdle}
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &upstreams{
		shared:  &http.Client{Transport: shared, CheckRedirect: noRedirect},
		once:    &http.Client{Transport: once, CheckRedirect: noRedirect},
		cancels: make(map[pipe.Ref]context.CancelFunc),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// post sends a body that net/http cannot replay.
func post(ctx context.Context, h wire.Host, path string, body []byte) (*http.Request, error) {
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build call to %q: %w", h.ID, err)
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func (u *upstreams) getJSON(ctx context.Context, h wire.Host, path string, header http.Header, to any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr+path, nil)
	if err != nil {
		return fmt.Errorf("build call to %q: %w", h.ID, err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	answer, err := u.shared.Do(r)
	if err != nil {
		return fmt.Errorf("call %q: %w", h.ID, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("call %q: upstream answered %s", h.ID, answer.Status)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, wire.MaxBody)).Decode(to); err != nil {
		return fmt.Errorf("decode answer of %q: %w", h.ID, err)
	}
	return nil
}

func (u *upstreams) load(ctx context.Context, h wire.Host) (wire.Load, error) {
	var load wire.Load
	err := u.getJSON(ctx, h, "/load", nil, &load)
	return load, err
}

func (u *upstreams) status(ctx context.Context, h wire.Host, key string, number int64) (wire.ServiceStatus, error) {
	header := http.Header{}
	header.Set(wire.HeaderKey, key)
	header.Set(wire.HeaderFence, strconv.FormatInt(number, 10))
	var status wire.ServiceStatus
	err := u.getJSON(ctx, h, "/status", header, &status)
	return status, err
}

// order sends an order to an engine.
func (u *upstreams) order(ctx context.Context, h wire.Host, o wire.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order to %q: %w", h.ID, err)
	}
	r, err := post(ctx, h, "/order", body)
	if err != nil {
		return err
	}
	answer, err := u.once.Do(r)
	if err != nil {
		return fmt.Errorf("order to %q: %w", h.ID, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("order to %q under number %d: engine answered %s", h.ID, o.Number, answer.Status)
	}
	return nil
}
