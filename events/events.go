// Package events splits a stream of server-sent events into whole events, so that a client
// never gets part of an event and a broken stream is never taken as complete.
//
// It holds back comments until the event that follows them, refuses what is not the next
// event of the stream, and bounds the memory that a stream without end takes up.
package events

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// A Reader splits a stream into whole events and checks that each follows the one before it.
// Comments are passed on with the event that follows, so that they do not count as progress.
// Create it with NewReader.
type Reader struct {
	reader io.Reader
	// buffer holds what was read and not yet returned or skipped. Its length exceeds
	// maxEventBytes by a chunk at most.
	buffer []byte
	// held is the length of the blocks at the start of the buffer that are no events.
	held     int
	sequence sequence
	// needsEvent is true while the stream would be truncated if it ended without an event.
	needsEvent bool
	// readErr is the error of the last read. Nothing is read after an error.
	readErr error
}

// NewReader returns a reader of a stream that continues after the event with the given id, or
// of a new stream if the id is no number.
func NewReader(r io.Reader, last string) *Reader {
	return &Reader{reader: r, sequence: sequenceAfter(last)}
}

// AllowGap lets the first event of a resumed stream have any id that is higher than the last
// one. It must be called before Next.
func (e *Reader) AllowGap() { e.sequence.resumed = false }

// HasGaps reports whether the ids of two events that the stream itself had left a gap.
func (e *Reader) HasGaps() bool { return e.sequence.gaps }

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

// ErrInvalid means that what was read is not the next event of the stream.
var ErrInvalid = errors.New("not the next event of the stream")

// Other errors of streams.
var (
	errEventTruncated = errors.New("stream ends within an event")
	errNoEvent        = errors.New("stream ends with its connection and without an event")
)

// Next returns the next whole events and the id of the last of them. It returns
// io.EOF at the end of the stream.
func (e *Reader) Next() (data []byte, id string, err error) {
	for {
		data, id, err := e.cutEvents()
		if len(data) > 0 {
			return data, id, nil
		}
		if err == nil {
			err = checkStart(e.buffer[e.held:])
		}
		if err != nil {
			return nil, "", err
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

var eventEnd = []byte("\n\n")

// cutEvents removes the whole events from the buffer and returns them and the id of the last
// one. It stops before a block that is not the next event, and returns its error.
func (e *Reader) cutEvents() (data []byte, id string, err error) {
	for {
		text, rest, ok := bytes.Cut(e.buffer[e.held:], eventEnd)
		if !ok {
			return data, id, nil
		}
		b, err := parseBlock(text)
		if err != nil {
			return data, id, err
		}
		if !b.isEvent {
			e.held = len(e.buffer) - len(rest)
			continue
		}
		if err := e.sequence.next(b.id); err != nil {
			return data, id, err
		}
		e.needsEvent = false
		data = append(data, e.cut(len(e.buffer)-len(rest))...)
		id = strconv.FormatInt(b.id, 10)
	}
}

// cut removes the first bytes from the buffer and returns them.
func (e *Reader) cut(size int) []byte {
	data := e.buffer[:size]
	e.buffer, e.held = e.buffer[size:], 0
	return data
}
