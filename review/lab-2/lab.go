package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

// A lab is what the cases run in: a store, workers, hosts and the record.
type lab struct {
	program string
	trouble bool
	dir     string
	store   *stand.Store
	server  *httptest.Server
	started time.Time
	hosts   []*host

	mu     sync.Mutex
	record *os.File
}

// newLab starts a store with the first configuration.
func newLab(program, record string, trouble bool) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	l := &lab{program: program, trouble: trouble, dir: dir, store: &stand.Store{}, started: time.Now(), record: file}
	l.store.Put(names.Operator, "config", firstConfig)
	l.server = httptest.NewServer(l.store)
	return l, nil
}

// log writes a line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// conclude logs and prints a line.
func (l *lab) conclude(format string, args ...any) {
	l.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// startHosts starts entry hosts and waits until they are ready.
func (l *lab) startHosts(count, memoryMB, descriptors int) error {
	var seeds []string
	for i := range count {
		h, err := newHost(l.program, l.dir, hostOptions{
			name: fmt.Sprint("entry-", i+1), zone: string(rune('a' + i%2)), store: strings.TrimPrefix(l.server.URL, "http://"),
			seeds: seeds, memoryMB: memoryMB, descriptors: descriptors,
		})
		if err != nil {
			return fmt.Errorf("start host: %w", err)
		}
		l.hosts = append(l.hosts, h)
		seeds = append(seeds, h.peers)
	}
	for _, h := range l.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
		l.log("%s is ready", h.name)
	}
	return nil
}

// close ends the hosts and removes the folder.
func (l *lab) close() {
	for _, h := range l.hosts {
		h.kill()
	}
	l.server.CloseClientConnections()
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}
