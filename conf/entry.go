package conf

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"teaselplank/budget"
	"teaselplank/pace"
)

// EntrySettings holds the validated settings of an entry host of a deployment. Entry
// hosts proxy client requests from the platform's front end to the upstreams.
type EntrySettings struct {
	// Node and Zone name the node.
	Node string
	Zone string
	// Callers, Ready, Peers and Metrics are the listen addresses: for clients,
	// for readiness checks, for other nodes, and for operators.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Advertise is the address at which other nodes reach the node; if it is
	// empty, they use Peers.
	Advertise string
	// Store is the address of the platform's store.
	Store string
	// Heartbeat is the time between two entries that an upstream writes to the store, or 0 for the
	// default of fleet.Lease.
	Heartbeat time.Duration
	// Seeds are the addresses of the other nodes to contact first.
	Seeds []string
	// Budget is the retry budget that all nodes share.
	Budget budget.Config
	// TakesOver is true if the process may take the place of another one of the node, which has used
	// the node's part of the retry budget.
	TakesOver bool
	// Warmup bounds the requests that a cold upstream may get beyond its announced rate.
	Warmup pace.Bounds
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Memory bounds the memory of the process in bytes.
	Memory int64
	// Descriptors is the number of file descriptors that the process may use, or 0 for the
	// limit of the process.
	Descriptors int
	// Processor is the CPU share of the process in cores, or 0 if unknown. The
	// node with the largest share becomes the owner.
	Processor float64
}

// LoadEntry reads and validates the settings file of an entry host.
func LoadEntry(file string) (*EntrySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseEntry(file, data)
}

// Defaults of entry hosts. Memory is in bytes.
const (
	defaultGrace  = 8 * time.Second
	defaultMemory = 256 << 20
)

// ParseEntry parses and validates the text of the settings file of an entry host.
func ParseEntry(file string, data []byte) (*EntrySettings, error) {
	e := &EntrySettings{Budget: budget.DefaultConfig(), Warmup: pace.DefaultBounds(), Grace: defaultGrace, Memory: defaultMemory, TakesOver: true}
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	c.check(e.schema())
	if err := c.err(); err != nil {
		return nil, err
	}
	return e, nil
}

// PeerAddr returns the address at which other nodes reach the node.
func (e *EntrySettings) PeerAddr() string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Peers
}

// schema lists all settings.
func (e *EntrySettings) schema() []setting {
	return []setting{
		{"node", "id", true, nonEmpty(&e.Node)},
		{"node", "zone", true, nonEmpty(&e.Zone)},
		{"node", "first_start", false, optional(opposite(&e.TakesOver))},
		{"node", "grace", false, duration(&e.Grace, time.Second, time.Hour)},
		{"node", "memory", false, size(&e.Memory, 32<<20, 1<<40)},
		{"node", "descriptors", false, descriptors(&e.Descriptors)},
		{"node", "processor", false, nonNegative(&e.Processor)},

		{"listen", "callers", true, address(&e.Callers)},
		{"listen", "ready", true, address(&e.Ready)},
		{"listen", "peers", true, address(&e.Peers)},
		{"listen", "metrics", true, address(&e.Metrics)},
		{"listen", "advertise", false, optional(address(&e.Advertise))},

		{"platform", "store", true, address(&e.Store)},
		{"platform", "heartbeat_ms", false, optional(milliseconds(&e.Heartbeat, time.Hour))},

		{"members", "seeds", false, optional(addresses(&e.Seeds))},

		{"repeats", "ratio", false, nonNegative(&e.Budget.Ratio)},
		{"repeats", "slack", false, nonNegative(&e.Budget.Slack)},
		{"repeats", "window", false, duration(&e.Budget.Window, time.Second, time.Hour)},

		{"warmup", "overrun", false, optional(nonNegative(&e.Warmup.Overrun))},
		{"warmup", "slack", false, optional(nonNegative(&e.Warmup.Slack))},
	}
}

// minDescriptors is the least number of descriptors that an entry host works with: 200 for
// files, and some for each kind of connection.
const minDescriptors = 256

func descriptors(dst *int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < minDescriptors {
			return fmt.Errorf("%q is not a number greater than or equal to %d", value, minDescriptors)
		}
		*dst = n
		return nil
	}
}

// opposite parses a truth value and stores its opposite.
func opposite(dst *bool) func(string) error {
	return func(value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", value)
		}
		*dst = !b
		return nil
	}
}

// optional ignores an empty value and passes any other to parse.
func optional(parse func(string) error) func(string) error {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return parse(value)
	}
}

func nonNegative(dst *float64) func(string) error {
	return func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return fmt.Errorf("%q is not a number greater than or equal to 0", value)
		}
		*dst = f
		return nil
	}
}
