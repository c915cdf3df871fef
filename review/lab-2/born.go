package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// clockStep is by how much the time of day of the worker's machine is ahead at first.
	clockStep = 2400 * time.Millisecond
	// firstTime is how long the worker's first process lives, and downTime how long it is down.
	firstTime = 800 * time.Millisecond
	downTime  = 700 * time.Millisecond
	// settleTime is the time from its second start until it announces that it leaves.
	settleTime = 8 * time.Second
	// drainTime is how long after that it may still get requests, and servesOn how long it serves.
	drainTime = 2 * time.Second
	servesOn  = 7 * time.Second
	// otherDesks is the number of workers beside the one that leaves. Together they have too few
	// slots for all requests.
	otherDesks = 3
	// orderInterval is the time between two requests of the clients.
	orderInterval = 10 * time.Millisecond
	// orderWork is how long a worker works on a request.
	orderWork = 200 * time.Millisecond
)

// A desk is a worker whose processes the case starts and ends itself.
type desk struct {
	lab    *lab
	entry  *worker
	server *http.Server

	mu   sync.Mutex
	runs []time.Time
	// running is the number of requests in progress.
	running int
}

// serve starts a process on the address of the entry, or on a free port.
func (d *desk) serve() error {
	addr := "127.0.0.1:0"
	if d.entry.addr != "" {
		addr = d.entry.addr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d.entry.addr = l.Addr().String()
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(l) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names.ID)
	w.Header().Set(names.ID, id)
	if r.Header.Get(names.Expect) != d.entry.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !d.begin() {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer d.end()
	d.lab.log("%s runs request %s", d.entry.id, id)
	time.Sleep(orderWork)
	w.Header().Set(names.Seal, "seal-"+id)
	fmt.Fprint(w, "receipt")
}

// begin records that a request runs, unless all slots are taken.
func (d *desk) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running >= d.entry.slots {
		return false
	}
	d.running++
	d.runs = append(d.runs, time.Now())
	return true
}

func (d *desk) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

// after returns the number of runs after a time, and the last one.
func (d *desk) after(t time.Time) (count int, last time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.runs {
		if at.After(t) {
			count++
			last = at.Sub(t)
		}
	}
	return count, last
}

// playBorn has a worker that starts while the time of day of its machine is ahead, crashes soon after
// that and starts again under its id, once the time has jumped back. It then announces that it
// leaves, and may get requests for the drain time only.
func playBorn(l *lab) (bool, error) {
	for i := range otherDesks {
		d := &desk{lab: l, entry: &worker{id: fmt.Sprint("desk-", i+2), service: serviceDesk, zone: string(rune('a' + i%2)), slots: 6, store: l.store, state: "ready"}}
		if err := d.serve(); err != nil {
			return false, err
		}
		d.entry.born = time.Now().UnixMilli()
		d.entry.beat()
	}
	leaving := &desk{lab: l, entry: &worker{id: "desk-1", service: serviceDesk, zone: "a", slots: 6, store: l.store, state: "ready"}}
	if err := l.startHosts(2, 284, 4100); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.order(stop)
	time.Sleep(3 * time.Second)

	if err := leaving.serve(); err != nil {
		return false, err
	}
	born := time.Now()
	if l.trouble {
		born = born.Add(clockStep)
	}
	leaving.entry.born = born.UnixMilli()
	leaving.entry.beat()
	l.log("desk-1 starts at %s, born %d", leaving.entry.addr, leaving.entry.born)
	time.Sleep(firstTime)
	leaving.entry.pause()
	_ = leaving.server.Close()
	l.log("desk-1 crashes")
	time.Sleep(downTime)
	if err := leaving.serve(); err != nil {
		return false, err
	}
	restarted := time.Now()
	leaving.entry.restart(restarted.UnixMilli())
	l.log("desk-1 starts again at %s, born %d", leaving.entry.addr, leaving.entry.born)
	time.Sleep(settleTime)

	leaving.entry.drain()
	acknowledged := time.Now()
	l.log("the store has acknowledged that desk-1 is draining")
	time.Sleep(servesOn)
	before, _ := leaving.after(restarted)
	late, last := leaving.after(acknowledged.Add(drainTime))
	l.conclude("desk-1 ran %d requests after its second start, and %d later than %s after it was draining, the last one %s later", before, late, drainTime, last)
	return late == 0, nil
}

// order sends charges to the hosts in turn until it is stopped.
func (l *lab) order(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(orderInterval):
		}
		go func() {
			h := l.hosts[i%len(l.hosts)]
			c := call{method: http.MethodPost, front: h.front, path: pathCharge + "x", id: fmt.Sprint("b", i), key: keyNorth, body: "charge", deadline: 1500 * time.Millisecond}
			a := c.do()
			l.log("%s answers request %s with %d", h.name, c.id, a.status)
		}()
	}
}
