package ledger

import (
	"time"

	"teaselplank/wire"
)

// refuse answers an attempt that has appended nothing to the log. The outcome is
// Unknown because an earlier attempt of the key may have run.
func (l *Ledger) refuse(e Submit, reason Reason) {
	l.counts.Refused++
	if reason == ReasonConflict {
		l.counts.Conflicts++
	}
	answer := Answer{Attempt: e.Attempt, Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter}
	switch reason {
	case ReasonKeyExpired, ReasonBadKey, ReasonFutureKey, ReasonConflict:
		answer.RetryAfter = 0
	}
	if reason == ReasonBadKey {
		// No node accepts such a key, so it has not run anywhere. A key with an
		// issue time in the future may have run on a node whose clock is ahead.
		answer.Outcome = wire.NotRun
	}
	l.emit(answer)
}

// dispatchFinished records how a dispatch ended and answers its caller at once.
func (l *Ledger) dispatchFinished(now time.Time, e DispatchFinished) {
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
		l.enqueue(Entry{Kind: KindResult, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest, Result: &result})
		l.end(a, Answer{Outcome: wire.Done, Result: result}, false)
	case wire.NotRun:
		l.finishedNotRun(now, a)
	default:
		l.counts.Unknown++
		l.enqueue(Entry{Kind: KindLost, Key: a.submit.Key, Attempt: e.Attempt, Digest: a.submit.Digest})
		l.end(a, Answer{Outcome: wire.Unknown, Reason: ReasonNoAnswer, RetryAfter: l.config.RetryAfter}, false)
	}
}

// finishedNotRun ends an attempt whose call did not run. While this attempt holds the
// first live claim, no other attempt has run the call either, unless fencing allows
// another node to take over.
func (l *Ledger) finishedNotRun(now time.Time, a *attempt) {
	k := l.shardOf(a.submit.Key).ensureKey(a.submit.Key)
	if a.submit.Fenced && !a.answered && now.Before(a.submit.Deadline) {
		l.transition(a, block) // Waits for the result of the node that took over.
		l.advance(now, k, a)
		return
	}
	answer := Answer{Outcome: wire.Unknown, Reason: ReasonEarlierAttempt, RetryAfter: l.config.RetryAfter}
	if l.noOtherDispatch(k, a) {
		l.counts.NotRun++
		answer.Outcome, answer.Reason = wire.NotRun, ReasonUnsent
	}
	l.end(a, answer, true)
}

// noOtherDispatch reports whether the log shows that no other attempt of the key can
// have been dispatched. Where fencing allows a takeover, the log cannot show that.
func (l *Ledger) noOtherDispatch(k *keyState, a *attempt) bool {
	w := k.winner()
	first := w != nil && w.attempt == a.submit.Attempt
	return first && k.result == nil && !k.lost && !a.submit.Fenced && !l.mayBeMissing(a.submit.Key)
}

// giveUp answers an attempt before its call has finished and ends it unless it was
// dispatched. The answer is NotRun only when the attempt was not dispatched and the log
// shows that no other attempt can have been.
func (l *Ledger) giveUp(a *attempt, reason Reason) {
	if a.answered {
		return
	}
	if a.status == running {
		l.counts.Unknown++
		l.answer(a, Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter})
		if !a.dispatched {
			delete(l.attempts, a.submit.Attempt) // It waited for another attempt's dispatch.
		}
		return
	}
	answer := Answer{Outcome: wire.Unknown, Reason: reason, RetryAfter: l.config.RetryAfter}
	k := l.shardOf(a.submit.Key).ensureKey(a.submit.Key)
	if l.noOtherDispatch(k, a) {
		answer.Outcome = wire.NotRun
		l.counts.NotRun++
	} else {
		l.counts.Unknown++
	}
	l.end(a, answer, true)
}

func (l *Ledger) cancel(now time.Time, id string) {
	if a := l.attempts[id]; a != nil && a.status != running {
		l.giveUp(a, ReasonCallerLeft)
	}
}

// end answers an attempt and removes it. With release set, it also voids the claim,
// which is allowed only when the attempt dispatched nothing or its call did not run.
func (l *Ledger) end(a *attempt, answer Answer, release bool) {
	l.transition(a, finish)
	l.answer(a, answer)
	delete(l.attempts, a.submit.Attempt)
	k := l.shardOf(a.submit.Key).ensureKey(a.submit.Key)
	k.waiting = remove(k.waiting, a.submit.Attempt)
	if !release {
		return
	}
	l.withdraw(a.submit.Key, a.submit.Attempt)
	if a.claimSent && k.result == nil {
		l.enqueue(Entry{Kind: KindRelease, Key: a.submit.Key, Attempt: a.submit.Attempt})
	}
}

// answer emits the attempt's answer unless it was answered before.
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
