package ledger

import "time"

// enqueue queues an entry for the next append to its shard.
func (l *Ledger) enqueue(e Entry) {
	s := l.shardOf(e.Key)
	s.pending = append(s.pending, e)
	switch e.Kind {
	case KindClaim:
		l.counts.Claims++
	case KindRelease:
		l.counts.Releases++
	case KindResult, KindLost:
		l.counts.Results++
	}
}

// withdraw removes a claim that no append has included yet.
func (l *Ledger) withdraw(k Key, attempt string) {
	s := l.shardOf(k)
	for i := range s.pending {
		if s.pending[i].Kind == KindClaim && s.pending[i].Attempt == attempt {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// flush starts an append to every shard that has pending entries and whose append
// interval has passed. At most one append per shard is in flight; entries that are
// queued meanwhile go into the next one.
func (l *Ledger) flush(now time.Time) {
	for _, s := range l.shards {
		if len(s.pending) == 0 || len(s.inFlight) > 0 {
			continue
		}
		due := s.lastAppend.Add(l.appendInterval(s))
		if now.Before(due) {
			l.timers.Add(due, timerEvent{shard: s.index})
			continue
		}
		l.startAppend(now, s)
	}
}

// appendInterval returns the minimum time between appends to a shard. It is longer
// while appends fail.
func (l *Ledger) appendInterval(s *shard) time.Duration {
	if s.failingSince.IsZero() {
		return l.config.AppendInterval
	}
	return max(l.config.AppendInterval, l.config.DownAfter/4)
}

func (l *Ledger) startAppend(now time.Time, s *shard) {
	count := min(len(s.pending), maxBatch)
	s.inFlight = append([]Entry(nil), s.pending[:count]...)
	s.pending = append([]Entry(nil), s.pending[count:]...)
	s.lastAppend = now
	l.lastBatch++
	s.inFlightBatch = l.lastBatch
	l.counts.Appends++
	for _, e := range s.inFlight {
		if a := l.attempts[e.Attempt]; a != nil && e.Kind == KindClaim {
			a.claimSent = true
		}
	}
	l.emit(Append{Shard: s.index, Batch: s.inFlightBatch, Entries: s.inFlight})
}

func (l *Ledger) appended(now time.Time, e Appended) {
	s := l.shards[e.Shard]
	if e.Batch != s.inFlightBatch || len(s.inFlight) == 0 {
		return
	}
	s.inFlight = nil
	s.failingSince = time.Time{}
	if s.next <= e.Offset {
		l.requestRead(s)
	}
}

// appendFailed queues the entries of a failed append again, because they may not be
// in the log. Folding an entry twice has no effect.
func (l *Ledger) appendFailed(now time.Time, e AppendFailed) {
	s := l.shards[e.Shard]
	if e.Batch != s.inFlightBatch || len(s.inFlight) == 0 {
		return
	}
	l.counts.AppendFailures++
	s.pending = append(append([]Entry(nil), s.inFlight...), s.pending...)
	s.inFlight = nil
	s.lastFailure = now
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	l.requestRead(s)
	if l.down(now, s) {
		l.refuseWaiting(now, s)
	}
}

// down reports whether appends have failed for at least DownAfter, so that calls are
// refused instead of waiting for the log. When no entry is pending or in flight, it
// returns false once DownAfter has passed since the last failure, so that the next
// call probes the log.
func (l *Ledger) down(now time.Time, s *shard) bool {
	if s.failingSince.IsZero() || now.Sub(s.failingSince) < l.config.DownAfter {
		return false
	}
	trying := len(s.pending)+len(s.inFlight) > 0
	return trying || now.Sub(s.lastFailure) < l.config.DownAfter
}

// refuseWaiting gives up the attempts whose claims are still pending.
func (l *Ledger) refuseWaiting(now time.Time, s *shard) {
	var waiting []*attempt
	for _, e := range s.pending {
		a := l.attempts[e.Attempt]
		if a != nil && e.Kind == KindClaim && a.status == claiming {
			waiting = append(waiting, a)
		}
	}
	for _, a := range waiting {
		l.giveUp(a, ReasonLogDown)
	}
}

// requestRead emits a Read of a shard's stream unless one is in flight.
func (l *Ledger) requestRead(s *shard) {
	if s.reading {
		return
	}
	s.reading = true
	l.emit(Read{Shard: s.index, From: s.next})
}

// Poll returns an effect that reads a shard's stream from the first record that is
// not folded, or false while a read is in flight.
func (l *Ledger) Poll(shard int) (Read, bool) {
	s := l.shards[shard]
	if s.reading {
		return Read{}, false
	}
	s.reading = true
	return Read{Shard: shard, From: s.next}, true
}
