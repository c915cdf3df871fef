package relay

import (
	"time"

	"teaselplank/fleet"
)

const (
	// invalidLoadLogInterval bounds the log lines on load reports: each response may have one.
	invalidLoadLogInterval = time.Second
	// maxLoggedReport bounds the report in a log line.
	maxLoggedReport = 64 // bytes
)

// countInvalidLoad counts a load report of which some values were ignored, and logs one each
// second at most.
func (s *Server) countInvalidLoad(u fleet.Upstream, report string) {
	s.metrics.countInvalid("load")
	now := time.Now().UnixNano()
	last := s.invalidLoadLogged.Load()
	if now-last < int64(invalidLoadLogInterval) || !s.invalidLoadLogged.CompareAndSwap(last, now) {
		return
	}
	s.logger.Warn("load report is not valid", "upstream", u.ID, "born", u.Born, "service", u.Service, "report", report[:min(len(report), maxLoggedReport)])
}
