package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselplank/platform/stand"
)

// A record holds one request and its result as the client saw it.
type record struct {
	id   string
	path string
	// parts are the parts of the prompt but for the last one, or nil if it has none.
	parts []string
	// sentBody is the body of the request if it is not the usual one.
	sentBody string
	host     *host
	// The client started to send the request at sentAt and had read the whole response
	// at endedAt.
	sentAt  time.Time
	endedAt time.Time
	// writtenAt is when the request was written completely, or the zero time.
	writtenAt time.Time
	// deadline is the time from sentAt within which the client wants its response.
	deadline time.Duration
	// reused is true if the request was sent on a connection that was already open.
	reused bool
	// leaves is true if the client closes the connection once the response has begun, and
	// left is true if it did.
	leaves bool
	left   bool
	status int
	sealed bool
	body   string
	err    error
}

// A clientPool holds the state that the clients of a run share. Clients keep their
// connections for as long as these work, and open new ones only to hosts that are ready.
type clientPool struct {
	hosts []*host
	mu    sync.Mutex
	// ready are the hosts that passed the last readiness check.
	ready   []*host
	records []*record
	lastID  int
	// configVersion is the newest version of the configuration that was written. Each
	// version has a route of its own.
	configVersion int
	// deadline is the deadline of each request.
	deadline time.Duration
	// crashFrom is the time from which some requests crash upstreams, or the zero time if
	// none ever does. Plain ones do if plainCrashes is true, and streams otherwise.
	crashFrom    time.Time
	plainCrashes bool
	// One in leaveShare of the clients of sound requests leaves, if some requests crash
	// upstreams.
	leaveShare int
}

// pollReady polls the readiness of the hosts, as a load balancer does, until the context
// is done.
func (c *clientPool) pollReady(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*host
		var mu sync.Mutex
		var checks sync.WaitGroup
		for _, h := range c.hosts {
			checks.Go(func() {
				if h.isReady() {
					mu.Lock()
					ready = append(ready, h)
					mu.Unlock()
				}
			})
		}
		checks.Wait()
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		time.Sleep(readyPollInterval)
	}
}

const (
	readyPollInterval = 150 * time.Millisecond
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 25 * time.Millisecond
	// hostStickTime is how long a client uses one host before it picks one again.
	hostStickTime = 1500 * time.Millisecond
	// clientTimeout is the timeout of a request at the client.
	clientTimeout = 8 * time.Second
)

// runClient sends one request after the other until the context is done.
func (c *clientPool) runClient(ctx context.Context, seed uint64) {
	random, leaving := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	var current *host
	var chosenAt time.Time
	for ctx.Err() == nil {
		if current == nil || time.Since(chosenAt) > hostStickTime {
			if current = c.pickHost(random); current == nil {
				time.Sleep(readyPollInterval)
				continue
			}
			chosenAt = time.Now()
		}
		r := c.newRecord(current, c.randomPath(random))
		if !c.crashFrom.IsZero() {
			c.addCrash(r, random)
			r.leaves = !r.crashesUpstreams() && leaving.IntN(c.leaveShare) == 0
		}
		r.send(transport)
		if r.err != nil || r.status >= http.StatusInternalServerError {
			current = nil
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
	}
}

// addCrash makes one in crashShare of the requests that may crash upstreams do so.
func (c *clientPool) addCrash(r *record, random *rand.Rand) {
	crashes := time.Now().After(c.crashFrom)
	switch {
	case !c.plainCrashes && isStreamPath(r.path):
		r.path, r.parts = randomPrompt(random, crashes)
	case c.plainCrashes && (r.path == stand.PathSafe || r.path == stand.PathUnsafe):
		if draw := random.IntN(crashShare); crashes && draw == 0 {
			r.sentBody = crashBody
		}
	}
}

func (c *clientPool) pickHost(random *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[random.IntN(len(c.ready))]
}

// randomPath returns the path of a random kind of request. One in six requests goes to
// the route of the newest configuration.
func (c *clientPool) randomPath(random *rand.Rand) string {
	switch random.IntN(6) {
	case 0:
		c.mu.Lock()
		defer c.mu.Unlock()
		return versionPath(c.configVersion)
	case 1, 2:
		return stand.PathStream
	case 3:
		return stand.PathSafe
	}
	return stand.PathUnsafe
}

// versionPath returns the path of the route that a version of the configuration adds.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func (c *clientPool) newRecord(h *host, path string) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	r := &record{id: fmt.Sprint("soak-", c.lastID), path: path, host: h, deadline: c.deadline}
	c.records = append(c.records, r)
	return r
}

// send sends the request and reads its response.
func (r *record) send(transport *http.Transport) {
	r.sentAt = time.Now()
	// The transport may write the request while the response is read.
	var writtenAt atomic.Pointer[time.Time]
	defer func() {
		r.endedAt = time.Now()
		if at := writtenAt.Load(); at != nil {
			r.writtenAt = *at
		}
	}()
	request, err := stand.NewRequest(r.host.clientAddr, r.path+"x", r.id)
	if err != nil {
		r.err = err
		return
	}
	stand.SetDeadline(request, r.deadline)
	if r.sentBody != "" {
		stand.SetBody(request, r.sentBody)
	}
	if len(r.parts) > 0 {
		stand.SetPrompt(request, append(slices.Clone(r.parts), r.id)...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.reused = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				writtenAt.Store(&now)
			}
		},
	}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		r.err = fmt.Errorf("send request: %w", err)
		return
	}
	defer response.Body.Close()
	r.status, r.sealed = response.StatusCode, stand.Sealed(response.Header)
	body, err := r.read(response.Body)
	if err != nil {
		r.err = fmt.Errorf("read response: %w", err)
	}
	r.body = string(body)
}

// firstBytes is the number of bytes of a response after which a client leaves.
const firstBytes = 1

// read reads a response, or its beginning if the client leaves.
func (r *record) read(body io.Reader) ([]byte, error) {
	if !r.leaves || r.status != http.StatusOK {
		return io.ReadAll(body)
	}
	read := make([]byte, firstBytes)
	if n, err := io.ReadFull(body, read); err != nil {
		return read[:n], err
	}
	r.left = true
	return read, nil
}
