package ledger

import (
	"time"

	"teaselplank/wire"
)

func (l *Ledger) submit(now time.Time, e Submit) {
	if reason := l.checkKey(now, e); reason != "" {
		l.refuse(e, reason)
		return
	}
	node, incarnation, isBound := Issuer(e.Key.ID)
	if isBound && node == l.config.Node && incarnation == l.config.Incarnation {
		l.submitBound(now, e)
		return
	}
	s := l.shardOf(e.Key)
	k := s.keys[e.Key]
	if k != nil && l.answerFromLog(e, k) {
		return
	}
	if isBound {
		// The issuer may have run the call, with a body that only it knows.
		l.refuse(e, ReasonOtherIssuer)
		return
	}
	if l.down(now, s) {
		l.refuse(e, ReasonLogDown)
		return
	}
	if len(s.pending) >= maxPending {
		l.refuse(e, ReasonOverloaded)
		return
	}
	a := &attempt{submit: e, status: claiming}
	l.attempts[e.Attempt] = a
	k = s.ensureKey(e.Key)
	if k.lastUpdate.IsZero() {
		k.lastUpdate = now
	}
	k.waiting = append(k.waiting, e.Attempt)
	l.timers.Add(e.Deadline, timerEvent{attempt: e.Attempt})
	l.enqueue(Entry{Kind: KindClaim, Key: e.Key, Attempt: e.Attempt, Digest: e.Digest})
}

// answerFromLog answers a call if the folded log shows a result or a conflicting
// body for its key, and reports whether it did.
func (l *Ledger) answerFromLog(e Submit, k *keyState) bool {
	if k.digest != "" && k.digest != e.Digest {
		l.refuse(e, ReasonConflict)
		return true
	}
	if k.result == nil {
		return false
	}
	l.counts.Replays++
	l.emit(Answer{Attempt: e.Attempt, Outcome: wire.Done, Result: *k.result, Replayed: true})
	return true
}

// advanceKey advances this node's attempts of a key after entries were folded.
func (l *Ledger) advanceKey(now time.Time, s *shard, key Key) {
	k := s.keys[key]
	if k == nil {
		return
	}
	for _, id := range append([]string(nil), k.waiting...) {
		if a := l.attempts[id]; a != nil {
			l.advance(now, k, a)
		}
	}
}

// advance moves an attempt forward as far as the folded log allows.
func (l *Ledger) advance(now time.Time, k *keyState, a *attempt) {
	if a.status == running || a.status == ended {
		return
	}
	if l.endIfResolved(k, a) {
		return
	}
	own := k.claimOf(a.submit.Attempt)
	if own == nil {
		return
	}
	a.number = own.number
	if !now.Before(a.submit.Deadline) {
		l.giveUp(a, ReasonDeadline)
		return
	}
	if !a.dispatched && k.winner() == own {
		l.dispatch(a)
		return
	}
	if a.status == claiming {
		l.transition(a, block)
	}
	if a.submit.Fenced {
		l.waitOrTakeOver(now, k, a)
		return
	}
	l.waitOrGiveUp(now, k, a)
}

// waitOrGiveUp gives up an attempt when a dispatch of its key got no answer, or when the
// first live claim was folded TakeoverAfter ago. Until then it sets a timer.
func (l *Ledger) waitOrGiveUp(now time.Time, k *keyState, a *attempt) {
	w := k.winner()
	if k.lost {
		l.giveUp(a, ReasonNoAnswer)
		return
	}
	if w == nil {
		return
	}
	due := w.foldedAt.Add(l.config.TakeoverAfter)
	if now.Before(due) {
		l.timers.Add(due, timerEvent{attempt: a.submit.Attempt})
		return
	}
	l.giveUp(a, ReasonEarlierAttempt)
}

