package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// A Mode is what a proxy does to the connections through it.
type Mode string

// The modes of a proxy. What is withheld is delivered once the mode changes, as on
// a link that comes back.
const (
	// Pass hands everything on.
	Pass Mode = "pass"
	// Delay hands everything on late.
	Delay Mode = "delay"
	// Reset resets all connections, those that are opened meanwhile too.
	Reset Mode = "reset"
	// CutOut withholds what callers send, CutBack what they are sent, and Silence
	// both.
	CutOut  Mode = "cut out"
	CutBack Mode = "cut back"
	Silence Mode = "silence"
)

// delayTime is how late a delaying proxy hands on what it reads.
const delayTime = 150 * time.Millisecond

// A Proxy stands between callers and one address, both on this machine.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	// changed is closed at the next change of the mode.
	changed chan struct{}
	// open holds both ends of the connections.
	open map[net.Conn]struct{}
}

// NewProxy begins to listen for connections to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{listener: l, target: target, mode: Pass, changed: make(chan struct{}), open: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address that callers use.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(Reset)
}

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		for c := range p.open {
			reset(c)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An end that is closed already needs no reset.
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

func (p *Proxy) serve(caller net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.add(caller, server) {
		reset(caller)
		if err == nil {
			reset(server)
		}
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, caller, CutOut) })
	both.Go(func() { p.copy(caller, server, CutBack) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, caller)
	delete(p.open, server)
	p.mu.Unlock()
	caller.Close()
	server.Close()
}

// add notes the ends of a connection, unless connections are reset now.
func (p *Proxy) add(ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		return false
	}
	for _, c := range ends {
		p.open[c] = struct{}{}
	}
	return true
}

// copyBuffer is how much is read at a time.
const copyBuffer = 16 << 10

// copy hands on one direction until its source ends. The mode cut withholds it.
func (p *Proxy) copy(to, from net.Conn, cut Mode) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		p.wait(cut)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

// wait returns once bytes may be handed on.
func (p *Proxy) wait(cut Mode) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case cut, Silence:
			<-changed
		case Delay:
			time.Sleep(delayTime)
			return
		default:
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The connection may be reset already, which ends it as well.
		_ = t.CloseWrite()
	}
}
