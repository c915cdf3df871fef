package relay

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// minCrashWait and maxCrashWait bound how long a read waits for new cases. The wait
	// grows by crashWaitPerNode, so that many nodes together read no more often than some.
	// A short wait shows sooner that the store does not answer.
	minCrashWait     = 5 * time.Second
	maxCrashWait     = 30 * time.Second
	crashWaitPerNode = 100 * time.Millisecond
	// crashPause is the time between two reads. The cases of a crash come within moments,
	// and each read of them costs a call a node.
	crashPause = 250 * time.Millisecond
	// maxCasesWait bounds how long a new node is not ready because it knows no cases.
	maxCasesWait = 2 * time.Second
	// maxKeepDelay bounds the differences between nodes in how long they keep cases.
	maxKeepDelay = 2 * time.Minute
	// rewriteInterval is the time that each node has to write the cases that the store has
	// lost, and minRewriteSpread the shortest time for all nodes.
	rewriteInterval  = 20 * time.Millisecond
	minRewriteSpread = time.Second
	// maxPendingCases bounds the cases that wait to be written to the store.
	maxPendingCases = 1024
	// maxCasesPerWrite bounds the cases of one write.
	maxCasesPerWrite = 256
)

// keepDelay returns how much longer than others a node keeps cases.
func keepDelay(node string) time.Duration {
	return time.Duration(xxhash.Sum64String(node) % uint64(maxKeepDelay))
}

func (s *Server) followCrashes() {
	s.follow(feed{
		stream: infra.StreamCrashes, wait: s.crashWait, pause: always(crashPause),
		apply: s.applyCaseRecords,
	})
}

// crashWait returns how long a read waits for new cases.
func (s *Server) crashWait() time.Duration {
	return min(max(time.Duration(s.nodeCount())*crashWaitPerNode, minCrashWait), maxCrashWait)
}

// applyCaseRecords applies cases that nodes have written to the store. If the records are
// all that the store has, the cases that it lacks are written again later.
func (s *Server) applyCaseRecords(records []infra.KeyedRecord, all bool) {
	known := s.knownCases()
	read, forgotten := s.parseCases(records, known)
	s.mu.Lock()
	s.casesKnown = true
	s.mu.Unlock()
	s.step(proxy.CasesRead{Cases: read})
	if len(forgotten) > 0 {
		go s.forgetCases(forgotten)
	}
	if all && len(lacking(known, read)) > 0 {
		go s.rewriteCases()
	}
}

// parseCases returns the cases of records, and those of the known ones that records remove.
func (s *Server) parseCases(records []infra.KeyedRecord, known map[string]poison.Case) (read, forgotten []poison.Case) {
	for _, r := range records {
		if len(r.Value) == 0 {
			if c, ok := known[r.Key]; ok {
				forgotten = append(forgotten, c)
			}
			continue
		}
		var c poison.Case
		if err := json.Unmarshal(r.Value, &c); err != nil || c.Key() != r.Key {
			s.metrics.countInvalid("case")
			continue
		}
		read = append(read, c)
	}
	return read, forgotten
}

// lacking returns those of the known cases that the read ones lack: they are not there, or
// are refuted only here.
func lacking(known map[string]poison.Case, read []poison.Case) []poison.Case {
	stored := make(map[string]poison.Case, len(read))
	for _, c := range read {
		stored[c.Key()] = c
	}
	var missing []poison.Case
	for key, c := range known {
		if old, ok := stored[key]; !ok || c.Weight == poison.Refuted && old.Weight != poison.Refuted {
			missing = append(missing, c)
		}
	}
	return missing
}

// rewriteCases writes the cases that the store lacks after it was restored from a copy.
func (s *Server) rewriteCases() {
	if read, ok := s.readInTurn(); ok {
		s.crashes.share(lacking(s.knownCases(), read))
	}
}

