package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timers Timers[int]
		start := time.Unix(0, 0)
		dues := rapid.SliceOf(rapid.IntRange(0, 9)).Draw(t, "dues")
		for i, due := range dues {
			timers.Add(start.Add(time.Duration(due)*time.Second), i)
		}
		now := start.Add(5 * time.Second)
		lastDue, lastIndex, popped := -1, -1, 0
		for {
			i, ok := timers.Pop(now)
			if !ok {
				break
			}
			popped++
			if dues[i] > 5 || dues[i] < lastDue || dues[i] == lastDue && i < lastIndex {
				t.Fatalf("value %d due at %d was popped after %d due at %d", i, dues[i], lastIndex, lastDue)
			}
			lastDue, lastIndex = dues[i], i
		}
		if popped+timers.Len() != len(dues) {
			t.Fatalf("%d values popped and %d kept of %d", popped, timers.Len(), len(dues))
		}
		if due, ok := timers.Next(); ok && !due.After(now) {
			t.Fatalf("a value due at %s was kept", due)
		}
	})
}

func TestRecent(t *testing.T) {
	m := FIFOMap[int, int]{Limit: 3}
	for i := range 10 {
		m.Put(i, i)
		m.Put(i, -i)
	}
	if m.Len() != 3 {
		t.Errorf("%d entries, want 3", m.Len())
	}
	for i, want := range []bool{false, true, true, true} {
		if v, ok := m.Get(i + 6); ok != want || ok && v != -(i+6) {
			t.Errorf("Get(%d) returns %d, %v; want the last value put, or none for an evicted entry", i+6, v, ok)
		}
	}
	if keys := m.Keys(); len(keys) != 3 || keys[0] != 7 {
		t.Errorf("keys are %v, want the 3 newest, oldest first", keys)
	}
}
