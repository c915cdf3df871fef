package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"teaselplank/batch"
	"teaselplank/conns"
	"teaselplank/fleet"
	"teaselplank/member"
	"teaselplank/proxy"
)

// Errors of connecting to an upstream. Each means that nothing was sent, so the request
// can go to another upstream.
var (
	errUnreachable      = errors.New("upstream is unreachable")
	errConnectTimeout   = errors.New("upstream did not answer in time")
	errUpstreamUnusable = errors.New("upstream no longer accepts work")
)

// connect returns an idle connection to an upstream, or a new one, which newConn demands. It
// then checks again that the upstream accepts work, as it may have announced that it is
// leaving while the connection was made.
func (s *Server) connect(ctx context.Context, u fleet.Upstream, newConn bool) (*conns.Conn, error) {
	get := s.conns.Get
	if newConn {
		get = s.conns.Dial
	}
	c, err := get(ctx, u)
	if err != nil {
		s.metrics.countUpstreamFailure(u.Service, "dial")
		if isTimeout(err) {
			return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errConnectTimeout, err)
		}
		return nil, fmt.Errorf("connect to %q: %w: %w", u.ID, errUnreachable, err)
	}
	if !s.usable(u) {
		c.PutBack(nil)
		return nil, fmt.Errorf("connect to %q: %w", u.ID, errUpstreamUnusable)
	}
	return c, nil
}

// isTimeout reports whether an operation on a connection timed out.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

func (s *Server) usable(u fleet.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Usable(s.now(), u.ID, u.Born)
}

// observeNotice applies what an upstream says about itself in a response on a connection
// where a request was sent at the given time. All requests to upstreams pass their responses
// to it. A response that is not known to belong to the request may be an old one. That its
// process is leaving then holds all the same, as a process that leaves does not stay.
func (s *Server) observeNotice(u fleet.Upstream, r *http.Response, sentAt time.Time, belongs bool) {
	notice := s.protocol.ParseNotice(r)
	if notice.Leaving {
		s.markLeaving(u)
	}
	if !belongs {
		return
	}
	if notice.InvalidLoad != "" {
		s.countInvalidLoad(u, notice.InvalidLoad)
	}
	s.observeLimit(u, notice.Limit, sentAt)
	if notice.RetryAfter > 0 {
		s.holdUpstream(u, notice)
	}
}

func (s *Server) markLeaving(u fleet.Upstream) {
	mark := leavingMark(u)
	s.mu.Lock()
	known := s.group.IsLeaving(mark.Host, mark.Incarnation)
	s.mu.Unlock()
	if known {
		return
	}
	s.logger.Info("upstream is leaving", "upstream", u.ID, "born", u.Born, "source", "response")
	s.memberStep(member.MarkObserved{Mark: mark})
}

// holdUpstream keeps this node from sending anything to an upstream for as long as the
// upstream asks for.
func (s *Server) holdUpstream(u fleet.Upstream, notice fleet.Notice) {
	hold := notice.Hold(s.self.ID, u.ID)
	until := s.now().Add(hold)
	s.logger.Info("upstream asked for a pause", "upstream", u.ID, "service", u.Service, "asked_ms", notice.RetryAfter.Milliseconds(), "pause_ms", hold.Milliseconds())
	s.step(proxy.UpstreamHeld{ID: u.ID, Born: u.Born, Until: until})
	s.owner.step(batch.Held{Worker: u.ID, Born: u.Born, Until: until})
}
