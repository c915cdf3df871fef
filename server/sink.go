package server

import (
	"strings"
	"sync"

	"teaselplank/pipe"
)

// A sink collects the tokens of the generation stage that a request is at and
// lets the caller's handler follow them. Only the attempt that began last may
// add tokens, and only the next one, so that no token is lost, doubled or taken
// from another request.
type sink struct {
	mu sync.Mutex
	// ref is the attempt that may add tokens.
	ref    pipe.Ref
	tokens []string
	// grown is closed and replaced whenever tokens are added.
	grown chan struct{}
}

func newSink() *sink {
	return &sink{grown: make(chan struct{})}
}

// begin makes ref the attempt that may add tokens. A new stage starts anew.
func (s *sink) begin(ref pipe.Ref) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ref.Stage != s.ref.Stage {
		s.tokens = nil
	}
	s.ref = ref
}

// add appends a token and reports whether the attempt may go on.
func (s *sink) add(ref pipe.Ref, index int, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ref != s.ref || index != len(s.tokens) {
		return false
	}
	s.tokens = append(s.tokens, text)
	close(s.grown)
	s.grown = make(chan struct{})
	return true
}

// len returns the index of the next token that an attempt's stage wants.
func (s *sink) len(ref pipe.Ref) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ref.Stage != s.ref.Stage {
		return 0
	}
	return len(s.tokens)
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, "")
}

// after returns the tokens of a stage from an index on, and a channel that is
// closed when there are more.
func (s *sink) after(stage, index int) ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ref.Stage != stage || index >= len(s.tokens) {
		return nil, s.grown
	}
	return append([]string(nil), s.tokens[index:]...), s.grown
}
