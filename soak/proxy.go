package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// A Mode is what a proxy does with its connections.
type Mode string

// The modes of a proxy. Bytes that a proxy holds are forwarded once the mode changes, as
// on a network link that recovers.
const (
	// Pass forwards all bytes, and how each connection ends.
	Pass Mode = "pass"
	// Delay forwards all bytes after a delay.
	Delay Mode = "delay"
	// Reset resets all open connections and each new one.
	Reset Mode = "reset"
	// HoldRequests holds the bytes from clients to the target, HoldResponses the bytes
	// from the target to clients, and HoldBoth both.
	HoldRequests  Mode = "cut out"
	HoldResponses Mode = "cut back"
	HoldBoth      Mode = "silence"
)

// forwardDelay is the delay before each write in the mode Delay.
const forwardDelay = 150 * time.Millisecond

// A Proxy is a TCP proxy that forwards connections to one target on this machine and
// injects network faults.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	// modeChanged is closed and replaced when the mode changes.
	modeChanged chan struct{}
	// conns holds the open connections to clients and to the target.
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{listener: l, target: target, mode: Pass, modeChanged: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(Reset)
}

// Set sets the mode.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

// SetTarget sets the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The call fails only if the connection is already closed.
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // The proxy is closed.
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil || !p.track(client, server) {
		resetConn(client)
		if err == nil {
			resetConn(server)
		}
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, HoldRequests) })
	directions.Go(func() { p.forward(client, server, HoldResponses) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// track adds connections to p.conns. It returns false if the mode is Reset.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		return false
	}
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	return true
}

// copyBufferBytes is the size of the buffer for each direction of a connection.
const copyBufferBytes = 16 << 10

// forward copies one direction of a connection until the end of its source. The modes
// hold and HoldBoth stop it from writing.
func (p *Proxy) forward(to, from net.Conn, hold Mode) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(hold)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			// A plain close would look like the end of an answer that has no length.
			resetConn(to)
			return
		}
	}
}

// waitWhileHeld waits until the mode is neither hold nor HoldBoth, and for the delay of
// the mode Delay.
func (p *Proxy) waitWhileHeld(hold Mode) {
	for {
		p.mu.Lock()
		mode, modeChanged := p.mode, p.modeChanged
		p.mu.Unlock()
		switch mode {
		case hold, HoldBoth:
			<-modeChanged
		case Delay:
			time.Sleep(forwardDelay)
			return
		default:
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The call fails if the connection is reset, which closes it too.
		_ = t.CloseWrite()
	}
}
