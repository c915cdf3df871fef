package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// events splits a stream into whole events. Of a stream that goes on after an
// event, those up to that event are passed over.
type events struct {
	reader io.Reader
	buffer []byte
	// after is the number of the last event that is not wanted, or -1.
	after int64
	ended error
}

func newEvents(r io.Reader, last string) *events {
	after, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		after = -1
	}
	return &events{reader: r, after: after}
}

const (
	// readSize is how much is read at a time, and maxEvent bounds an event, in
	// bytes.
	readSize = 4 << 10
	maxEvent = 1 << 20
)

// Errors of streams.
var (
	errEventTooLong = errors.New("event is too long")
	errEventTorn    = errors.New("stream ends within an event")
)

// next returns the next events that are whole, and the id of the last of them. It
// returns io.EOF at the end of the stream.
func (e *events) next() (data []byte, id string, err error) {
	for {
		if data, id = e.take(); len(data) > 0 {
			return data, id, nil
		}
		if e.ended != nil {
			return nil, "", e.end()
		}
		if len(e.buffer) > maxEvent {
			return nil, "", errEventTooLong
		}
		chunk := make([]byte, readSize)
		n, err := e.reader.Read(chunk)
		e.buffer = append(e.buffer, chunk[:n]...)
		e.ended = err
	}
}

func (e *events) end() error {
	if e.ended == io.EOF && len(bytes.TrimSpace(e.buffer)) > 0 {
		return errEventTorn
	}
	return e.ended
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// take takes the whole events off the buffer.
func (e *events) take() (data []byte, id string) {
	for {
		event, rest, ok := bytes.Cut(e.buffer, eventEnd)
		if !ok {
			return data, id
		}
		e.buffer = rest
		name := eventID(event)
		if number, err := strconv.ParseInt(name, 10, 64); err == nil && number <= e.after {
			continue
		}
		data = append(append(data, event...), eventEnd...)
		if name != "" {
			id = name
		}
	}
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
