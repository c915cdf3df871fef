package relay

import (
	"context"
	"errors"
	"fmt"

	"teaselplank/fleet"
)

// Errors of connecting to an upstream, of which each is passed over for another
// time.
var (
	errUnreached  = errors.New("upstream refuses connections")
	errUnanswered = errors.New("upstream does not answer")
	errWithheld   = errors.New("upstream may not be sent work any more")
)

// connect takes a connection to an upstream, an open one or a new one, and looks
// once more whether the upstream may be sent work: making a connection takes time,
// in which it may have said that it leaves.
func (s *Server) connect(ctx context.Context, u fleet.Upstream) (*conn, error) {
	c, err := s.upstreams.get(ctx, u)
	if err != nil {
		s.metrics.upstreamFailure(u.Service, "dial")
		if isTimeout(err) {
			return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errUnanswered, err)
		}
		return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errUnreached, err)
	}
	if !s.usable(u) {
		c.finish(nil)
		return nil, fmt.Errorf("connect to %q: %w", u.ID, errWithheld)
	}
	return c, nil
}

func (s *Server) usable(u fleet.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Usable(u.ID, u.Born)
}
