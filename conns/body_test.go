package conns

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"teaselplank/platform/stand"
)

func TestBodies(t *testing.T) {
	errReset := errors.New("connection is reset")
	of := func(size int) string { return strings.Repeat("x", size) }
	for _, c := range []struct {
		name   string
		reader io.Reader
		size   int
		err    error
	}{
		{"empty", strings.NewReader(""), 0, nil},
		{"short", strings.NewReader(of(800)), 800, nil},
		{"one chunk", strings.NewReader(of(bodyChunkSize)), bodyChunkSize, nil},
		{"as long as allowed", strings.NewReader(of(maxAnswerBytes)), maxAnswerBytes, nil},
		{"a byte too long", strings.NewReader(of(maxAnswerBytes + 1)), 0, ErrTooLong},
		{"without end", stand.NewEndlessReader("x"), 0, ErrTooLong},
		{"truncated", io.MultiReader(strings.NewReader(of(bodyChunkSize+1)), iotest.ErrReader(io.ErrUnexpectedEOF)), 0, io.ErrUnexpectedEOF},
		{"reset", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errReset)), 0, errReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			var pool BodyPool
			b, err := pool.ReadAll(c.reader)
			if !errors.Is(err, c.err) {
				t.Fatalf("error is %v, want %v", err, c.err)
			}
			if err == nil {
				wantBody(t, b, of(c.size))
				b.Release()
			}
			if n := pool.extraChunks.Load(); n != 0 {
				t.Errorf("%d chunks are in use after the end, want 0", n)
			}
		})
	}
}

func wantBody(t *testing.T, b *Body, want string) {
	t.Helper()
	var got bytes.Buffer
	b.CopyTo(&got)
	if b.Size() != len(want) || got.String() != want {
		t.Errorf("body has %d bytes and the size %d, want %d", got.Len(), b.Size(), len(want))
	}
}

// Short answers must still be read while long ones use up the pool.
func TestShortBodyBesideLongOnes(t *testing.T) {
	var pool BodyPool
	for pool.acquire() {
	}
	b, err := pool.ReadAll(strings.NewReader("short"))
	if err != nil {
		t.Fatal(err)
	}
	wantBody(t, b, "short")
	oneChunk := strings.Repeat("x", bodyChunkSize)
	if b, err = pool.ReadAll(strings.NewReader(oneChunk)); err != nil {
		t.Fatal(err)
	}
	wantBody(t, b, oneChunk)
	if _, err := pool.ReadAll(strings.NewReader(strings.Repeat("x", 2*bodyChunkSize))); !errors.Is(err, ErrTooLong) {
		t.Errorf("error of a long body is %v, want %v", err, ErrTooLong)
	}
	if n := pool.extraChunks.Load(); n != maxExtraChunks {
		t.Errorf("%d chunks are in use, want %d", n, maxExtraChunks)
	}
}
