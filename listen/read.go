package listen

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"teaselplank/memory"
)

// A reader hands the requests of a connection to the server one at a time, and each head only
// once it is whole and its cost was charged. It never holds back a part of a body.
type reader struct {
	// buffer holds bytes that were read and not handed over. The first ready of them may be.
	buffer []byte
	ready  int
	// next is where the search for the end of the head goes on, and begun is true once a part
	// of its first line was read.
	next  int
	begun bool
	// inRequest is true from the end of a head until the answer to its request was written.
	inRequest bool
	// passes is true if all bytes are handed over unchecked, as the end of the request is not
	// known. The connection is closed after the request.
	passes bool
	// left is what is left of a body with a length. inChunks is true while a chunked body is
	// read.
	left     int64
	inChunks bool
	chunks   chunkScanner
	// largeBuffer is true while the kernel's receive buffer is enlarged for a body. bufferCharge is
	// what is charged for the buffer, in bytes.
	largeBuffer  bool
	bufferCharge int64
}

const (
	// minBuffer is the size of a new buffer in bytes.
	minBuffer = 512
	// chunkMargin is how much is read at a time beyond the rest of a chunk in bytes.
	chunkMargin = 4 << 10
	// headMargin is how much longer a head may be than its bound. net/http allows as much.
	headMargin = 4 << 10
)

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	r := &c.reader
	if len(b) == 0 {
		return 0, nil
	}
	switch {
	case r.ready > 0:
		return c.take(b), nil
	case r.passes:
		return c.readRaw(b)
	case r.left > 0:
		return c.readLength(b)
	case r.inChunks:
		return c.readChunks(b)
	case r.inRequest:
		return c.readAhead(b[:1])
	}
	return c.readHead(b)
}

// readRaw reads from the client.
func (c *Conn) readRaw(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.startRequest()
		c.holder.Progress(time.Now())
	}
	return n, err // net/http compares the error, so it must not be wrapped.
}

// take hands over ready bytes.
func (c *Conn) take(b []byte) int {
	r := &c.reader
	n := copy(b, r.buffer[:r.ready])
	r.buffer, r.ready = r.buffer[n:], r.ready-n
	if len(r.buffer) == 0 {
		c.freeBuffer()
	}
	return n
}

func (c *Conn) freeBuffer() {
	c.holder.Release(memory.Heads, int64(cap(c.reader.buffer)))
	c.reader.buffer = nil
}

// keepBytes puts bytes that were read too early into the empty buffer.
func (c *Conn) keepBytes(data []byte) {
	if len(data) == 0 {
		return
	}
	c.reader.buffer = append(make([]byte, 0, max(len(data), minBuffer)), data...)
	c.holder.Add(memory.Heads, int64(cap(c.reader.buffer)))
}

// readLength reads a part of a body with a length.
func (c *Conn) readLength(b []byte) (n int, err error) {
	r := &c.reader
	b = b[:min(int64(len(b)), r.left)]
	if len(r.buffer) > 0 {
		r.ready = min(len(b), len(r.buffer))
		n = c.take(b)
	} else {
		n, err = c.readRaw(b)
	}
	if r.left -= int64(n); r.left == 0 {
		c.endLongBody()
	}
	return n, err
}

// readChunks reads a part of a chunked body.
func (c *Conn) readChunks(b []byte) (int, error) {
	r := &c.reader
	if len(r.buffer) > 0 {
		r.ready = c.scanChunks(r.buffer)
		return c.take(b), nil
	}
	n, err := c.readRaw(b[:min(int64(len(b)), r.chunks.left+chunkMargin)])
	end := c.scanChunks(b[:n])
	c.keepBytes(b[end:n])
	return end, err
}

// scanChunks returns how much of the data belongs to the chunked body.
func (c *Conn) scanChunks(data []byte) int {
	r := &c.reader
	fields := r.chunks.fields
	n, done, ok := r.chunks.scan(data)
	if added := r.chunks.fields - fields; added > 0 {
		c.holder.Add(memory.Heads, int64(added)*fieldCost)
	}
	if !ok {
		// The server refuses the body.
		r.passes = true
		return len(data)
	}
	if done {
		r.inChunks, r.chunks = false, chunkScanner{}
		c.endLongBody()
	}
	return n
}

// readAhead reads a byte while a request is in progress. The server reads one then to learn
// whether the client has gone.
func (c *Conn) readAhead(b []byte) (n int, err error) {
	r := &c.reader
	if len(r.buffer) > 0 {
		r.ready = 1
		n = c.take(b)
	} else {
		n, err = c.readRaw(b)
	}
	if n > 0 {
		c.chargeAhead()
		c.sentAhead()
	}
	if n > 0 && b[0] != '\r' && b[0] != '\n' {
		r.begun = true
	}
	return n, err
}

// endRequest prepares for the next request and reports whether a part of it was read already.
func (r *reader) endRequest() bool {
	r.inRequest = false
	return r.begun || len(r.buffer) > 0
}

