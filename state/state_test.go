package state

import "testing"

type (
	light  string
	signal string
)

func TestNext(t *testing.T) {
	m := New("light",
		Transition[light, signal]{"go", []light{"red"}, "green"},
		Transition[light, signal]{"stop", []light{"green", "red"}, "red"},
	)
	tests := []struct {
		from  light
		event signal
		want  light
		ok    bool
	}{
		{"red", "go", "green", true},
		{"green", "stop", "red", true},
		{"red", "stop", "red", true},
		{"green", "go", "green", false},
		{"blue", "go", "blue", false},
		{"red", "jump", "red", false},
	}
	for _, test := range tests {
		for range 2 { // The result does not depend on earlier calls.
			got, err := m.Next(test.from, test.event)
			if got != test.want || (err == nil) != test.ok {
				t.Errorf("%q on %q: got %q, %v", test.from, test.event, got, err)
			}
		}
	}
}

// TestConcurrent checks, under the race detector, that several goroutines can share a
// Machine.
func TestConcurrent(t *testing.T) {
	m := New("light", Transition[light, signal]{"go", []light{"red"}, "green"})
	done := make(chan error)
	for range 4 {
		go func() {
			_, err := m.Next("red", "go")
			done <- err
		}()
	}
	for range 4 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
