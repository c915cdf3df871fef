// Package events splits a stream of server-sent events into whole events, so that a client
// never gets part of an event and a broken stream is never taken as complete.
//
// It holds back comments until the event that follows them, skips the events that a client
// has already, and bounds the memory that a stream without end takes up.
package events

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// A Reader splits a stream into whole events. For a resumed stream, it skips
// the events up to the last one that was delivered. Comments and other blocks that are no
// events are passed on with the event that follows, so that they do not count as progress.
// Create it with NewReader.
type Reader struct {
	reader io.Reader
	// buffer holds what was read and not yet returned or skipped. Its length exceeds
	// maxEventBytes by a chunk at most.
	buffer []byte
	// held is the length of the blocks at the start of the buffer that are no events.
	held int
	// after is the number of the last event to skip, or -1.
	after int64
	// needsEvent is true while the stream would be truncated if it ended without an event.
	needsEvent bool
	// readErr is the error of the last read. Nothing is read after an error.
	readErr error
}

// NewReader returns a reader of a stream that skips the events up to the one with the given
// id. If the id is no number, nothing is skipped.
func NewReader(r io.Reader, last string) *Reader {
	after, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		after = -1
	}
	return &Reader{reader: r, after: after}
}

// RequireEvent makes it an error if the stream ends without an event. It must be called
// before Next.
func (e *Reader) RequireEvent() { e.needsEvent = true }

const (
	// readChunkSize is the size of one read in bytes, and maxEventBytes bounds an
	// event together with the blocks before it that are no events.
	readChunkSize = 4 << 10
	maxEventBytes = 128 << 10
)

// ErrTooLong means that an event, with the comments before it, exceeds its bound, as one
// without end does.
var ErrTooLong = errors.New("read event: response is too long")

// Other errors of streams.
var (
	errEventTruncated = errors.New("stream ends within an event")
	errNoEvent        = errors.New("stream ends with its connection and without an event")
)

// Next returns the next whole events and the id of the last of them. It returns
// io.EOF at the end of the stream.
func (e *Reader) Next() (data []byte, id string, err error) {
	for {
		if data, id = e.cutEvents(); len(data) > 0 {
			return data, id, nil
		}
		if e.readErr == io.EOF && e.held > 0 && !e.needsEvent {
			return e.cut(e.held), "", nil
		}
		if e.readErr != nil {
			return nil, "", e.endError()
		}
		if len(e.buffer) > maxEventBytes {
			return nil, "", ErrTooLong
		}
		chunk := make([]byte, readChunkSize)
		n, err := e.reader.Read(chunk)
		e.buffer = append(e.buffer, chunk[:n]...)
		e.readErr = err
	}
}

func (e *Reader) endError() error {
	switch {
	case e.readErr != io.EOF:
		return e.readErr
	case e.needsEvent:
		return errNoEvent
	case len(bytes.TrimSpace(e.buffer)) > 0:
		return errEventTruncated
	}
	return io.EOF
}

var (
	eventEnd  = []byte("\n\n")
	dataField = []byte("data:")
	idField   = []byte("id:")
)

// cutEvents removes the whole events from the buffer and returns them.
func (e *Reader) cutEvents() (data []byte, id string) {
	for {
		block, rest, ok := bytes.Cut(e.buffer[e.held:], eventEnd)
		if !ok {
			return data, id
		}
		if !isEvent(block) {
			e.held = len(e.buffer) - len(rest)
			continue
		}
		e.needsEvent = false
		event := e.cut(len(e.buffer) - len(rest))
		ownID := eventID(block)
		if number, err := strconv.ParseInt(ownID, 10, 64); err == nil && number <= e.after {
			continue
		}
		data = append(data, event...)
		if ownID != "" {
			id = ownID
		}
	}
}

// cut removes the first bytes from the buffer and returns them.
func (e *Reader) cut(size int) []byte {
	data := e.buffer[:size]
	e.buffer, e.held = e.buffer[size:], 0
	return data
}

// isEvent reports whether a block has data or an id. Others, such as comments, do not
// reach a client's application.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		if bytes.HasPrefix(line, dataField) || bytes.HasPrefix(line, idField) {
			return true
		}
	}
	return false
}

// eventID returns the id of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
