// Package verify states what must always hold as functions over a history of what
// callers asked, what upstreams executed and what callers were told. The tests of
// all packages share these functions; each returns nil or the first violation.
package verify

import (
	"fmt"
	"time"

	"teaselplank/wire"
)

// A History is what happened, in order. The zero value is empty.
type History struct {
	events []event
}

type kind int

const (
	asked kind = iota
	executed
	answered
	inForce
	left
	given
)

type event struct {
	kind    kind
	at      time.Time
	attempt string
	key     string
	// text is the input asked or executed, or the output answered.
	text    string
	want    string
	outcome wire.Outcome
	node    string
	version int64
}

// Asked records that a caller asked for input under a key, and the only output
// that is right. An attempt is unique; a key may be asked for again.
func (h *History) Asked(at time.Time, attempt, key, input, want string) {
	h.events = append(h.events, event{kind: asked, at: at, attempt: attempt, key: key, text: input, want: want})
}

// Executed records that an upstream ran a call.
func (h *History) Executed(at time.Time, attempt, key, input string) {
	h.events = append(h.events, event{kind: executed, at: at, attempt: attempt, key: key, text: input})
}

// Answered records what the caller of an attempt was told.
func (h *History) Answered(at time.Time, attempt, key string, outcome wire.Outcome, output string) {
	h.events = append(h.events, event{kind: answered, at: at, attempt: attempt, key: key, outcome: outcome, text: output})
}

// InForce records the version of the rules that a node has in force. A node
// that starts anew has a new name.
func (h *History) InForce(at time.Time, node string, version int64) {
	h.events = append(h.events, event{kind: inForce, at: at, node: node, version: version})
}

// Left records that a host began to leave.
func (h *History) Left(at time.Time, host string) {
	h.events = append(h.events, event{kind: left, at: at, node: host})
}

// Given records that a host was given new work.
func (h *History) Given(at time.Time, host, attempt string) {
	h.events = append(h.events, event{kind: given, at: at, node: host, attempt: attempt})
}

// AtMostOnce: a filing, fee payment, reservation or charge runs at most once.
func AtMostOnce(h *History) error {
	by := make(map[string]string)
	for _, e := range h.events {
		if e.kind != executed {
			continue
		}
		if first, again := by[e.key]; again {
			return fmt.Errorf("key %q ran for attempt %q and again for attempt %q", e.key, first, e.attempt)
		}
		by[e.key] = e.attempt
	}
	return nil
}

// NotRunDidNotRun: when a caller is told "not run", the request truly did not
// run: no attempt of its key had run by then, and its own attempt never runs.
func NotRunDidNotRun(h *History) error {
	ran := make(map[string]string)
	denied := make(map[string]bool)
	for _, e := range h.events {
		switch {
		case e.kind == executed:
			if denied[e.attempt] {
				return fmt.Errorf("attempt %q of key %q ran after its caller was told that it had not", e.attempt, e.key)
			}
			ran[e.key] = e.attempt
		case e.kind == answered && e.outcome == wire.NotRun:
			if by, yes := ran[e.key]; yes {
				return fmt.Errorf("attempt %q of key %q was told that it had not run, but attempt %q had", e.attempt, e.key, by)
			}
			denied[e.attempt] = true
		}
	}
	return nil
}

// OwnWholeAnswer: no result is lost, doubled or handed to another's request; a
// caller receives one answer, and a result is the whole one to its own request.
func OwnWholeAnswer(h *History) error {
	want := make(map[string]string)
	told := make(map[string]bool)
	for _, e := range h.events {
		switch e.kind {
		case asked:
			want[e.attempt] = e.want
		case answered:
			if told[e.attempt] {
				return fmt.Errorf("attempt %q was answered twice", e.attempt)
			}
			told[e.attempt] = true
			if e.outcome == wire.Done && e.text != want[e.attempt] {
				return fmt.Errorf("attempt %q got %q in place of %q", e.attempt, e.text, want[e.attempt])
			}
		}
	}
	return nil
}

// AnsweredByDeadline: every attempt asked before the end of the history less the
// limit has its answer within the limit.
func AnsweredByDeadline(h *History, limit time.Duration, gone func(attempt string) bool) error {
	if len(h.events) == 0 {
		return nil
	}
	end := h.events[len(h.events)-1].at
	open := make(map[string]time.Time)
	for _, e := range h.events {
		switch e.kind {
		case asked:
			open[e.attempt] = e.at
		case answered:
			if late := e.at.Sub(open[e.attempt]); late > limit {
				return fmt.Errorf("attempt %q was answered after %s, limit %s", e.attempt, late, limit)
			}
			delete(open, e.attempt)
		}
	}
	for attempt, at := range open {
		if end.Sub(at) > limit && !gone(attempt) {
			return fmt.Errorf("attempt %q has no answer after %s", attempt, end.Sub(at))
		}
	}
	return nil
}

// NeverReverts: the rules in force on a node never go back to an older version.
func NeverReverts(h *History) error {
	versions := make(map[string]int64)
	for _, e := range h.events {
		if e.kind != inForce {
			continue
		}
		if e.version < versions[e.node] {
			return fmt.Errorf("node %q went back from version %d to %d", e.node, versions[e.node], e.version)
		}
		versions[e.node] = e.version
	}
	return nil
}

// NoWorkForLeaving: a leaving host receives no new work after the bound.
func NoWorkForLeaving(h *History, bound time.Duration) error {
	since := make(map[string]time.Time)
	for _, e := range h.events {
		switch e.kind {
		case left:
			since[e.node] = e.at
		case given:
			if at, leaving := since[e.node]; leaving && e.at.Sub(at) > bound {
				return fmt.Errorf("host %q was given attempt %q %s after it began to leave", e.node, e.attempt, e.at.Sub(at))
			}
		}
	}
	return nil
}

// Outcomes returns what callers were told, in order.
func (h *History) Outcomes() []wire.Outcome {
	var outcomes []wire.Outcome
	for _, e := range h.events {
		if e.kind == answered {
			outcomes = append(outcomes, e.outcome)
		}
	}
	return outcomes
}
