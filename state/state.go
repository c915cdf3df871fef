// Package state provides transition tables for state machines.
//
// A Machine holds a transition table and no current state. Each entity stores its state
// as a plain value and gets the next state from Machine.Next. A Machine can therefore
// serve any number of entities and is safe for concurrent use. A transition that is not
// in the table is an error.
package state

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// A Transition moves an entity from any of the states From to the state To on Event.
type Transition[S, E ~string] struct {
	Event E
	From  []S
	To    S
}

// A Machine is a table of transitions between states of type S on events of type E.
type Machine[S, E ~string] struct {
	// name is the name of the machine in errors.
	name string
	// table holds the allowed transitions. New computes it with a state machine of
	// looplab/fsm; it does not change afterwards.
	table map[transitionKey[S, E]]S
}

type transitionKey[S, E ~string] struct {
	from  S
	event E
}

// New returns a Machine with the given name and transitions.
func New[S, E ~string](name string, transitions ...Transition[S, E]) *Machine[S, E] {
	var events fsm.Events
	for _, t := range transitions {
		from := make([]string, len(t.From))
		for i, s := range t.From {
			from[i] = string(s)
		}
		events = append(events, fsm.EventDesc{Name: string(t.Event), Src: from, Dst: string(t.To)})
	}
	m := &Machine[S, E]{name: name, table: make(map[transitionKey[S, E]]S)}
	machine := fsm.NewFSM("", events, nil)
	for _, t := range transitions {
		for _, from := range t.From {
			if to, ok := nextState[S](machine, from, t.Event); ok {
				m.table[transitionKey[S, E]{from, t.Event}] = to
			}
		}
	}
	return m
}

// nextState returns the state that machine reaches from a state on an event; the result
// is false if the event is not allowed.
func nextState[S, E ~string](machine *fsm.FSM, from S, event E) (S, bool) {
	machine.SetState(string(from))
	err := machine.Event(context.Background(), string(event))
	_, unchanged := err.(fsm.NoTransitionError)
	return S(machine.Current()), err == nil || unchanged
}

// Next returns the state that follows from on event. If the event does not change the
// state, Next returns from and no error.
func (m *Machine[S, E]) Next(from S, event E) (S, error) {
	to, ok := m.table[transitionKey[S, E]{from, event}]
	if !ok {
		return from, fmt.Errorf("%s in state %q: event %q is not allowed", m.name, from, event)
	}
	return to, nil
}
