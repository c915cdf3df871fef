package ledger

import "time"

// enqueue lets an entry wait for the next append to its shard.
func (l *Ledger) enqueue(e Entry) {
	s := l.shardOf(e.Key)
	s.pending = append(s.pending, e)
	switch e.Kind {
	case Claim:
		l.counts.Claims++
	case Release:
		l.counts.Releases++
	case Record, Lost:
		l.counts.Results++
	}
}

// withdraw removes a claim that was not part of an append yet.
func (l *Ledger) withdraw(k Key, attempt string) {
	s := l.shardOf(k)
	for i := range s.pending {
		if s.pending[i].Kind == Claim && s.pending[i].Attempt == attempt {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// flush starts an append to every shard where one is due. There is one in
// flight a shard, so that all that waits meanwhile goes into the next.
func (l *Ledger) flush(now time.Time) {
	for _, s := range l.shards {
		if len(s.pending) == 0 || len(s.flight) > 0 {
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

// appendInterval is longer while the log fails.
func (l *Ledger) appendInterval(s *shard) time.Duration {
	if s.failing.IsZero() {
		return l.config.AppendInterval
	}
	return max(l.config.AppendInterval, l.config.DownAfter/4)
}

func (l *Ledger) startAppend(now time.Time, s *shard) {
	count := min(len(s.pending), maxBatch)
	s.flight = append([]Entry(nil), s.pending[:count]...)
	s.pending = append([]Entry(nil), s.pending[count:]...)
	s.lastAppend = now
	l.batch++
	s.batch = l.batch
	l.counts.Appends++
	for _, e := range s.flight {
		if a := l.attempts[e.Attempt]; a != nil && e.Kind == Claim {
			a.sent = true
		}
	}
	l.emit(Append{Shard: s.index, Batch: s.batch, Entries: s.flight})
}

func (l *Ledger) appended(now time.Time, e Appended) {
	s := l.shards[e.Shard]
	if e.Batch != s.batch || len(s.flight) == 0 {
		return
	}
	s.flight = nil
	s.failing = time.Time{}
	if s.next <= e.Offset {
		l.read(s)
	}
}

// appendFailed puts the entries back, since they may not be in the log; folding
// an entry twice changes nothing.
func (l *Ledger) appendFailed(now time.Time, e AppendFailed) {
	s := l.shards[e.Shard]
	if e.Batch != s.batch || len(s.flight) == 0 {
		return
	}
	l.counts.AppendFailures++
	s.pending = append(append([]Entry(nil), s.flight...), s.pending...)
	s.flight = nil
	s.failed = now
	if s.failing.IsZero() {
		s.failing = now
	}
	l.read(s)
	if l.down(now, s) {
		l.refuseWaiting(now, s)
	}
}

// down reports whether the log has failed for so long that waiting for it is
// pointless. When nothing waits that would try it again, a call is let through
// from time to time.
func (l *Ledger) down(now time.Time, s *shard) bool {
	if s.failing.IsZero() || now.Sub(s.failing) < l.config.DownAfter {
		return false
	}
	trying := len(s.pending)+len(s.flight) > 0
	return trying || now.Sub(s.failed) < l.config.DownAfter
}

// refuseWaiting gives up on the attempts that wait for their claim.
func (l *Ledger) refuseWaiting(now time.Time, s *shard) {
	var waiting []*attempt
	for _, e := range s.pending {
		a := l.attempts[e.Attempt]
		if a != nil && e.Kind == Claim && a.status == claiming {
			waiting = append(waiting, a)
		}
	}
	for _, a := range waiting {
		l.giveUp(a, ReasonLogDown)
	}
}

func (l *Ledger) read(s *shard) {
	if s.reading {
		return
	}
	s.reading = true
	l.emit(Read{Shard: s.index, From: s.next})
}

// Poll returns the effect that reads a shard's stream from where it is folded,
// or false while a read is under way.
func (l *Ledger) Poll(shard int) (Read, bool) {
	s := l.shards[shard]
	if s.reading {
		return Read{}, false
	}
	s.reading = true
	return Read{Shard: shard, From: s.next}, true
}
