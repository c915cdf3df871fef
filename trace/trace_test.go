package trace

import (
	"log/slog"
	"testing"
)

func TestAll(t *testing.T) {
	seen := make(map[Decision]bool)
	ends := 0
	for _, d := range All() {
		if d == "" || seen[d] {
			t.Errorf("decision %q is empty or listed twice", d)
		}
		seen[d] = true
		if d.Ends() {
			ends++
		}
	}
	if ends != 4 {
		t.Errorf("%d decisions end a request, want 4", ends)
	}
}

// What explains a failure must not be the first to be left out.
func TestLevel(t *testing.T) {
	for _, d := range []Decision{Replied, CutOff, Left, FailedAttempt, StageRefused, StageFailed, OwnerFailed, Repeated} {
		if d.Level() < slog.LevelInfo {
			t.Errorf("lines of %q are of level %s", d, d.Level())
		}
	}
}
