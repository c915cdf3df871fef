package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"teaselplank/fleet"
)

func upstreamAt(addr string) fleet.Upstream { return fleet.Upstream{ID: "u", Addr: addr} }

func TestEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n"
	torn := errors.New("connection is reset")
	for _, c := range []struct {
		name   string
		reader io.Reader
		after  string
		want   string
		last   string
		err    error
	}{
		{"whole", strings.NewReader(stream), "", stream, "2", io.EOF},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(stream)), "", stream, "2", io.EOF},
		{"after an event", strings.NewReader(stream), "1", "id: 2\ndata: b\n\ndata: c\n\n", "2", io.EOF},
		{"ends within an event", strings.NewReader(stream + "id: 3\nda"), "", stream, "2", errEventTorn},
		{"is reset within an event", io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2"), iotest.ErrReader(torn)), "", "id: 1\ndata: a\n\n", "1", torn},
		{"empty", strings.NewReader(""), "", "", "", io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvents(c.reader, c.after)
			got, last := "", ""
			for {
				data, id, err := e.next()
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

// FuzzEvents reads any stream in whole and byte by byte: both give the same events,
// and nothing of the stream but what stands after the last whole event is lost.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nda")
	f.Fuzz(func(t *testing.T, stream string) {
		whole := readEvents(strings.NewReader(stream))
		if slow := readEvents(iotest.OneByteReader(strings.NewReader(stream))); slow != whole {
			t.Errorf("events are %q in whole and %q byte by byte", whole, slow)
		}
		if !strings.HasPrefix(stream, whole) {
			t.Errorf("events are %q of %q", whole, stream)
		}
	})
}

func readEvents(r io.Reader) string {
	e := newEvents(r, "")
	var all strings.Builder
	for {
		data, _, err := e.next()
		all.Write(data)
		if err != nil {
			return all.String()
		}
	}
}
