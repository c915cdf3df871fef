// Package fleet holds what a deployment consists of: the routes, services and
// client accounts that its operator has configured, and the upstreams that have
// registered themselves. A Table answers the questions that each request asks of
// the configuration; a Directory answers those about upstreams.
//
// Both are plain data under the versions that the platform gives them. They are
// not safe for use by several goroutines; a Table never changes once it is made
// and may be shared.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be done again with a request of a route.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events as they are made. They count as
	// unsafe, unless the route is resumable.
	Stream Kind = "stream"
)

// A Config is one version of the whole configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// A Route says where the requests of a host name and path prefix go.
type Route struct {
	Name string
	// Host is the host name, in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the services, each with its share of the requests.
	Targets []Target
	// Stages are what has to be done before the request is sent; a stage
	// depends only on stages before it.
	Stages []Stage
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Objective is the time until the answer, or the first event of a stream,
	// that the operator aims at.
	Objective time.Duration
	// Attempts bounds the upstreams that one request is sent to; at least 1.
	Attempts int
	// Rank orders kinds of requests by urgency; 0 is the most urgent.
	Rank int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams go on at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// A Target is a service and the weight of its share.
type Target struct {
	Service string
	Weight  int
}

// Target returns the service for a request. The same id always gets the same
// service, so that all attempts of a request agree.
func (r *Route) Target(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	pick := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if pick < t.Weight {
			return t.Service
		}
		pick -= t.Weight
	}
	return ""
}

// A Stage is one step of the work before a request is sent.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs, by index.
	After []int
	// ResultBytes is about the size of the result of one piece.
	ResultBytes int64
}

// A Service is a group of upstreams that do the same.
type Service struct {
	Name string
	// Batch is set for services that run the pieces of stages.
	Batch *Batch
	// Engine is true for services of model engines.
	Engine bool
}

// A Batch describes the batching of one worker of a stage service.
type Batch struct {
	// Running and Waiting bound the calls that a worker runs and queues.
	Running int
	Waiting int
	// MaxItems bounds the pieces of one call.
	MaxItems int
	// CallTime and ItemTime are about what a call and each of its pieces take.
	CallTime time.Duration
	ItemTime time.Duration
	// ResultSpace is the memory for results in bytes.
	ResultSpace int64
	// ResultLife is how long a result is kept after its call unless it is freed.
	ResultLife time.Duration
}

// An Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Rank, if set, goes before the rank of the route.
	Rank *int
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Table is a configuration made ready for looking things up.
type Table struct {
	config   Config
	services map[string]*Service
	// byHost holds the routes of each host name, longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Account
}

// NewTable returns the table of a configuration, which must not change after.
func NewTable(c Config) *Table {
	t := &Table{
		config:   c,
		services: make(map[string]*Service, len(c.Services)),
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Account),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.byKey[key] = &c.Accounts[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds of what clients may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route of a host name and path, or nil. A port in the host
// name is passed over.
func (t *Table) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds an API key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// HasAccounts reports whether requests need an API key at all.
func (t *Table) HasAccounts() bool { return len(t.config.Accounts) > 0 }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }
