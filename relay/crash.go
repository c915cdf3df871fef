package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/cases"
	"teaselplank/fleet"
	"teaselplank/infra"
	"teaselplank/poison"
	"teaselplank/proxy"
)

const (
	// checkDelay is how long after a failure an upstream is checked. A process that ends
	// closes its connections and its listener within a few milliseconds.
	checkDelay = 25 * time.Millisecond
	// checkTimeout bounds the connection that checks an upstream.
	checkTimeout = 500 * time.Millisecond
	// closeTimeout is how long a connection must stay open to show that its upstream lives.
	closeTimeout = 100 * time.Millisecond
)

// checkUpstream finds out whether an upstream's process has ended.
func (s *Server) checkUpstream(u fleet.Upstream) {
	if !s.sleep(checkDelay) {
		return
	}
	ended := s.hasEnded(u)
	s.logger.Info("upstream is checked after a failure", "upstream", u.ID, "born", u.Born, "service", u.Service, "ended", ended)
	s.step(proxy.UpstreamChecked{ID: u.ID, Born: u.Born, Ended: ended})
}

// hasEnded makes a connection to an upstream and reports whether it is refused, or closed
// at once by a proxy in front of a process that is gone. It sends nothing.
func (s *Server) hasEnded(u fleet.Upstream) bool {
	dialer := net.Dialer{Timeout: checkTimeout}
	c, err := dialer.DialContext(s.context, "tcp", u.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(closeTimeout)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err != nil && !isTimeout(err)
}

const (
	// maxCasesWait bounds how long a new node is not ready because it knows no cases.
	maxCasesWait = 2 * time.Second
	// maxKeepDelay bounds the differences between nodes in how long they keep cases.
	maxKeepDelay = 2 * time.Minute
)

// keepDelay returns how much longer than others a node keeps cases.
func keepDelay(node string) time.Duration {
	return time.Duration(xxhash.Sum64String(node) % uint64(maxKeepDelay))
}

// followCrashes reads the cases that nodes have written to the store.
func (s *Server) followCrashes() {
	s.follow(feed{
		stream: infra.StreamCrashes, wait: s.crashes.ReadWait, pause: always(cases.ReadPause),
		apply: s.applyCasePage, reading: s.readings[infra.StreamCrashes],
	})
}

// applyCasePage applies records of cases: all of them, or changes in order.
func (s *Server) applyCasePage(page infra.Page, all bool) {
	s.mu.Lock()
	s.casesKnown = true
	s.mu.Unlock()
	s.crashes.Apply(page.Records, all)
}

// A caseHost is the cases.Host of a server.
type caseHost struct{ server *Server }

// ID implements cases.Host.
func (h caseHost) ID() string { return h.server.self.ID }

// NodeCount implements cases.Host.
func (h caseHost) NodeCount() int { return h.server.nodeCount() }

// Sleep implements cases.Host.
func (h caseHost) Sleep(d time.Duration) bool { return h.server.sleep(d) }

// ReadCases implements cases.Host.
func (h caseHost) ReadCases() ([]infra.KeyedRecord, error) {
	page, err := h.server.readNewest(infra.StreamCrashes)
	if err != nil {
		return nil, fmt.Errorf("read cases: %w", err)
	}
	return page.Records, nil
}

// PutCases implements cases.Host.
func (h caseHost) PutCases(records []infra.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(h.server.context, storeTimeout)
	defer cancel()
	if _, err := h.server.registry.Put(ctx, infra.StreamCrashes, records...); err != nil {
		return fmt.Errorf("write cases: %w", err)
	}
	return nil
}

// KnownCases implements cases.Host.
func (h caseHost) KnownCases() []poison.Case {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.node.PoisonCases()
}

// CasesRead implements cases.Host.
func (h caseHost) CasesRead(read []poison.Case) { h.server.step(proxy.CasesRead{Cases: read}) }

// CasesForgotten implements cases.Host.
func (h caseHost) CasesForgotten(forgotten []poison.Case) {
	h.server.step(proxy.CasesForgotten{Cases: forgotten})
}

// CountCases implements cases.Host.
func (h caseHost) CountCases(result string, count int) { h.server.metrics.countCases(result, count) }

// CountInvalid implements cases.Host.
func (h caseHost) CountInvalid() { h.server.metrics.countInvalid("case") }
