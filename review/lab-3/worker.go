package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"teaselplank/platform/stand"
)

// idPrefix begins the ids of all requests of the clients here.
const idPrefix = "review-"

// An arrival is a request of a client that has reached a worker.
type arrival struct {
	at     time.Time
	id     string
	worker string
}

// A desk is a set of plain workers, whose arrivals are recorded.
type desk struct {
	lab      *lab
	workers  []*stand.Worker
	arrivals chan arrival
	// kept are the arrivals that were taken from the channel, and recent the number of the latest
	// ones by worker.
	kept   []arrival
	recent map[string]int
}

// requestID returns the id of a client's request, by its prefix, so that the name of its header
// need not be known here.
func requestID(r *http.Request) string {
	for _, values := range r.Header {
		for _, v := range values {
			if strings.HasPrefix(v, idPrefix) {
				return v
			}
		}
	}
	return ""
}

// startDesk starts plain workers in the given zones.
func startDesk(l *lab, store *stand.Store, zones ...string) (*desk, error) {
	d := &desk{lab: l, arrivals: make(chan arrival, 1<<16)}
	for i, zone := range zones {
		w := &stand.Worker{ID: fmt.Sprintf("desk-%d", i+1), Zone: zone, Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 6, Delay: 20 * time.Millisecond}
		w.Advertise = func(string) (string, error) { return d.listen(w) }
		if err := w.Start(store); err != nil {
			return nil, fmt.Errorf("start worker: %w", err)
		}
		d.workers = append(d.workers, w)
	}
	return d, nil
}

// listen serves a worker on a further address, which its entry names, and records what arrives.
func (d *desk) listen(w *stand.Worker) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if id := requestID(r); id != "" {
			d.arrivals <- arrival{time.Now(), id, w.ID}
			d.lab.note("worker %s gets %s", w.ID, id)
		}
		w.ServeHTTP(rw, r)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }() // It ends with the process.
	return listener.Addr().String(), nil
}

// all returns all arrivals so far.
func (d *desk) all() []arrival {
	d.keep(time.Now())
	return d.kept
}

// keep takes the arrivals so far, and counts for each worker those after a time.
func (d *desk) keep(after time.Time) {
	for {
		select {
		case a := <-d.arrivals:
			d.kept = append(d.kept, a)
			continue
		default:
		}
		break
	}
	d.recent = make(map[string]int)
	for _, a := range d.kept {
		if a.at.After(after) {
			d.recent[a.worker]++
		}
	}
}

// serveStore serves the platform's store.
func serveStore(store *stand.Store) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(listener, store) }() // It ends with the process.
	return listener.Addr().String(), nil
}
