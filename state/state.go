// Package state keeps the transition tables of the system's state machines.
//
// A Machine holds one table and no current state: an entity stores its own
// state as a plain value and asks the machine for the next one. One machine
// therefore serves any number of entities on any number of goroutines, and a
// transition that the table does not list is an error, never a silent change.
package state

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// A Rule allows Event to move an entity from each of the states From to To.
type Rule[S, E ~string] struct {
	Event E
	From  []S
	To    S
}

// A Machine is a table of transitions between states S on events E.
type Machine[S, E ~string] struct {
	// name appears in errors.
	name string
	// table holds every transition that is allowed. It is worked out once, by
	// asking the state machine of looplab/fsm, and does not change.
	table map[step[S, E]]S
}

type step[S, E ~string] struct {
	from  S
	event E
}

// New returns the machine with the given rules.
func New[S, E ~string](name string, rules ...Rule[S, E]) *Machine[S, E] {
	var events fsm.Events
	for _, r := range rules {
		from := make([]string, len(r.From))
		for i, s := range r.From {
			from[i] = string(s)
		}
		events = append(events, fsm.EventDesc{Name: string(r.Event), Src: from, Dst: string(r.To)})
	}
	m := &Machine[S, E]{name: name, table: make(map[step[S, E]]S)}
	one := fsm.NewFSM("", events, nil)
	for _, r := range rules {
		for _, from := range r.From {
			if to, ok := next[S](one, from, r.Event); ok {
				m.table[step[S, E]{from, r.Event}] = to
			}
		}
	}
	return m
}

// next asks a state machine where an event leads from a state.
func next[S, E ~string](one *fsm.FSM, from S, event E) (S, bool) {
	one.SetState(string(from))
	err := one.Event(context.Background(), string(event))
	_, same := err.(fsm.NoTransitionError)
	return S(one.Current()), err == nil || same
}

// Next returns the state that follows from on event. An event that leaves the
// state as it is returns from and no error.
func (m *Machine[S, E]) Next(from S, event E) (S, error) {
	to, ok := m.table[step[S, E]{from, event}]
	if !ok {
		return from, fmt.Errorf("%s in state %q: event %q is not allowed", m.name, from, event)
	}
	return to, nil
}
