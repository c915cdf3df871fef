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
	if k != nil && l.answerKnown(e, k) {
		return
	}
	if isBound {
		// Its issuer may have run it, with a body that nobody else knows.
		l.refuse(e, ReasonLost)
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
	k = s.key(e.Key)
	if k.touched.IsZero() {
		k.touched = now
	}
	k.waiting = append(k.waiting, e.Attempt)
	l.timers.Add(e.Deadline, timerEvent{attempt: e.Attempt})
	l.enqueue(Entry{Kind: Claim, Key: e.Key, Attempt: e.Attempt, Digest: e.Digest})
}

// answerKnown answers a call whose key the log has settled.
func (l *Ledger) answerKnown(e Submit, k *keyState) bool {
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

// refuse answers an attempt of which nothing has reached the log. Whether an
// earlier attempt of the key has run is not known.
func (l *Ledger) refuse(e Submit, reason Reason) {
	l.counts.Refused++
	if reason == ReasonConflict {
		l.counts.Conflicts++
	}
	answer := Answer{Attempt: e.Attempt, Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter}
	switch reason {
	case ReasonExpired, ReasonBadKey, ReasonFutureKey, ReasonConflict:
		answer.RetryAfter = 0
	}
	if reason == ReasonBadKey {
		// No node ever accepts such a key, so it has not run anywhere. A key of
		// the future may have run at a node whose clock is ahead.
		answer.Outcome = wire.NotRun
	}
	l.emit(answer)
}

// advanceKey lets this node's attempts of a key act on what was folded.
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

// advance moves an attempt on as far as the folded log allows.
func (l *Ledger) advance(now time.Time, k *keyState, a *attempt) {
	if a.status == running || a.status == ended {
		return
	}
	if l.settled(k, a) {
		return
	}
	own := k.find(a.submit.Attempt)
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
		l.move(a, lose)
	}
	if a.submit.Fenced {
		l.considerTakeover(now, k, a)
		return
	}
	l.considerGivingUp(now, k, a)
}

// considerGivingUp answers an attempt whose key's holder is gone.
func (l *Ledger) considerGivingUp(now time.Time, k *keyState, a *attempt) {
	w := k.winner()
	if k.lost {
		l.giveUp(a, ReasonNoAnswer)
		return
	}
	if w == nil {
		return
	}
	due := w.folded.Add(l.config.TakeoverAfter)
	if now.Before(due) {
		l.timers.Add(due, timerEvent{attempt: a.submit.Attempt})
		return
	}
	l.giveUp(a, ReasonEarlier)
}

// settled ends an attempt whose key has a result or belongs to another body.
func (l *Ledger) settled(k *keyState, a *attempt) bool {
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
	l.move(a, dispatch)
	a.dispatched = true
	l.counts.Dispatches++
	l.emit(Dispatch{Attempt: a.submit.Attempt, Number: a.number, Deadline: a.submit.Deadline})
}

// considerTakeover looks up the status of a key whose first claim is old, where
// the service checks fencing numbers: the lookup shuts out the earlier holder.
func (l *Ledger) considerTakeover(now time.Time, k *keyState, a *attempt) {
	if a.status != blocked || a.dispatched {
		return
	}
	due := k.find(a.submit.Attempt).folded
	if w := k.winner(); w != nil && w.attempt != a.submit.Attempt {
		due = w.folded.Add(l.config.TakeoverAfter)
	}
	if k.lost {
		due = now
	}
	if now.Before(due) {
		l.timers.Add(due, timerEvent{attempt: a.submit.Attempt})
		return
	}
	l.move(a, look)
	l.counts.Takeovers++
	l.emit(Lookup{Attempt: a.submit.Attempt, Key: a.submit.Key, Number: a.number})
}

func (l *Ledger) lookedUp(now time.Time, e LookedUp) {
	a := l.attempts[e.Attempt]
	if a == nil || a.status != looking {
		return
	}
	switch {
	case e.Failed:
		l.move(a, lose)
		l.timers.Add(now.Add(l.config.RetryAfter), timerEvent{attempt: e.Attempt})
	case e.Status.Finished:
		result := Result{Status: 200, Output: e.Status.Output}
		l.enqueue(Entry{Kind: Record, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest, Result: &result})
		l.end(a, Answer{Outcome: wire.Done, Result: result, Replayed: true}, false)
	case e.Status.Seen:
		l.move(a, lose)
		l.timers.Add(now.Add(l.config.RetryAfter), timerEvent{attempt: e.Attempt})
	case !now.Before(a.submit.Deadline):
		l.giveUp(a, ReasonDeadline)
	default:
		l.dispatch(a)
	}
}

