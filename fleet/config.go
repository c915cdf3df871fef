// Package fleet models a deployment: the routes, services and client accounts that
// its operator has configured, and the upstreams that have registered themselves. A
// Table looks up configuration for requests; a Directory looks up upstreams.
//
// Both are plain data with the versions that the platform assigns. A Directory is not
// safe for concurrent use. A Table is immutable and may be shared.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind defines whether a request of a route may be retried.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events. They count as unsafe
	// unless the route is resumable.
	Stream Kind = "stream"
)

// IsKnown reports whether the kind is one of those above.
func (k Kind) IsKnown() bool { return k == Safe || k == Unsafe || k == Stream }

// A Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// A Route maps a host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name, in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the services that share the requests.
	Targets []Target
	// Stages run before the request is sent, in the order that StageOrder returns.
	Stages []Stage
	// Timeout is the maximum time until the final answer.
	Timeout time.Duration
	// Objective is the target latency of the answer, or of the first event of a
	// stream.
	Objective time.Duration
	// Attempts is the maximum number of upstreams that may get a request, at least 1.
	Attempts int
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int
	// Anonymous routes require no API key.
	Anonymous bool
	// Resumable streams can continue at another upstream after the last event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// A Target is a service and its weight.
type Target struct {
	Service string
	Weight  int
}

// Target returns the service for a request, chosen by weight. The choice depends only
// on the id, so that all attempts of a request use the same service.
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

// A Stage is one step of the pipeline that runs before a request is sent.
type Stage struct {
	Service string
	// After holds the indexes of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// A Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// Batch is set for services that run stages.
	Batch *Batch
	// Engine is true for services of model engines.
	Engine bool
	// MaxConns is the number of connections that an upstream takes from all nodes together,
	// or 0 if it is not known.
	MaxConns int
	// Warmup is how long an upstream is cold after its start, and WarmupRate the number of
	// requests per second that a cold one takes from all nodes together. The service has no
	// announced warm-up if either is 0.
	Warmup     time.Duration
	WarmupRate float64
}

// WarmsUp reports whether the upstreams of the service announce a warm-up.
func (s *Service) WarmsUp() bool { return s != nil && s.Warmup > 0 && s.WarmupRate > 0 }

// SlowStarts reports whether upstreams of the service that start or recover get few requests at
// first.
func (s *Service) SlowStarts() bool { return s != nil && s.Warmup > 0 }

// A Batch describes how one worker of a stage service processes batched calls.
type Batch struct {
	// MaxRunning and MaxQueued bound the calls that a worker runs and queues.
	MaxRunning int
	MaxQueued  int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is the approximate time of a call without its pieces, and PieceTime
	// the time that each piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemory is the memory for results in bytes.
	ResultMemory int64
	// ResultTTL is how long a worker keeps a result after its call, unless the result
	// is released earlier.
	ResultTTL time.Duration
}

// An Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Rank, if set, overrides the rank of the route.
	Rank *int
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Table is a configuration indexed for lookups.
type Table struct {
	config   Config
	services map[string]*Service
	// byHost holds the routes of each host name, longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Account
}

// NewTable returns the table of a configuration. The caller must not modify the
// configuration afterwards.
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

// Limits returns the limits on what clients may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Route returns the route for a host name and path, or nil. It ignores a port in the
// host name.
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

// HasAccounts reports whether any client accounts are configured. Without them,
// requests need no API key.
func (t *Table) HasAccounts() bool { return len(t.config.Accounts) > 0 }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ResumableServices returns the services whose streams may be resumed, sorted.
func (t *Table) ResumableServices() []string {
	var services []string
	for _, r := range t.config.Routes {
		if r.Kind != Stream || !r.Resumable {
			continue
		}
		for _, target := range r.Targets {
			services = append(services, target.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// HasSlowStarts reports whether upstreams of a service get few requests at first.
func (t *Table) HasSlowStarts() bool {
	return slices.ContainsFunc(t.config.Services, func(s Service) bool { return s.SlowStarts() })
}

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }
