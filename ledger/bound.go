package ledger

import (
	"time"

	"teaselplank/wire"
)

// A boundCall is the call of a key that this incarnation issued. No other process
// dispatches it, so this state is complete.
type boundCall struct {
	digest string
	// dispatched is the attempt that was dispatched, or empty.
	dispatched string
	// inFlight is true until the dispatched attempt has finished.
	inFlight bool
	// result is set once the upstream has answered.
	result *Result
	// lost is true when the upstream did not answer.
	lost bool
	// waiting are the attempts that wait for the dispatched one, itself included.
	waiting []string
	issued  time.Time
}

func (l *Ledger) countInFlightBound() int {
	count := 0
	for _, b := range l.bound {
		if b.inFlight {
			count++
		}
	}
	return count
}

func (l *Ledger) submitBound(now time.Time, e Submit) {
	b := l.bound[e.Key]
	if b == nil {
		issued, _ := IssueTime(e.Key.ID)
		b = &boundCall{digest: e.Digest, issued: issued}
		l.bound[e.Key] = b
	}
	switch {
	case b.digest != e.Digest:
		l.refuse(e, ReasonConflict)
	case b.result != nil:
		l.counts.Replays++
		l.emit(Answer{Attempt: e.Attempt, Outcome: wire.Done, Result: *b.result, Replayed: true})
	case b.lost:
		l.counts.Unknown++
		l.emit(Answer{Attempt: e.Attempt, Outcome: wire.Unknown, Reason: ReasonNoAnswer, RetryAfter: l.config.RetryAfter})
	case !now.Before(e.Deadline) && !b.inFlight:
		l.counts.NotRun++
		l.emit(Answer{Attempt: e.Attempt, Outcome: wire.NotRun, Reason: ReasonDeadline, RetryAfter: l.config.RetryAfter})
	default:
		l.runBound(e, b)
	}
}

// runBound dispatches an attempt, or makes it wait while another one is in flight.
func (l *Ledger) runBound(e Submit, b *boundCall) {
	b.waiting = append(b.waiting, e.Attempt)
	l.attempts[e.Attempt] = &attempt{submit: e, status: running}
	l.timers.Add(e.Deadline, timerEvent{attempt: e.Attempt})
	if b.inFlight {
		return
	}
	b.inFlight, b.dispatched = true, e.Attempt
	l.attempts[e.Attempt].dispatched = true
	l.counts.Dispatches++
	l.emit(Dispatch{Attempt: e.Attempt, Deadline: e.Deadline})
}

// finishedBound ends the dispatch of a bound key and answers all attempts that wait
// for it.
func (l *Ledger) finishedBound(dispatched *attempt, b *boundCall, e DispatchFinished) {
	b.inFlight = false
	key := dispatched.submit.Key
	answer := Answer{Outcome: e.Outcome, Result: e.Result, RetryAfter: l.config.RetryAfter}
	switch e.Outcome {
	case wire.Done:
		result := e.Result
		b.result = &result
		answer.RetryAfter = 0
		l.enqueue(Entry{Kind: KindResult, Key: key, Attempt: e.Attempt, Digest: b.digest, Result: &result})
	case wire.NotRun:
		b.dispatched = ""
		answer.Reason = ReasonUnsent
		l.counts.NotRun++
	default:
		b.lost = true
		answer.Reason = ReasonNoAnswer
		l.counts.Unknown++
	}
	for _, id := range b.waiting {
		if a := l.attempts[id]; a != nil {
			answer.Replayed = id != e.Attempt
			l.end(a, answer, false)
		}
	}
	b.waiting = nil
	delete(l.attempts, e.Attempt)
}

// pruneBound removes the calls whose keys are refused because of their age.
func (l *Ledger) pruneBound(now time.Time) {
	cutoff := now.Add(-l.config.Window - 2*l.config.MaxSkew)
	for key, b := range l.bound {
		if !b.inFlight && b.issued.Before(cutoff) {
			delete(l.bound, key)
		}
	}
}
