package listen

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// The server of net/http notices that a client closes its connection only while it waits for the
// first byte of the next request. If the client has sent requests ahead, that byte has arrived, and
// the close stays unseen behind it. A Conn then asks the kernel for it.

// leaveInterval is the time between two looks for a close, while a request is in progress.
const leaveInterval = 100 * time.Millisecond

// hasLeft reports whether the client has closed its connection or its sending side, which net/http
// takes for the same, even if not all that it has sent before was read.
func (c *Conn) hasLeft() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		left = err == nil && n > 0 // The kernel reports a reset as well.
	})
	return left || err != nil
}

// serve serves a request that has arrived on the connection, unless it was sent ahead by a client
// that has left. If the client leaves later, the context of the request is cancelled.
func (c *Conn) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if c.takeEarly() && c.hasLeft() {
		panic(http.ErrAbortHandler) // Closes the connection.
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.watch(cancel)
	defer c.endWatch()
	handler.ServeHTTP(w, r.WithContext(ctx))
}

// takeEarly reports whether the request was begun before the answer to the one before it was
// written.
func (c *Conn) takeEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	early := c.early
	c.early = false
	return early
}

// watch lets the connection cancel the request in progress.
func (c *Conn) watch(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	c.startLook()
}

// sentAhead records that something was read of a later request than the one in progress.
func (c *Conn) sentAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = true
	c.startLook()
}

// startLook starts to look for a close, if net/http does not see it. The lock must be held.
func (c *Conn) startLook() {
	if c.cancel != nil && c.ahead && c.look == nil {
		c.look = time.AfterFunc(leaveInterval, c.lookForClose)
	}
}

// lookForClose cancels the request in progress if the client has left, and looks again later if not.
func (c *Conn) lookForClose() {
	left := c.hasLeft()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.look == nil: // The request has ended.
	case left:
		c.cancel()
	default:
		c.look.Reset(leaveInterval)
	}
}

// endWatch records that the request in progress has ended.
func (c *Conn) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.ahead = nil, false
	if c.look != nil {
		c.look.Stop()
		c.look = nil
	}
}
