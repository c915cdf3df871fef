package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

// A lab is the surroundings of a case: the store, the workers, the hosts and the record.
type lab struct {
	folder string
	// trouble is false if the disruption is left out.
	trouble bool
	// work is the temporary folder of settings and logs.
	work    string
	started time.Time

	store     *stand.Store
	storeAddr string
	server    *http.Server
	workers   []*stand.Worker
	hosts     []*host

	mu     sync.Mutex
	record *os.File
}

// newLab starts a store without records.
func newLab(folder string, trouble bool) (*lab, error) {
	l := &lab{folder: folder, trouble: trouble, started: time.Now(), store: &stand.Store{}}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	if l.work, err = os.MkdirTemp("", "lab-"); err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l.storeAddr = listener.Addr().String()
	l.server = &http.Server{Handler: l.store}
	go func() { _ = l.server.Serve(listener) }() // Serve returns when the lab is closed.
	l.note("disruption: %v", trouble)
	return l, nil
}

// note writes a line to the record, with the seconds since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// addWorker starts a worker.
func (l *lab) addWorker(w *stand.Worker) error {
	if err := w.Start(l.store); err != nil {
		return fmt.Errorf("start worker %q: %w", w.ID, err)
	}
	l.workers = append(l.workers, w)
	return nil
}

// runs returns how often workers ran a request.
func (l *lab) runs(id string) int {
	count := 0
	for _, w := range l.workers {
		if w.Kind != stand.Stage {
			count += w.Runs(id)
		}
	}
	return count
}

// close ends all processes and the stand-ins.
func (l *lab) close() {
	for _, h := range l.hosts {
		h.end()
	}
	for _, w := range l.workers {
		w.Crash()
	}
	l.server.Close()
	l.record.Close()
	os.RemoveAll(l.work)
}
