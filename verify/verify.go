// Package verify checks the invariants of the system. Each check is a function over a
// history of the requests of callers, the executions on upstreams and the answers to
// callers, and returns nil or the first violation. The tests of several packages share
// the checks.
package verify

import (
	"fmt"
	"time"

	"teaselplank/wire"
)

// A History is a sequence of events. The zero value is empty and ready to use.
type History struct {
	events []event
}

type eventKind int

const (
	requested eventKind = iota
	executed
	answered
	versionInForce
	drainStarted
	workAssigned
)

type event struct {
	kind    eventKind
	at      time.Time
	attempt string
	key     string
	// payload is the input that was requested or executed, or the output that was
	// answered.
	payload string
	want    string
	outcome wire.Outcome
	// node is the name of a node or host.
	node    string
	version int64
}

// Requested records a caller's request with an input and a key, and the only correct
// output. Each request has a unique attempt; several may have the same key.
func (h *History) Requested(at time.Time, attempt, key, input, want string) {
	h.events = append(h.events, event{kind: requested, at: at, attempt: attempt, key: key, payload: input, want: want})
}

// Executed records that an upstream executed a call.
func (h *History) Executed(at time.Time, attempt, key, input string) {
	h.events = append(h.events, event{kind: executed, at: at, attempt: attempt, key: key, payload: input})
}

// Answered records the answer to the caller of an attempt.
func (h *History) Answered(at time.Time, attempt, key string, outcome wire.Outcome, output string) {
	h.events = append(h.events, event{kind: answered, at: at, attempt: attempt, key: key, outcome: outcome, payload: output})
}

// VersionInForce records the version of the rules that a node applies. A node that
// restarts has a new name.
func (h *History) VersionInForce(at time.Time, node string, version int64) {
	h.events = append(h.events, event{kind: versionInForce, at: at, node: node, version: version})
}

// DrainStarted records that a host started to drain.
func (h *History) DrainStarted(at time.Time, host string) {
	h.events = append(h.events, event{kind: drainStarted, at: at, node: host})
}

// WorkAssigned records that a host was assigned new work.
func (h *History) WorkAssigned(at time.Time, host, attempt string) {
	h.events = append(h.events, event{kind: workAssigned, at: at, node: host, attempt: attempt})
}

// AtMostOnce checks that each key runs at most once, so that no filing, fee payment,
// reservation or charge is made twice.
func AtMostOnce(h *History) error {
	ranFor := make(map[string]string)
	for _, e := range h.events {
		if e.kind != executed {
			continue
		}
		if first, found := ranFor[e.key]; found {
			return fmt.Errorf("key %q ran for attempt %q and again for attempt %q", e.key, first, e.attempt)
		}
		ranFor[e.key] = e.attempt
	}
	return nil
}

// NotRunNeverExecuted checks that the answer "not run" is true: no attempt of the key
// ran before the answer, and the answered attempt never runs.
func NotRunNeverExecuted(h *History) error {
	ran := make(map[string]string)
	notRun := make(map[string]bool)
	for _, e := range h.events {
		switch {
		case e.kind == executed:
			if notRun[e.attempt] {
				return fmt.Errorf("attempt %q of key %q ran after it was answered with \"not run\"", e.attempt, e.key)
			}
			ran[e.key] = e.attempt
		case e.kind == answered && e.outcome == wire.NotRun:
			if earlier, found := ran[e.key]; found {
				return fmt.Errorf("attempt %q of key %q was answered with \"not run\", but attempt %q had run", e.attempt, e.key, earlier)
			}
			notRun[e.attempt] = true
		}
	}
	return nil
}

// CompleteOwnAnswer checks that no result is lost, duplicated or returned to another
// request: each attempt has at most one answer, and a result is the complete output of
// its own request.
func CompleteOwnAnswer(h *History) error {
	want := make(map[string]string)
	hasAnswer := make(map[string]bool)
	for _, e := range h.events {
		switch e.kind {
		case requested:
			want[e.attempt] = e.want
		case answered:
			if hasAnswer[e.attempt] {
				return fmt.Errorf("attempt %q was answered twice", e.attempt)
			}
			hasAnswer[e.attempt] = true
			if e.outcome == wire.Done && e.payload != want[e.attempt] {
				return fmt.Errorf("attempt %q was answered with %q, want %q", e.attempt, e.payload, want[e.attempt])
			}
		}
	}
	return nil
}

// AnsweredByDeadline checks that each attempt is answered within the limit after its
// request. No answer is needed for an attempt that is younger than the limit at the end of
// the history, or for which excused returns true.
func AnsweredByDeadline(h *History, limit time.Duration, excused func(attempt string) bool) error {
	if len(h.events) == 0 {
		return nil
	}
	end := h.events[len(h.events)-1].at
	unanswered := make(map[string]time.Time)
	for _, e := range h.events {
		switch e.kind {
		case requested:
			unanswered[e.attempt] = e.at
		case answered:
			if elapsed := e.at.Sub(unanswered[e.attempt]); elapsed > limit {
				return fmt.Errorf("attempt %q was answered after %s, limit %s", e.attempt, elapsed, limit)
			}
			delete(unanswered, e.attempt)
		}
	}
	for attempt, at := range unanswered {
		if end.Sub(at) > limit && !excused(attempt) {
			return fmt.Errorf("attempt %q has no answer after %s", attempt, end.Sub(at))
		}
	}
	return nil
}

// NeverReverts checks that a node never reverts to an older version of the rules.
func NeverReverts(h *History) error {
	versions := make(map[string]int64)
	for _, e := range h.events {
		if e.kind != versionInForce {
			continue
		}
		if e.version < versions[e.node] {
			return fmt.Errorf("node %q reverted from version %d to %d", e.node, versions[e.node], e.version)
		}
		versions[e.node] = e.version
	}
	return nil
}

// NoWorkAfterDrain checks that a host is assigned no new work after it has been draining
// for longer than the limit.
func NoWorkAfterDrain(h *History, limit time.Duration) error {
	drainingSince := make(map[string]time.Time)
	for _, e := range h.events {
		switch e.kind {
		case drainStarted:
			drainingSince[e.node] = e.at
		case workAssigned:
			if at, draining := drainingSince[e.node]; draining && e.at.Sub(at) > limit {
				return fmt.Errorf("host %q was assigned attempt %q %s after it started to drain", e.node, e.attempt, e.at.Sub(at))
			}
		}
	}
	return nil
}

// Outcomes returns the outcomes of all answers in order.
func (h *History) Outcomes() []wire.Outcome {
	var outcomes []wire.Outcome
	for _, e := range h.events {
		if e.kind == answered {
			outcomes = append(outcomes, e.outcome)
		}
	}
	return outcomes
}
