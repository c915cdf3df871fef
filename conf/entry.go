package conf

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"teaselplank/budget"
)

// Entry are the checked settings of an entry host of a deployment, which serves
// clients between the platform's front and the upstreams.
type Entry struct {
	// Node and Zone name the node.
	Node string
	Zone string
	// Callers, Ready, Peers and Metrics are the addresses to listen at: for
	// clients, for the question whether the node is ready, for other nodes, and
	// for operators.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Advertise is the address that other nodes reach the node at, where that is
	// not Peers; or empty.
	Advertise string
	// Store is the address of the platform's store.
	Store string
	// Seeds are the addresses of other nodes to begin with.
	Seeds []string
	// Budget bounds the repeats of all nodes together.
	Budget budget.Config
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Memory is the most memory that the process may use, in bytes.
	Memory int64
	// Processor is the part of a core that the process has, or 0 if it is not
	// known. Work for all nodes goes to those that have most.
	Processor float64
}

// LoadEntry reads and checks the settings file of an entry host.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseEntry(file, data)
}

// The defaults of entry hosts.
const (
	defaultGrace  = 8 * time.Second
	defaultMemory = 256 << 20
)

// ParseEntry checks the text of the settings file of an entry host.
func ParseEntry(file string, data []byte) (*Entry, error) {
	e := &Entry{Budget: budget.DefaultConfig(), Grace: defaultGrace, Memory: defaultMemory}
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	c.check(e.schema())
	if err := c.result(); err != nil {
		return nil, err
	}
	return e, nil
}

// PeerAddr returns the address that other nodes reach the node at.
func (e *Entry) PeerAddr() string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Peers
}

func (e *Entry) schema() []setting {
	return []setting{
		{"node", "id", true, text(&e.Node)},
		{"node", "zone", true, text(&e.Zone)},
		{"node", "grace", false, duration(&e.Grace, time.Second, time.Hour)},
		{"node", "memory", false, size(&e.Memory, 32<<20, 1<<40)},
		{"node", "processor", false, fraction(&e.Processor)},

		{"listen", "callers", true, address(&e.Callers)},
		{"listen", "ready", true, address(&e.Ready)},
		{"listen", "peers", true, address(&e.Peers)},
		{"listen", "metrics", true, address(&e.Metrics)},
		{"listen", "advertise", false, optional(address(&e.Advertise))},

		{"platform", "store", true, address(&e.Store)},

		{"members", "seeds", false, optional(addresses(&e.Seeds))},

		{"repeats", "ratio", false, fraction(&e.Budget.Ratio)},
		{"repeats", "slack", false, fraction(&e.Budget.Slack)},
		{"repeats", "window", false, duration(&e.Budget.Window, time.Second, time.Hour)},
	}
}

// optional passes over an empty value.
func optional(take func(string) error) func(string) error {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return take(value)
	}
}

func fraction(to *float64) func(string) error {
	return func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || f < 0 {
			return fmt.Errorf("%q is not a number of 0 or more", value)
		}
		*to = f
		return nil
	}
}
