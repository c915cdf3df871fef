package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselplank/platform/stand"
)

// The bounds of the deployment for repeats.
const (
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = 10 * time.Second
)

// sendInterval is the time between two requests of the clients.
const sendInterval = 200 * time.Millisecond

// runBudget checks that the arrivals beyond the first of each request stay within the budget that all
// hosts share, while the workers of a service are full and the hosts are
// stopped and started in turn.
func runBudget(l *lab) (int, error) {
	store := &stand.Store{}
	stand.PutConfig(store, 1)
	storeAddr, err := serveStore(store)
	if err != nil {
		return unknown, err
	}
	desk, err := startDesk(l, store, "a", "a", "b", "b", "c", "c")
	if err != nil {
		return unknown, err
	}
	hosts, err := startHosts(l, storeAddr, []string{"a", "b", "c"})
	defer killAll(hosts)
	if err != nil {
		return unknown, err
	}
	for _, w := range desk.workers {
		w.SetFault(stand.FaultRefuse)
	}
	l.note("the workers are full: they refuse all requests without running them")
	c := &clients{lab: l, hosts: hosts, interval: sendInterval, path: stand.PathSafe}
	restarts := make(chan error, 1)
	go func() { restarts <- l.restartInTurn(hosts) }()
	c.sendFor(loadTime)
	if err := <-restarts; err != nil {
		return unknown, err
	}
	c.waiting.Wait()
	return c.checkBudget(desk.all()), nil
}

const (
	// loadTime is how long the clients send requests.
	loadTime = 11 * time.Second
	// restartAfter is when the first host is stopped, and restartGap the time until the next one
	// is: the sheets' roll_term stops one machine each 1.3 s.
	restartAfter = 2500 * time.Millisecond
	restartGap   = 1300 * time.Millisecond
)

// restartInTurn stops the hosts with SIGTERM one after the other, and starts each again once it has
// ended.
func (l *lab) restartInTurn(hosts []*host) error {
	if !l.trouble {
		return nil
	}
	time.Sleep(restartAfter)
	errs := make(chan error, len(hosts))
	for i, h := range hosts {
		if i > 0 {
			time.Sleep(restartGap)
		}
		l.note("%s gets SIGTERM", h.name)
		h.signal(syscall.SIGTERM)
		go func() {
			<-h.exited
			l.note("%s has ended and starts again", h.name)
			errs <- h.start()
		}()
	}
	for range hosts {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// clients send safe requests to the hosts in turn.
type clients struct {
	lab   *lab
	hosts []*host
	// interval is the time between two requests, and path that of their route.
	interval time.Duration
	path     string
	waiting  sync.WaitGroup
	sent     []time.Time
}

// sendFor sends requests for some time.
func (c *clients) sendFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(c.interval) {
		h := c.next()
		id := fmt.Sprintf("%s%d", idPrefix, len(c.sent)+1)
		c.sent = append(c.sent, time.Now())
		c.lab.note("client sends %s to %s", id, h.name)
		c.waiting.Go(func() { c.send(h, id) })
	}
}

// next returns the host of the next request: the hosts that are ready in turn, as the platform does.
func (c *clients) next() *host {
	var ready []*host
	for _, h := range c.hosts {
		if h.ok.Load() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = c.hosts
	}
	return ready[len(c.sent)%len(ready)]
}

// send sends one request on a connection of its own.
func (c *clients) send(h *host, id string) {
	r, err := stand.NewRequest(h.callers, c.path+"status", id)
	if err != nil {
		c.lab.note("%s: %v", id, err)
		return
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.lab.note("client: %s failed: %v", id, err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	c.lab.note("client gets %d for %s", response.StatusCode, id)
}

// checkBudget checks each window that begins with an arrival.
func (c *clients) checkBudget(arrivals []arrival) int {
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	code := held
	worst, allowedThen := 0, 0.0
	for _, from := range repeats {
		count := countBetween(repeats, from, from.Add(retryWindow))
		requests := max(
			countBetween(c.sent, from, from.Add(retryWindow)),
			countBetween(c.sent, from.Add(-retryWindow), from),
			countBetween(c.sent, from.Add(-retryWindow/2), from.Add(retryWindow/2)),
		)
		allowed := retryRatio*float64(requests) + retrySlack
		if float64(count) > allowed {
			code = broken
		}
		if float64(count)-allowed > float64(worst)-allowedThen || worst == 0 {
			worst, allowedThen = count, allowed
		}
	}
	c.lab.note("requests %d, arrivals %d, arrivals beyond the first %d", len(c.sent), len(arrivals), len(repeats))
	c.lab.note("worst window of %s: %d arrivals beyond the first, %.1f allowed", retryWindow, worst, allowedThen)
	return code
}

// countBetween counts the times from one until before another.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}