// endIfResolved ends an attempt whose key has a result or was claimed for another
// body, and reports whether it did.
func (l *Ledger) endIfResolved(k *keyState, a *attempt) bool {
	if k.digest != "" && k.digest != a.submit.Digest {
		l.counts.Conflicts++
		l.end(a, Answer{Outcome: wire.Unknown, Reason: ReasonConflict}, true)
		return true
	}
	if k.result == nil {
		return false
	}
	l.counts.Replays++
	l.end(a, Answer{Outcome: wire.Done, Result: *k.result, Replayed: true}, true)
	return true
}

func (l *Ledger) dispatch(a *attempt) {
	l.transition(a, dispatch)
	a.dispatched = true
	l.counts.Dispatches++
	l.emit(Dispatch{Attempt: a.submit.Attempt, Number: a.number, Deadline: a.submit.Deadline})
}

// waitOrTakeOver starts a status lookup when the first live claim belongs to another
// attempt and was folded TakeoverAfter ago. It starts the lookup at once when a dispatch of
// the key got no answer or no other attempt holds the first live claim. It is used only
// where the service checks fencing numbers: the lookup makes the upstream refuse the
// earlier holder's lower number.
func (l *Ledger) waitOrTakeOver(now time.Time, k *keyState, a *attempt) {
	if a.status != blocked || a.dispatched {
		return
	}
	due := k.claimOf(a.submit.Attempt).foldedAt
	if w := k.winner(); w != nil && w.attempt != a.submit.Attempt {
		due = w.foldedAt.Add(l.config.TakeoverAfter)
	}
	if k.lost {
		due = now
	}
	if now.Before(due) {
		l.timers.Add(due, timerEvent{attempt: a.submit.Attempt})
		return
	}
	l.transition(a, lookUp)
	l.counts.Takeovers++
	l.emit(Lookup{Attempt: a.submit.Attempt, Key: a.submit.Key, Number: a.number})
}

func (l *Ledger) lookupFinished(now time.Time, e LookupFinished) {
	a := l.attempts[e.Attempt]
	if a == nil || a.status != lookingUp {
		return
	}
	switch {
	case e.Failed:
		l.transition(a, block)
		l.timers.Add(now.Add(l.config.RetryAfter), timerEvent{attempt: e.Attempt})
	case e.Status.Finished:
		result := Result{Status: 200, Output: e.Status.Output}
		l.enqueue(Entry{Kind: KindResult, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest, Result: &result})
		l.end(a, Answer{Outcome: wire.Done, Result: result, Replayed: true}, false)
	case e.Status.Seen:
		l.transition(a, block)
		l.timers.Add(now.Add(l.config.RetryAfter), timerEvent{attempt: e.Attempt})
	case !now.Before(a.submit.Deadline):
		l.giveUp(a, ReasonDeadline)
	default:
		l.dispatch(a)
	}
}

// transition changes the state of an attempt. The table lists every transition that
// the package makes, so an error is a bug in the package.
func (l *Ledger) transition(a *attempt, event trigger) {
	next, err := attemptMachine.Next(a.status, event)
	if err != nil {
		panic(err)
	}
	a.status = next
}

// fireTimers handles the timers that are due.
func (l *Ledger) fireTimers(now time.Time) {
	for {
		t, ok := l.timers.Pop(now)
		if !ok {
			return
		}
		a := l.attempts[t.attempt]
		if t.attempt == "" || a == nil {
			continue
		}
		if !now.Before(a.submit.Deadline) {
			l.giveUp(a, l.expiryReason(a))
			continue
		}
		k := l.shardOf(a.submit.Key).ensureKey(a.submit.Key)
		l.advance(now, k, a)
	}
}

// expiryReason returns the reason for giving up an attempt at its deadline.
func (l *Ledger) expiryReason(a *attempt) Reason {
	switch a.status {
	case blocked, lookingUp:
		return ReasonEarlierAttempt
	case running:
		return ReasonNoAnswer
	}
	return ReasonDeadline
}
