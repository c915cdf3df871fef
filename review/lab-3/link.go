package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// A link is a TCP proxy between a host and the store, which can be cut: open connections are reset
// then, and so is each new one.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]struct{}
	// sent are the times at which the host has sent something.
	sent []time.Time
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	k := &link{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(client net.Conn) {
	store, err := net.Dial("tcp", k.target)
	if err != nil {
		reset(client)
		return
	}
	k.mu.Lock()
	cut := k.cut
	if !cut {
		k.conns[client], k.conns[store] = struct{}{}, struct{}{}
	}
	k.mu.Unlock()
	if cut {
		reset(client)
		reset(store)
		return
	}
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = io.Copy(store, noted{client, k})
		store.Close()
	})
	both.Go(func() {
		_, _ = io.Copy(client, store)
		client.Close()
	})
	both.Wait()
	k.mu.Lock()
	delete(k.conns, client)
	delete(k.conns, store)
	k.mu.Unlock()
}

// noted notes when something is read from a host.
type noted struct {
	net.Conn
	link *link
}

// Read implements io.Reader.
func (n noted) Read(b []byte) (int, error) {
	count, err := n.Conn.Read(b)
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	n.link.sent = append(n.link.sent, time.Now())
	return count, err
}

// requests returns how often the host has sent something to the store since a time.
func (k *link) requests(since time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return countBetween(k.sent, since, time.Now())
}

// set cuts the link or mends it.
func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if cut {
		for c := range k.conns {
			reset(c)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // It fails only on a closed connection.
	}
	c.Close()
}
