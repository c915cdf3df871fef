package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n"
	errReset := errors.New("connection is reset")
	for _, c := range []struct {
		name   string
		reader io.Reader
		after  string
		want   string
		last   string
		err    error
	}{
		{"read at once", strings.NewReader(stream), "", stream, "2", io.EOF},
		{"read byte by byte", iotest.OneByteReader(strings.NewReader(stream)), "", stream, "2", io.EOF},
		{"resumed after an event", strings.NewReader(stream), "1", "id: 2\ndata: b\n\ndata: c\n\n", "2", io.EOF},
		{"ends within an event", strings.NewReader(stream + "id: 3\nda"), "", stream, "2", errEventTruncated},
		{"reset within an event", io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2"), iotest.ErrReader(errReset)), "", "id: 1\ndata: a\n\n", "1", errReset},
		{"comments between events", strings.NewReader(": c\n\n" + stream + ": d\n\nid: 3\ndata: e\n\n"), "", ": c\n\n" + stream + ": d\n\nid: 3\ndata: e\n\n", "3", io.EOF},
		{"comments before an event that is skipped", strings.NewReader(": c\n\n" + stream), "1", "id: 2\ndata: b\n\ndata: c\n\n", "2", io.EOF},
		{"comment at the end", strings.NewReader(stream + ": c\n\n"), "", stream + ": c\n\n", "2", io.EOF},
		{"comment before a truncated event", strings.NewReader(stream + ": c\n\nid: 3"), "", stream + ": c\n\n", "2", errEventTruncated},
		{"reset after a comment", io.MultiReader(strings.NewReader(stream+": c\n\n"), iotest.ErrReader(errReset)), "", stream, "2", errReset},
		{"empty", strings.NewReader(""), "", "", "", io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewReader(c.reader, c.after)
			got, last := "", ""
			for {
				data, id, err := e.Next()
				got += string(data)
				if id != "" {
					last = id
				}
				if err != nil {
					if !errors.Is(err, c.err) {
						t.Errorf("error is %v, want %v", err, c.err)
					}
					break
				}
			}
			if got != c.want || last != c.last {
				t.Errorf("events are %q up to %q, want %q up to %q", got, last, c.want, c.last)
			}
		})
	}
}

// A stream that ends with its connection must not end without an event, whatever else it has.
func TestNoEvent(t *testing.T) {
	for _, c := range []struct {
		stream, want string
		err          error
	}{
		{"", "", errNoEvent},
		{": c\n\n", "", errNoEvent},
		{"id: 1", "", errNoEvent},
		{": c\n\nid: 1\ndata: a\n\n", ": c\n\nid: 1\ndata: a\n\n", io.EOF},
		{"data: a\n\n: c\n\n", "data: a\n\n: c\n\n", io.EOF},
		{"data: a\n\nda", "data: a\n\n", errEventTruncated},
	} {
		e := NewReader(strings.NewReader(c.stream), "")
		e.RequireEvent()
		got := ""
		data, _, err := e.Next()
		for ; err == nil; data, _, err = e.Next() {
			got += string(data)
		}
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("events of %q are %q (%v), want %q (%v)", c.stream, got, err, c.want, c.err)
		}
	}
}

// Reading any stream at once and byte by byte must return the same events, and all of
// the stream up to the end of the last whole event.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nda")
	f.Fuzz(func(t *testing.T, stream string) {
		whole := allEventsOf(strings.NewReader(stream))
		if slow := allEventsOf(iotest.OneByteReader(strings.NewReader(stream))); slow != whole {
			t.Errorf("events are %q when read at once and %q when read byte by byte", whole, slow)
		}
		if !strings.HasPrefix(stream, whole) {
			t.Errorf("events are %q, not a prefix of stream %q", whole, stream)
		}
	})
}

func allEventsOf(r io.Reader) string {
	e := NewReader(r, "")
	var all strings.Builder
	for {
		data, _, err := e.Next()
		all.Write(data)
		if err != nil {
			return all.String()
		}
	}
}
