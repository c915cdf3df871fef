package events

import (
	"fmt"
	"strconv"
)

// A sequence checks that the ids of a stream's events go up. The zero value accepts any first
// id.
type sequence struct {
	// last is the id of the last event, if started is true.
	last    int64
	started bool
	// resumed is true until the first event after a last one that was given, which has to
	// follow it without a gap.
	resumed bool
	// gaps is true if the ids of two events of this stream left a gap.
	gaps bool
}

// sequenceAfter returns the sequence of the events after the one with the given id. If the id
// is no number, any event may follow.
func sequenceAfter(id string) sequence {
	last, err := parseID(id)
	if err != nil {
		return sequence{}
	}
	return sequence{last: last, started: true, resumed: true}
}

// next accepts the id of the next event.
func (s *sequence) next(id int64) error {
	follows := id == s.last+1
	switch {
	case s.started && id <= s.last:
		return fmt.Errorf("%w: id %d after id %d", ErrInvalid, id, s.last)
	case s.resumed && !follows:
		return fmt.Errorf("%w: id %d does not resume the stream after id %d", ErrInvalid, id, s.last)
	}
	s.gaps = s.gaps || s.started && !follows
	s.last, s.started, s.resumed = id, true, false
	return nil
}

// parseID parses the id of an event, which is a whole number.
func parseID(id string) (int64, error) {
	number, err := strconv.ParseUint(id, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("parse id of event: %w", err)
	}
	return int64(number), nil
}
