package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

// A worker is a stand-in for one worker, whose handler a case provides.
type worker struct {
	id, service, zone string
	slots             int
	addr              string
	born              int64
	store             *stand.Store
	stop              chan struct{}

	mu    sync.Mutex
	seq   int64
	state string
}

// heartbeat is the time between two entries that a worker writes.
const heartbeat = 1200 * time.Millisecond

// startWorker serves the handler on a free port and writes the worker's entry.
func startWorker(store *stand.Store, id, service, zone string, slots int, handler http.Handler) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, addr: l.Addr().String(), born: time.Now().UnixMilli(), store: store, state: "ready"}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	w.beat()
	return w, nil
}

// beat writes the worker's entry now and at each heartbeat.
func (w *worker) beat() {
	stop := make(chan struct{})
	w.mu.Lock()
	w.stop = stop
	w.mu.Unlock()
	w.writeEntry()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				w.writeEntry()
			case <-stop:
				return
			}
		}
	}()
}

// pause ends the heartbeats, as the process has ended.
func (w *worker) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stop)
}

// restart begins the entries of another process.
func (w *worker) restart(born int64) {
	w.mu.Lock()
	w.born, w.seq = born, 0
	w.mu.Unlock()
	w.beat()
}

// drain announces that the worker leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.writeEntry()
}

// writeEntry writes the next entry of the worker.
func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "concurrency": w.slots,
		"state": w.state, names.WarmupLeft: 0, "seq": w.seq, "born": w.born,
	})
	if err != nil {
		panic(err) // Unreachable: the entry has only strings and numbers.
	}
	w.store.Put(names.Workers, w.id, value)
}
