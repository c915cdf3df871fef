package relay

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 4 << 20
	// bodyChunkSize is the part of a body that any answer may take up, in bytes.
	bodyChunkSize = 64 << 10
	// maxExtraChunks bounds the further chunks of all bodies together to 32 MiB, so that
	// many long bodies at once leave memory for the short ones.
	maxExtraChunks = (32 << 20) / bodyChunkSize
)

// A bodyPool bounds the memory for the bodies of answers, which are read whole before
// they are forwarded. The zero value is empty.
type bodyPool struct {
	// extraChunks is the number of chunks in use beyond the first of each body. It
	// exceeds maxExtraChunks only for a moment in acquire.
	extraChunks atomic.Int64
}

// acquire takes an extra chunk and reports whether there was one left.
func (p *bodyPool) acquire() bool {
	if p.extraChunks.Add(1) <= maxExtraChunks {
		return true
	}
	p.extraChunks.Add(-1)
	return false
}

// A body is the whole body of an answer.
type body struct {
	pool *bodyPool
	// chunks are full except for the last one. All but the first are taken from the
	// pool.
	chunks [][]byte
	size   int
}

// read reads a whole body. The caller releases it.
func (p *bodyPool) read(r io.Reader) (*body, error) {
	b := &body{pool: p}
	if err := b.readFrom(r); err != nil {
		b.release()
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b, nil
}

func (b *body) readFrom(r io.Reader) error {
	for {
		chunk, err := io.ReadAll(io.LimitReader(r, bodyChunkSize))
		if err != nil || len(chunk) == 0 {
			return err
		}
		if b.size+len(chunk) > maxAnswerBytes || len(b.chunks) > 0 && !b.pool.acquire() {
			return errResponseTooLong
		}
		b.chunks = append(b.chunks, chunk)
		b.size += len(chunk)
	}
}

// writeTo writes the body to a client. If that fails, the client has disconnected.
func (b *body) writeTo(w io.Writer) {
	for _, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// release returns the chunks to the pool. A nil body has none.
func (b *body) release() {
	if b == nil {
		return
	}
	b.pool.extraChunks.Add(-int64(max(len(b.chunks)-1, 0)))
	b.chunks = nil
}
