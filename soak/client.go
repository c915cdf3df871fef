package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

// A record is one request and what its caller saw.
type record struct {
	id   string
	path string
	host *host
	// sent is when the caller began, ended when it had all that came.
	sent  time.Time
	ended time.Time
	// reused is true for a request on a connection that was open before.
	reused bool
	// written is true if the whole request was sent.
	written bool
	status  int
	sealed  bool
	body    string
	err     error
}

// Callers are the clients of a run. They keep their connections for as long as
// these work, and open new ones only to hosts that say they are ready.
type callers struct {
	hosts []*host
	mu    sync.Mutex
	// ready are the hosts that the balancer sends new connections to.
	ready   []*host
	records []*record
	number  int
	// version is the newest version of the configuration that was written, which
	// has a route of its own.
	version int
}

// balance asks the hosts whether they are ready until the context ends.
func (c *callers) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*host
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, h := range c.hosts {
			all.Go(func() {
				if h.isReady() {
					mu.Lock()
					ready = append(ready, h)
					mu.Unlock()
				}
			})
		}
		all.Wait()
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		time.Sleep(balanceEvery)
	}
}

// The pace of the balancer, the mean pause of a client between two requests, how
// long a client stays with one host, and when a client gives up.
const (
	balanceEvery = 150 * time.Millisecond
	thinkTime    = 25 * time.Millisecond
	stayTime     = 1500 * time.Millisecond
	giveUp       = 8 * time.Second
)

// client sends one request after the other until the context ends.
func (c *callers) client(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	var at *host
	var since time.Time
	for ctx.Err() == nil {
		if at == nil || time.Since(since) > stayTime {
			if at = c.pick(random); at == nil {
				time.Sleep(balanceEvery)
				continue
			}
			since = time.Now()
		}
		r := c.next(at, c.path(random))
		r.send(transport)
		if r.err != nil || r.status >= http.StatusInternalServerError {
			at = nil
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
	}
}

func (c *callers) pick(random *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[random.IntN(len(c.ready))]
}

// path draws a kind of request; one in six goes to the newest route.
func (c *callers) path(random *rand.Rand) string {
	switch random.IntN(6) {
	case 0:
		c.mu.Lock()
		defer c.mu.Unlock()
		return versionPath(c.version)
	case 1, 2:
		return stand.PathStream
	case 3:
		return stand.PathSafe
	}
	return stand.PathUnsafe
}

// versionPath is the route that a version of the configuration brings.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (c *callers) next(h *host, path string) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	r := &record{id: fmt.Sprint("soak-", c.number), path: path, host: h}
	c.records = append(c.records, r)
	return r
}

// send sends the request and reads its answer.
func (r *record) send(transport *http.Transport) {
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	request, err := stand.NewRequest(r.host.callers, r.path+"x", r.id)
	if err != nil {
		r.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	trace := &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { r.reused = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) { r.written = i.Err == nil },
	}
	answer, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		r.err = fmt.Errorf("send request: %w", err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.err = fmt.Errorf("read answer: %w", err)
	}
	r.status, r.body, r.sealed = answer.StatusCode, string(body), stand.Sealed(answer.Header)
}