// finished records how a dispatch ended and answers its caller at once.
func (l *Ledger) finished(now time.Time, e Finished) {
	a := l.attempts[e.Attempt]
	if a == nil || a.status != running || !a.dispatched {
		return
	}
	if b := l.bound[a.submit.Key]; b != nil {
		l.finishedBound(a, b, e)
		return
	}
	switch e.Outcome {
	case wire.Done:
		result := e.Result
		l.enqueue(Entry{Kind: Record, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest, Result: &result})
		l.end(a, Answer{Outcome: wire.Done, Result: result}, false)
	case wire.NotRun:
		l.finishedUnsent(now, a)
	default:
		l.counts.Unknown++
		l.enqueue(Entry{Kind: Lost, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest})
		l.end(a, Answer{Outcome: wire.Unknown, Reason: ReasonNoAnswer, RetryAfter: l.config.RetryAfter}, false)
	}
}

// finishedUnsent ends an attempt whose call did not run. Nobody else ran it
// either while this attempt holds the first live claim, except where another
// node may have taken over.
func (l *Ledger) finishedUnsent(now time.Time, a *attempt) {
	k := l.shardOf(a.submit.Key).key(a.submit.Key)
	if a.submit.Fenced && !a.answered && now.Before(a.submit.Deadline) {
		l.move(a, lose) // The result of the node that took over may come.
		l.advance(now, k, a)
		return
	}
	answer := Answer{Outcome: wire.Unknown, Reason: ReasonEarlier, RetryAfter: l.config.RetryAfter}
	if l.alone(k, a) {
		l.counts.NotRun++
		answer.Outcome, answer.Reason = wire.NotRun, ReasonUnsent
	}
	l.end(a, answer, true)
}

// alone reports whether the log shows that no other attempt of the key can have
// been dispatched. Where fencing allows a takeover, the log cannot show that.
func (l *Ledger) alone(k *keyState, a *attempt) bool {
	w := k.winner()
	first := w != nil && w.attempt == a.submit.Attempt
	return first && k.result == nil && !k.lost && !a.submit.Fenced && !l.missing(a.submit.Key)
}

// giveUp ends an attempt that was not dispatched. The answer is NotRun only
// when the log shows that no other attempt can have been dispatched.
func (l *Ledger) giveUp(a *attempt, reason Reason) {
	if a.answered {
		return
	}
	if a.status == running {
		l.counts.Unknown++
		l.answer(a, Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter})
		if !a.dispatched {
			delete(l.attempts, a.submit.Attempt) // It waited for another's run.
		}
		return
	}
	answer := Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter}
	k := l.shardOf(a.submit.Key).key(a.submit.Key)
	if l.alone(k, a) {
		answer.Outcome = wire.NotRun
		l.counts.NotRun++
	} else {
		l.counts.Unknown++
	}
	l.end(a, answer, true)
}

func (l *Ledger) abandon(now time.Time, id string) {
	if a := l.attempts[id]; a != nil && a.status != running {
		l.giveUp(a, ReasonAbandoned)
	}
}

// end answers an attempt. With release set, its claim is voided, which is
// allowed only when nothing was dispatched under it or nothing ran.
func (l *Ledger) end(a *attempt, answer Answer, release bool) {
	l.move(a, finish)
	l.answer(a, answer)
	delete(l.attempts, a.submit.Attempt)
	k := l.shardOf(a.submit.Key).key(a.submit.Key)
	k.waiting = remove(k.waiting, a.submit.Attempt)
	if !release {
		return
	}
	l.withdraw(a.submit.Key, a.submit.Attempt)
	if a.sent && k.result == nil {
		l.enqueue(Entry{Kind: Release, Key: a.submit.Key, Attempt: a.submit.Attempt})
	}
}

// answer tells the caller, once.
func (l *Ledger) answer(a *attempt, answer Answer) {
	if a.answered {
		return
	}
	a.answered = true
	answer.Attempt = a.submit.Attempt
	answer.Dispatched = a.dispatched
	l.emit(answer)
}

func remove(list []string, value string) []string {
	for i, v := range list {
		if v == value {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// move changes the state of an attempt. The table lists every move that the
// package makes, so an error is a fault of the package itself.
func (l *Ledger) move(a *attempt, event input) {
	next, err := machine.Next(a.status, event)
	if err != nil {
		panic(err)
	}
	a.status = next
}

// expire acts on the timers that are due.
func (l *Ledger) expire(now time.Time) {
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
			l.giveUp(a, l.lateReason(a))
			continue
		}
		k := l.shardOf(a.submit.Key).key(a.submit.Key)
		l.advance(now, k, a)
	}
}

func (l *Ledger) lateReason(a *attempt) Reason {
	switch a.status {
	case blocked, looking:
		return ReasonEarlier
	case running:
		return ReasonNoAnswer
	}
	return ReasonDeadline
}
