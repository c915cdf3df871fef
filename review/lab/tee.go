package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
)

// A tee is a TCP proxy that keeps a copy of what callers send to its target.
type tee struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	sent bytes.Buffer
}

// newTee starts a tee to an address.
func newTee(target string) (*tee, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	t := &tee{listener: l, target: target}
	go t.accept()
	return t, nil
}

func (t *tee) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return // The tee is closed.
		}
		go t.serve(c)
	}
}

func (t *tee) serve(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", t.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(caller, target) // Ends with either connection.
		caller.Close()
	}()
	_, _ = io.Copy(target, io.TeeReader(caller, t)) // Ends with either connection.
}

// Write keeps bytes that a caller has sent.
func (t *tee) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent.Write(b)
}

// bytes returns a copy of what callers have sent so far.
func (t *tee) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Clone(t.sent.Bytes())
}
