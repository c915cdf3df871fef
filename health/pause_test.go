package health

import (
	"testing"
	"time"
)

func TestPause(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	pause := func(left time.Duration) Pause {
		var p Pause
		p.Extend(now.Add(left))
		return p
	}
	t.Run("a shorter pause does not end a longer one", func(t *testing.T) {
		p := pause(2 * time.Second)
		p.Extend(now.Add(time.Second))
		if !p.Active(now.Add(time.Second)) || p.Active(now.Add(2*time.Second)) {
			t.Error("pause does not last 2 s")
		}
	})
	tests := []struct {
		name   string
		pauses []Pause
		want   time.Duration
	}{
		{"none", nil, 0},
		{"all are active", []Pause{pause(3 * time.Second), pause(time.Second)}, time.Second},
		{"one is over", []Pause{pause(time.Second), {}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := FirstEnd(now, test.pauses); got != test.want {
				t.Errorf("first end is after %s, want %s", got, test.want)
			}
		})
	}
}
