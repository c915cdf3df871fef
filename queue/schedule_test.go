package queue

import (
	"testing"
	"time"
)

// Clients must return at the rate at which they can be served, the more urgent ones first.
func TestSchedule(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var s Schedule
	next := func(rank int) time.Duration { return s.Next(start, rank, 100*time.Millisecond, time.Second) }
	for i, c := range []struct {
		rank int
		want time.Duration
	}{
		{2, 100 * time.Millisecond}, {2, 1100 * time.Millisecond}, {1, 100 * time.Millisecond}, {1, 1100 * time.Millisecond},
		{2, 2100 * time.Millisecond}, {0, 100 * time.Millisecond},
	} {
		if got := next(c.rank); got != c.want {
			t.Errorf("return %d of rank %d is after %s, want %s", i, c.rank, got, c.want)
		}
	}
	for range 20 {
		if got := next(2); got > maxScheduleWait {
			t.Errorf("return is after %s, want %s at most", got, maxScheduleWait)
		}
	}
}
