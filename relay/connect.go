package relay

import (
	"context"
	"errors"
	"fmt"

	"teaselplank/fleet"
)

// Errors of connecting to an upstream. Each means that nothing was sent, so the request
// can go to another upstream.
var (
	errUnreachable      = errors.New("upstream is unreachable")
	errConnectTimeout   = errors.New("upstream did not answer in time")
	errUpstreamUnusable = errors.New("upstream no longer accepts work")
)

// connect returns an idle or a new connection to an upstream. It then checks again
// that the upstream accepts work, as it may have announced that it is leaving while the
// connection was made.
func (s *Server) connect(ctx context.Context, u fleet.Upstream) (*conn, error) {
	c, err := s.conns.get(ctx, u)
	if err != nil {
		s.metrics.countUpstreamFailure(u.Service, "dial")
		if isTimeout(err) {
			return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errConnectTimeout, err)
		}
		return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errUnreachable, err)
	}
	if !s.usable(u) {
		c.putBack(nil)
		return nil, fmt.Errorf("connect to %q: %w", u.ID, errUpstreamUnusable)
	}
	return c, nil
}

func (s *Server) usable(u fleet.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Usable(u.ID, u.Born)
}
