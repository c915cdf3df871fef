// Package budget bounds how many requests are sent again. All nodes together may
// repeat a share of a service's requests and a fixed number more in any window
// of time. Each node keeps to its own part without asking the others: the share of
// the requests that it has sent itself, and an equal part of the fixed number.
package budget

import "time"

// Config says what all nodes together may repeat.
type Config struct {
	// Ratio is the share of a service's requests.
	Ratio float64
	// Slack is the number of repeats beyond that in a window.
	Slack float64
	// Window is the length of every span that counts.
	Window time.Duration
}

// DefaultConfig returns the bounds for settings that name no others.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}
}

const (
	// buckets is the number of parts that a window is counted in.
	buckets = 20
	// margin is the part of the allowance that is used, since nodes do not
	// count alike at the edges of a window.
	margin = 0.7
)

// A Meter counts the requests and repeats of one service in the last window. The
// zero value has seen none.
type Meter struct {
	parts [buckets]part
}

// part is what was counted in one part of the window.
type part struct {
	// number is the count of parts since the zero time.
	number   int64
	requests float64
	repeats  float64
}

func (m *Meter) part(c Config, now time.Time) *part {
	number := now.UnixNano() / (int64(c.Window) / (buckets - 1))
	p := &m.parts[number%buckets]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// Request counts the first sending of a request.
func (m *Meter) Request(c Config, now time.Time) { m.part(c, now).requests++ }

// Spend counts a repeat and reports true if the budget allows it. Nodes is the
// number of nodes that share the budget.
func (m *Meter) Spend(c Config, now time.Time, nodes int) bool {
	if m.Left(c, now, nodes) < 1 {
		return false
	}
	m.part(c, now).repeats++
	return true
}

// Left returns how many repeats the budget allows now.
func (m *Meter) Left(c Config, now time.Time, nodes int) float64 {
	current := m.part(c, now)
	requests, repeats := 0.0, 0.0
	for i := range m.parts {
		if m.parts[i].number > current.number-buckets {
			requests += m.parts[i].requests
			repeats += m.parts[i].repeats
		}
	}
	allowed := margin * (c.Ratio*requests + c.Slack/float64(max(nodes, 1)))
	return allowed - repeats
}
