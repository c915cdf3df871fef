package listen

import (
	"net"
	"syscall"

	"teaselplank/memory"
)

// What a client sends before the server reads it waits in the receive buffer of its connection. The
// kernel lets that buffer grow to megabytes, also for a client that sends many requests ahead of
// their answers. A listener can keep it small, but for long bodies, which the server reads as they
// arrive: a small buffer would make a distant client wait for a round trip after each few packets.

const (
	// longBodyBuffer is the size in bytes of the receive buffer while a long body is read.
	longBodyBuffer = 128 << 10
	// kernelPercent is what the kernel lets a receive buffer hold, in percent of its size.
	kernelPercent = 150
)

// boundReceived sets the size in bytes of the receive buffers of the connections that a listener will
// accept. The kernel applies it before a client can send.
func boundReceived(l net.Listener, size int) {
	t, ok := l.(*net.TCPListener)
	if !ok || size == 0 {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return // The listener is closed.
	}
	_ = raw.Control(func(fd uintptr) { // It fails only if the listener is closed.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) // All sizes are valid.
	})
}

// beginLongBody enlarges the receive buffer for a body that does not fit it, if there is room.
func (c *Conn) beginLongBody() {
	r := &c.reader
	if c.listener.bounds.ReceiveBytes == 0 || r.largeBuffer {
		return
	}
	full := bufferCost(longBodyBuffer)
	if !c.holder.TakeSpare(memory.Buffers, full-r.bufferCharge) {
		return
	}
	r.largeBuffer, r.bufferCharge = true, full
	c.setReceiveBuffer(longBodyBuffer)
}

// bufferCost returns what a receive buffer with a size may hold, in bytes.
func bufferCost(size int) int64 { return int64(size) * kernelPercent / 100 }

// chargeAhead charges the receive buffer of a client that sends requests ahead. Those of others are
// empty most of the time.
func (c *Conn) chargeAhead() {
	r, full := &c.reader, bufferCost(c.listener.bounds.ReceiveBytes)
	if r.bufferCharge < full {
		c.holder.Add(memory.Buffers, full-r.bufferCharge)
		r.bufferCharge = full
	}
}

// endLongBody undoes beginLongBody. What the buffer holds already stays, and is charged until the
// connection is idle.
func (c *Conn) endLongBody() {
	if r := &c.reader; r.largeBuffer {
		r.largeBuffer = false
		c.setReceiveBuffer(c.listener.bounds.ReceiveBytes)
	}
}

// releaseBuffer releases the charge for a receive buffer that is empty.
func (c *Conn) releaseBuffer() {
	c.reader.bufferCharge = 0
	c.holder.Keep(memory.Buffers, 0)
}

func (c *Conn) setReceiveBuffer(size int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(size) // It fails only on a closed connection.
	}
}
