package trace

import (
	"log/slog"
	"testing"
)

func TestAll(t *testing.T) {
	seen := make(map[Decision]bool)
	final := 0
	for _, d := range All() {
		if d == "" || seen[d] {
			t.Errorf("decision %q is empty or listed twice", d)
		}
		seen[d] = true
		if d.IsFinal() {
			final++
		}
	}
	if final != 4 {
		t.Errorf("%d decisions are final, want 4", final)
	}
}

// Lines of the debug level are dropped first when the log is overloaded. Decisions
// that explain a failure must have a higher level.
func TestLevel(t *testing.T) {
	for _, d := range []Decision{Replied, AnswerAborted, ClientLeft, AttemptFailed, StageRefused, StageFailed, OwnerFailed, Retried} {
		if d.Level() < slog.LevelInfo {
			t.Errorf("lines of %q have level %s, want INFO or higher", d, d.Level())
		}
	}
}
