package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"teaselplank/conns"
	"teaselplank/fleet"
	"teaselplank/listen"
	"teaselplank/memory"
	"teaselplank/proxy"
)

const (
	// bodyGrace and minBodyRate bound how slowly a client may send a body: it may take
	// bodyGrace and the time that its bytes take at minBodyRate, in bytes per second.
	bodyGrace   = 5 * time.Second
	minBodyRate = 8 << 10
	// firstBodyChunk and maxBodyChunk are the sizes of the pieces that a body is read in. They
	// double, so that a client that announces a body and sends none holds little.
	firstBodyChunk = 4 << 10
	maxBodyChunk   = 64 << 10
	// bodyRetryAfter is the retry time of a request that is refused for lack of memory.
	bodyRetryAfter = time.Second
	// unreadTime bounds how long the rest of an unread body is received after the answer.
	unreadTime = 50 * time.Millisecond
)

// A clientBody is the whole body of a client's request.
type clientBody struct {
	chunks [][]byte
	size   int
}

// reader returns a reader of the body.
func (b clientBody) reader() io.Reader {
	if len(b.chunks) == 1 {
		return bytes.NewReader(b.chunks[0])
	}
	readers := make([]io.Reader, len(b.chunks))
	for i, chunk := range b.chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// Errors of reading a body.
var (
	errBodyTooLong = errors.New("body is too long")
	errNoRoom      = errors.New("there is no memory for the body")
)

// readBody reads a body of up to a number of bytes. What it holds is charged as it arrives.
func readBody(r *http.Request, maxBytes int64) (clientBody, error) {
	b, err := readPieces(r, maxBytes)
	if err == nil {
		return b, nil
	}
	if c := listen.ConnOf(r); c != nil {
		// The server may keep the connection for a moment after the answer.
		c.DropBody()
	}
	return clientBody{}, err
}

func readPieces(r *http.Request, maxBytes int64) (clientBody, error) {
	var b clientBody
	if r.ContentLength > maxBytes {
		return b, errBodyTooLong
	}
	if r.ContentLength == 0 {
		return b, nil
	}
	c := listen.ConnOf(r)
	started := time.Now()
	for size := firstBodyChunk; ; size = min(2*size, maxBodyChunk) {
		if r.ContentLength > 0 {
			size = min(size, int(r.ContentLength)-b.size)
		}
		if size == 0 {
			return b, endBody(c)
		}
		if c != nil && !c.Hold(memory.Bodies, int64(size)) {
			return b, errNoRoom
		}
		chunk := make([]byte, size)
		n, err := readChunk(r.Body, chunk, func(read int) {
			if c != nil {
				// It fails only on a closed connection.
				_ = c.SetReadDeadline(started.Add(bodyGrace + time.Duration(b.size+read)*time.Second/minBodyRate))
			}
		})
		if n > 0 {
			b.chunks = append(b.chunks, chunk[:n])
			b.size += n
		}
		switch {
		case int64(b.size) > maxBytes:
			return b, errBodyTooLong
		case err == io.EOF:
			return b, endBody(c)
		case err != nil:
			if c != nil && !c.EndBody() {
				return b, errNoRoom
			}
			return b, err
		}
	}
}

// endBody returns an error if the connection is being closed for lack of room.
func endBody(c *listen.Conn) error {
	if c != nil && !c.EndBody() {
		return errNoRoom
	}
	return nil
}

// readChunk fills a chunk. It calls before with the number of bytes read before each read.
func readChunk(r io.Reader, chunk []byte, before func(read int)) (int, error) {
	read := 0
	for read < len(chunk) {
		before(read)
		n, err := r.Read(chunk[read:])
		if read += n; err != nil {
			return read, err // The caller compares the error.
		}
	}
	return read, nil
}

// responseHolder returns what accounts for the response to a request, or nil.
func responseHolder(r *http.Request) conns.Holder {
	if c := listen.ConnOf(r); c != nil {
		return c
	}
	return nil
}

// maxBodyBytes returns the bound of bodies of a configuration.
func maxBodyBytes(t *fleet.Table) int64 {
	if t != nil && t.Limits().BodyBytes > 0 {
		return t.Limits().BodyBytes
	}
	return defaultMaxBodyBytes
}

// table returns the configuration in force, or nil.
func (s *Server) table() *fleet.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Table()
}

// leaveBody makes the connection of a request whose body is not read close after the answer.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	if c := listen.ConnOf(r); c != nil {
		_ = c.SetReadDeadline(time.Now().Add(unreadTime)) // It fails only on a closed connection.
	}
}

// replyBodyError answers a request whose body is too large, incomplete or too slow, or has no
// room.
func (s *Server) replyBodyError(w http.ResponseWriter, r *http.Request, q proxy.Request, err error) {
	status, retry := http.StatusBadRequest, time.Duration(0)
	switch {
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
		s.bounds.count(listen.LongBody)
	case errors.Is(err, errNoRoom):
		status, retry = http.StatusServiceUnavailable, bodyRetryAfter
		s.bounds.count(listen.RefusedBody)
	case isTimeout(err):
		status = http.StatusRequestTimeout
		s.bounds.count(listen.SlowBody)
	default:
		s.replyInvalid(w, q, status, http.StatusText(status), err)
		return
	}
	leaveBody(w, r)
	s.protocol.SetReplyHeader(w.Header(), q.ID, retry)
	http.Error(w, http.StatusText(status), status)
}
