package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

const (
	// aheadConns is the number of connections to each host, and aheadRequests the number of
	// requests that are sent on each of them at once.
	aheadConns    = 10
	aheadRequests = 4
	// aheadWork is how long a worker takes for a request.
	aheadWork = time.Second
	// leaveAfter is the time from the requests to the close of their connection.
	leaveAfter = 200 * time.Millisecond
	// goneTime is how long after the close requests may still reach a worker, and maxGone the
	// number of those that reach one later.
	goneTime = 500 * time.Millisecond
	maxGone  = 5
	// pollInterval is how often the workers are asked which requests they run.
	pollInterval = 10 * time.Millisecond
)

// An abandoned is a request whose client has closed its connection.
type abandoned struct {
	id     string
	host   *host
	closed time.Time
	// reached is when a worker began to run it, as far as it is known, or zero.
	reached time.Time
}

// runSentAhead lets clients send several requests ahead on a connection and leave without reading
// an answer. Without the disruption, they send one request and leave.
func runSentAhead(l *lab) error {
	stand.PutConfig(l.store, 1)
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			w := &stand.Worker{ID: fmt.Sprintf("desk-%s-%d", zone, i), Zone: zone, Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 64, Delay: aheadWork}
			if err := l.addWorker(w); err != nil {
				return err
			}
		}
	}
	if err := l.startHosts(func(int) string { return l.storeAddr }, "a", "b"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // The hosts are in touch.
	var mu sync.Mutex
	var list []*abandoned
	var clients sync.WaitGroup
	for _, h := range l.hosts {
		for i := range aheadConns {
			clients.Go(func() {
				sent, err := sendAhead(l, h, i)
				if err != nil {
					l.note("client %d of %s: %v", i, h.name, err)
				}
				mu.Lock()
				list = append(list, sent...)
				mu.Unlock()
			})
		}
	}
	watch(l, &mu, &list, 6*time.Second)
	clients.Wait()
	late := 0
	for _, a := range list {
		if a.reached.IsZero() {
			l.note("request %s to %s: connection closed at %.3f s, never ran", a.id, a.host.name, a.closed.Sub(l.started).Seconds())
			continue
		}
		after := a.reached.Sub(a.closed)
		l.note("request %s to %s: connection closed at %.3f s, first seen at a worker %.3f s after that",
			a.id, a.host.name, a.closed.Sub(l.started).Seconds(), after.Seconds())
		if after > goneTime+pollInterval {
			late++
		}
	}
	l.note("%d of %d requests reached a worker over %s after their client had closed the connection", late, len(list), goneTime)
	if len(list) == 0 {
		return fmt.Errorf("no request was sent")
	}
	if late > maxGone {
		return fmt.Errorf("%w: %d requests reached a worker after their clients had left", errBroken, late)
	}
	return nil
}

// sendAhead sends requests on a new connection and closes it without reading an answer.
func sendAhead(l *lab, h *host, index int) ([]*abandoned, error) {
	count := 1
	if l.trouble {
		count = aheadRequests
	}
	var data bytes.Buffer
	var list []*abandoned
	for n := range count {
		a := &abandoned{id: fmt.Sprintf("%s-conn-%d-request-%d", h.name, index+1, n+1), host: h}
		r, err := stand.NewRequest(h.client, stand.PathUnsafe+"file", a.id)
		if err != nil {
			return nil, fmt.Errorf("create request: %w", err)
		}
		if err := r.Write(&data); err != nil {
			return nil, fmt.Errorf("write request: %w", err)
		}
		list = append(list, a)
	}
	c, err := net.DialTimeout("tcp", h.client, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if _, err := c.Write(data.Bytes()); err != nil {
		c.Close()
		return nil, fmt.Errorf("send: %w", err)
	}
	time.Sleep(leaveAfter)
	c.Close()
	for _, a := range list {
		a.closed = time.Now()
	}
	return list, nil
}

// watch notes when requests are first seen at a worker.
func watch(l *lab, mu *sync.Mutex, list *[]*abandoned, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
		mu.Lock()
		for _, a := range *list {
			if a.reached.IsZero() && l.runs(a.id) > 0 {
				a.reached = time.Now()
			}
		}
		mu.Unlock()
	}
}
