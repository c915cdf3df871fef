// Package state keeps the transition tables of the system's state machines.
//
// A Machine holds one table and no current state: an entity stores its own
// state as a plain value and asks the machine for the next one. One
// looplab/fsm instance therefore serves any number of entities, and a
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

// A Machine is a table of transitions between states S on events E. It must
// not be used from more than one goroutine at a time.
type Machine[S, E ~string] struct {
	// name appears in errors.
	name string
	// table is positioned anew at each call of Next, so its current state
	// has no meaning between calls.
	table *fsm.FSM
	// known remembers the transitions that the table has answered before.
	known map[step[S, E]]S
}

type step[S, E ~string] struct {
	from  S
	event E
}

// New returns the machine with the given rules.
func New[S, E ~string](name string, rules ...Rule[S, E]) *Machine[S, E] {
	var events fsm.Events
	var initial string
	for _, r := range rules {
		from := make([]string, len(r.From))
		for i, s := range r.From {
			from[i] = string(s)
		}
		if initial == "" && len(from) > 0 {
			initial = from[0]
		}
		events = append(events, fsm.EventDesc{Name: string(r.Event), Src: from, Dst: string(r.To)})
	}
	return &Machine[S, E]{
		name:  name,
		table: fsm.NewFSM(initial, events, nil),
		known: make(map[step[S, E]]S),
	}
}

// Next returns the state that follows from on event. An event that leaves the
// state as it is returns from and no error.
func (m *Machine[S, E]) Next(from S, event E) (S, error) {
	if to, ok := m.known[step[S, E]{from, event}]; ok {
		return to, nil
	}
	to, err := m.ask(from, event)
	if err == nil {
		m.known[step[S, E]{from, event}] = to
	}
	return to, err
}

func (m *Machine[S, E]) ask(from S, event E) (S, error) {
	m.table.SetState(string(from))
	err := m.table.Event(context.Background(), string(event))
	if _, same := err.(fsm.NoTransitionError); same {
		return from, nil
	}
	if err != nil {
		return from, fmt.Errorf("%s in state %q on event %q: %w", m.name, from, event, err)
	}
	return S(m.table.Current()), nil
}

// Can reports whether event is allowed in state from.
func (m *Machine[S, E]) Can(from S, event E) bool {
	m.table.SetState(string(from))
	return m.table.Can(string(event))
}
