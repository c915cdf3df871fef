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
