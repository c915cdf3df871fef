package server

import (
	"strings"
	"sync"

	"teaselplank/pipe"
)

// A tokenBuffer collects the tokens of a request's current generation stage, from which the
// handler of the caller reads them. Only the attempt that started last may add tokens, and
// only in the order of their indexes, so that no token is lost, duplicated or taken from
// another request.
type tokenBuffer struct {
	mu sync.Mutex
	// writer is the attempt that may add tokens.
	writer pipe.Ref
	tokens []string
	// changed is closed and replaced whenever a token is added.
	changed chan struct{}
}

func newTokenBuffer() *tokenBuffer {
	return &tokenBuffer{changed: make(chan struct{})}
}

// setWriter makes ref the attempt that may add tokens. If ref is of another stage, it
// clears the buffer.
func (b *tokenBuffer) setWriter(ref pipe.Ref) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ref.Stage != b.writer.Stage {
		b.tokens = nil
	}
	b.writer = ref
}

// add appends a token. It returns false if ref is not the writer or index is not the next
// one; the attempt must then stop.
func (b *tokenBuffer) add(ref pipe.Ref, index int, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ref != b.writer || index != len(b.tokens) {
		return false
	}
	b.tokens = append(b.tokens, text)
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// nextIndex returns the index of the next token of an attempt's stage.
func (b *tokenBuffer) nextIndex(ref pipe.Ref) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ref.Stage != b.writer.Stage {
		return 0
	}
	return len(b.tokens)
}

func (b *tokenBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.tokens, "")
}

// tokensFrom returns the tokens of a stage starting at index, and a channel that is closed
// when another token is added.
func (b *tokenBuffer) tokensFrom(stage, index int) ([]string, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writer.Stage != stage || index >= len(b.tokens) {
		return nil, b.changed
	}
	return append([]string(nil), b.tokens[index:]...), b.changed
}