// readHead reads a whole head, and what follows it of the same request.
func (c *Conn) readHead(b []byte) (int, error) {
	r := &c.reader
	if len(r.buffer) == 0 {
		n, err := c.readRaw(b)
		if n == 0 {
			return 0, err
		}
		end, next, begun := headEnd(b[:n], 0, r.begun)
		r.next, r.begun = next, begun
		if end >= 0 {
			return c.passHead(b[:n], end, true)
		}
		c.keepBytes(b[:n])
		c.setHeadTime()
		if err != nil {
			return 0, err
		}
	}
	for {
		end, next, begun := headEnd(r.buffer, r.next, r.begun)
		r.next, r.begun = next, begun
		if end >= 0 {
			if _, err := c.passHead(r.buffer, end, false); err != nil {
				return 0, err
			}
			return c.take(b), nil
		}
		if bound := c.listener.headBytes.Load(); bound > 0 && len(r.buffer) > int(bound)+headMargin {
			return 0, c.refuse(LongHead, http.StatusRequestHeaderFieldsTooLarge)
		}
		if !c.growBuffer() {
			return 0, c.refuse(RefusedHead, http.StatusServiceUnavailable)
		}
		n, err := c.readRaw(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if err != nil {
			return 0, err
		}
		c.setHeadTime()
	}
}

// growBuffer makes room in the buffer, and reports whether there was memory for it.
func (c *Conn) growBuffer() bool {
	r := &c.reader
	if len(r.buffer) < cap(r.buffer) {
		return true
	}
	size := max(4*len(r.buffer), minBuffer)
	if bound := int(c.listener.headBytes.Load()); bound > 0 {
		size = max(min(size, bound+headMargin+1), len(r.buffer)+1)
	}
	if !c.Hold(memory.Heads, int64(size)) {
		return false
	}
	before := int64(cap(r.buffer))
	r.buffer = append(make([]byte, 0, size), r.buffer...)
	c.holder.Release(memory.Heads, before)
	return true
}

// passHead charges the head that data begins with, and returns how much of data belongs to its
// request. The rest is kept. With direct, data is in the buffer of the server and not in that of
// the reader.
func (c *Conn) passHead(data []byte, end int, direct bool) (int, error) {
	r := &c.reader
	f := parseFrame(data[:end])
	if bounds := &c.listener.bounds; bounds.Fields > 0 && f.fields > bounds.Fields {
		return 0, c.refuse(LongHead, http.StatusRequestHeaderFieldsTooLarge)
	}
	if !c.Hold(memory.Heads, headCost+int64(end)*byteCost+int64(f.fields)*fieldCost) || !c.Hold(memory.Requests, requestCost) {
		return 0, c.refuse(RefusedHead, http.StatusServiceUnavailable)
	}
	c.clearHeadTime()
	r.inRequest, r.begun, r.next = true, false, 0
	r.passes = !f.clear
	r.left, r.inChunks = f.length, f.chunked
	if f.chunked {
		r.left = 0
	}
	n := end
	switch rest := data[end:]; {
	case r.passes:
		n = len(data)
	case r.inChunks:
		n += c.scanChunks(rest)
	default:
		k := min(r.left, int64(len(rest)))
		r.left -= k
		n += int(k)
	}
	if r.inChunks || r.left > int64(c.listener.bounds.ReceiveBytes) {
		c.beginLongBody()
	}
	if direct {
		c.keepBytes(data[n:])
	} else {
		r.ready = n
	}
	return n, nil
}

// setHeadTime bounds the time until the head is whole, from its first byte on.
func (c *Conn) setHeadTime() {
	bound := time.Duration(c.listener.headTime.Load())
	if bound == 0 {
		return
	}
	c.mu.Lock()
	set := c.headBy.IsZero()
	if set {
		c.headBy = time.Now().Add(bound)
	}
	deadline := c.deadline
	c.mu.Unlock()
	if set {
		_ = c.SetReadDeadline(deadline)
	}
}

func (c *Conn) clearHeadTime() {
	c.mu.Lock()
	set := !c.headBy.IsZero()
	c.headBy = time.Time{}
	deadline := c.deadline
	c.mu.Unlock()
	if set {
		_ = c.SetReadDeadline(deadline)
	}
}

const (
	// refuseTime bounds writing a refusal. For lingerTime after it, what the client still sends
	// is read and dropped, as closing with unread data resets the connection and may lose the
	// refusal.
	refuseTime = 200 * time.Millisecond
	lingerTime = 50 * time.Millisecond
)

// refuse answers a request whose head was not handed over, and returns the error that makes the
// server close the connection.
func (c *Conn) refuse(reason Refusal, status int) error {
	c.listener.count(reason)
	c.freeBuffer()
	c.reader = reader{passes: true}
	c.mu.Lock()
	cut := c.evicted
	c.evicted = true
	c.mu.Unlock()
	if cut {
		return io.EOF
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTime))
	text := http.StatusText(status)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, text, retry, len(text)+1, text)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && err == nil {
		_ = tcp.CloseWrite()
		c.linger()
	}
	return io.EOF
}

// linger reads what the client still sends for a moment.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	var scratch [4 << 10]byte
	for {
		if _, err := c.Conn.Read(scratch[:]); err != nil {
			return
		}
	}
}

const (
	// writeGrace and minWriteRate bound how slowly a client may read a response: a write may
	// take writeGrace and the time that its bytes take at minWriteRate, in bytes per second.
	writeGrace   = 5 * time.Second
	minWriteRate = 8 << 10
	// maxWrite is the largest write in bytes. Each write counts as progress, so larger ones
	// would make a slow client look stalled.
	maxWrite = 32 << 10
)

// Write implements net.Conn. It fails if the client reads too slowly.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		n, err := c.writePart(part)
		if written += n; err != nil || written == len(b) {
			return written, err // net/http compares the error, so it must not be wrapped.
		}
	}
}

func (c *Conn) writePart(part []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	if c.cut {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	before := c.holder.Phase()
	c.holder.Enter(memory.Sending, now)
	_ = c.Conn.SetWriteDeadline(now.Add(writeGrace + time.Duration(len(part))*time.Second/minWriteRate))
	c.mu.Unlock()
	n, err := c.Conn.Write(part)
	c.holder.Enter(before, time.Now())
	return n, err
}
