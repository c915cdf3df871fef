package conns

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

// A BodyPool bounds the memory for the bodies of answers, which are read whole before
// they are forwarded. The zero value is empty.
type BodyPool struct {
	// extraChunks is the number of chunks in use beyond the first of each body. It
	// exceeds maxExtraChunks only for a moment in acquire.
	extraChunks atomic.Int64
}

// acquire takes an extra chunk and reports whether there was one left.
func (p *BodyPool) acquire() bool {
	if p.extraChunks.Add(1) <= maxExtraChunks {
		return true
	}
	p.extraChunks.Add(-1)
	return false
}

// A Holder accounts for the memory of a body, such as the connection of the client that waits
// for it.
type Holder interface {
	// HoldResponse charges bytes, and returns false if there is no memory for them. With must it
	// charges them even beyond the bound, without waiting. DropResponse releases them.
	HoldResponse(bytes int64, must bool) bool
	DropResponse(bytes int64)
}

// A Body is the whole body of an answer.
type Body struct {
	pool *BodyPool
	// holder accounts for the body, or is nil. charged is the number of bytes charged to it.
	holder  Holder
	charged int64
	// chunks are full except for the last one. All but the first are taken from the
	// pool.
	chunks [][]byte
	// size is the length of all chunks, at most maxAnswerBytes.
	size int
}

// ReadAll reads a whole body. The caller releases it.
func (p *BodyPool) ReadAll(r io.Reader) (*Body, error) { return p.ReadAllFor(r, nil) }

// ReadAllFor is like ReadAll, with a holder that accounts for the body. The first chunk needs no
// room, so that a short answer that is ready is never lost.
func (p *BodyPool) ReadAllFor(r io.Reader, h Holder) (*Body, error) {
	b := &Body{pool: p, holder: h}
	if err := b.readFrom(r); err != nil {
		b.Release()
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b, nil
}

func (b *Body) readFrom(r io.Reader) error {
	for {
		chunk, err := io.ReadAll(io.LimitReader(r, bodyChunkSize))
		if err != nil || len(chunk) == 0 {
			return err
		}
		if b.size+len(chunk) > maxAnswerBytes || len(b.chunks) > 0 && !b.pool.acquire() {
			return ErrTooLong
		}
		if !b.charge(int64(len(chunk)), len(b.chunks) == 0) {
			b.pool.extraChunks.Add(-1)
			return ErrTooLong
		}
		b.chunks = append(b.chunks, chunk)
		b.size += len(chunk)
	}
}

// charge charges a chunk and reports whether there was room for it.
func (b *Body) charge(bytes int64, must bool) bool {
	if b.holder == nil {
		return true
	}
	if !b.holder.HoldResponse(bytes, must) {
		return false
	}
	b.charged += bytes
	return true
}

// Size returns the length of the body in bytes.
func (b *Body) Size() int { return b.size }

// CopyTo writes the body to a client. If that fails, the client has disconnected.
func (b *Body) CopyTo(w io.Writer) {
	for _, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// Release returns the chunks to the pool. A nil body has none.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.pool.extraChunks.Add(-int64(max(len(b.chunks)-1, 0)))
	b.chunks = nil
	if b.holder != nil {
		b.holder.DropResponse(b.charged)
		b.charged = 0
	}
}