// forgetCases lets the node forget cases that another one has removed from the store, or
// write them again, unless they were written again meanwhile.
func (s *Server) forgetCases(forgotten []poison.Case) {
	read, ok := s.readInTurn()
	if !ok {
		return
	}
	missing := make(map[string]poison.Case, len(forgotten))
	for _, c := range forgotten {
		missing[c.Key()] = c
	}
	for _, c := range read {
		delete(missing, c.Key())
	}
	s.step(proxy.CasesForgotten{Cases: slices.Collect(maps.Values(missing))})
}

// readInTurn waits for a time that differs between nodes and then reads all cases of the
// store. Most nodes thus find that others have written what they would have to write.
func (s *Server) readInTurn() (read []poison.Case, ok bool) {
	spread := max(minRewriteSpread, time.Duration(s.nodeCount())*rewriteInterval)
	if !s.sleep(time.Duration(xxhash.Sum64String(s.self.ID) % uint64(spread))) {
		return nil, false
	}
	page, err := s.readNewest(infra.StreamCrashes)
	if err != nil {
		s.logger.Warn("cannot read the cases of requests", "error", err.Error())
		return nil, false
	}
	read, _ = s.parseCases(page.Records, nil)
	return read, true
}

// knownCases returns the cases that the node knows, by their keys in the store.
func (s *Server) knownCases() map[string]poison.Case {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]poison.Case)
	for _, c := range s.node.PoisonCases() {
		known[c.Key()] = c
	}
	return known
}

// A crashLog writes cases to the store, in order.
type crashLog struct {
	server *Server

	mu sync.Mutex
	// pending holds the records to be written. writing is true while a goroutine writes
	// them.
	pending []infra.KeyedRecord
	writing bool
}

// share lets the other nodes know cases.
func (l *crashLog) share(cases []poison.Case) {
	var records []infra.KeyedRecord
	for _, c := range cases {
		value, err := json.Marshal(c)
		if err != nil {
			l.server.logger.Error("cannot encode a case", "part", c.Part, "error", err.Error())
			continue
		}
		records = append(records, infra.KeyedRecord{Key: c.Key(), Value: value})
	}
	l.enqueue(records)
}

// forget lets all nodes forget cases.
func (l *crashLog) forget(cases []poison.Case) {
	var records []infra.KeyedRecord
	for _, c := range cases {
		records = append(records, infra.KeyedRecord{Key: c.Key()})
	}
	l.enqueue(records)
}

// enqueue adds records to be written. Those that are too many are dropped: the store is
// away, and the nodes exchange cases among themselves.
func (l *crashLog) enqueue(records []infra.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if room := maxPendingCases - len(l.pending); len(records) > room {
		l.server.metrics.countCases("dropped", len(records)-room)
		records = records[:room]
	}
	l.pending = append(l.pending, records...)
	if !l.writing && len(l.pending) > 0 {
		l.writing = true
		go l.write()
	}
}

// write writes the pending records until none is left.
func (l *crashLog) write() {
	backoff := minReadBackoff
	for batch := l.nextBatch(); len(batch) > 0; {
		if l.put(batch) {
			backoff = minReadBackoff
			batch = l.nextBatch()
			continue
		}
		if !l.server.sleep(backoff) {
			return
		}
		backoff = min(2*backoff, maxReadBackoff)
	}
}

// nextBatch takes the oldest pending records. If there is none, the goroutine that writes
// ends.
func (l *crashLog) nextBatch() []infra.KeyedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(l.pending), maxCasesPerWrite)
	batch := slices.Clone(l.pending[:count])
	l.pending = l.pending[count:]
	l.writing = count > 0
	return batch
}

// put writes records and reports whether that succeeded.
func (l *crashLog) put(records []infra.KeyedRecord) bool {
	ctx, cancel := context.WithTimeout(l.server.context, storeTimeout)
	defer cancel()
	if _, err := l.server.registry.Put(ctx, infra.StreamCrashes, records...); err != nil {
		l.server.metrics.countCases("failed", len(records))
		l.server.logger.Warn("cannot write cases of requests", "cases", len(records), "error", err.Error())
		return false
	}
	l.server.metrics.countCases("ok", len(records))
	return true
}
