package health

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func TestFail(t *testing.T) {
	b := Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	var r Record
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		r.Fail(start, b)
		if got := r.SuspectUntil().Sub(start); got != want*time.Millisecond {
			t.Errorf("after failure %d the host is suspect for %s, want %s", i+1, got, want*time.Millisecond)
		}
	}
	for range 100 {
		r.Fail(start, b)
	}
	wantSuspect(t, r, start.Add(999*time.Millisecond), true)
	wantSuspect(t, r, start.Add(time.Second), false)
	if !r.HasFailed() {
		t.Error("HasFailed is false after a failure, want true")
	}
}

func TestClear(t *testing.T) {
	var r Record
	r.Fail(start, Backoff{Min: time.Second, Max: time.Second})
	r.Clear()
	wantSuspect(t, r, start, false)
	if r.HasFailed() {
		t.Error("HasFailed is true after Clear, want false")
	}
}

func TestHold(t *testing.T) {
	var r Record
	r.Hold(start.Add(time.Second))
	wantSuspect(t, r, start, true)
	if r.HasFailed() {
		t.Error("HasFailed is true after Hold, want false")
	}
}

func wantSuspect(t *testing.T, r Record, now time.Time, want bool) {
	t.Helper()
	if got := r.Suspect(now); got != want {
		t.Errorf("Suspect is %v, want %v", got, want)
	}
}
