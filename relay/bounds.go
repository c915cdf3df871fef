package relay

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"teaselplank/conf"
	"teaselplank/listen"
	"teaselplank/memory"
)

const (
	// fileDescriptors are the descriptors that are left for files.
	fileDescriptors = 200
	// clientDescriptorShare is the part of the other descriptors that clients may take. The
	// rest is for upstreams, other nodes and the store.
	clientDescriptorShare = 0.6
	// minClientConns is the least number of connections that clients may have.
	minClientConns = 16
	// connMemoryShare is the divisor for the memory of connections: they may take half of the
	// clients' memory, so that there is room for requests.
	connMemoryShare = 2
	// probeConns bounds the connections of the readiness listener and probeHeadBytes and
	// probeFields the heads there, which are those of probes. probeHeadTime bounds the time
	// for a head.
	probeConns     = 128
	probeHeadBytes = 4 << 10
	probeFields    = 64
	probeHeadTime  = time.Second
	// defaultIdleTime is how long clients may keep idle connections if no configuration says
	// so. They reuse them for up to reusedShare of it.
	defaultIdleTime = 15 * time.Second
	reusedShare     = 0.8
	// silentTime is how long a connection whose request makes no progress is kept although a
	// new one needs its place. It is longer than the round trip of a distant client.
	silentTime = 300 * time.Millisecond
	// clientReceiveBytes is the size of the kernel's receive buffer of a client's connection. An
	// ordinary request fits it.
	clientReceiveBytes = 16 << 10
	// boundsInterval is how often refusals are logged and new bounds are put in force.
	boundsInterval = time.Second
)

// bounds holds what clients may take up.
type bounds struct {
	account memory.Account
	// results accounts for the replies of stage workers.
	results *memory.Holder
	refused map[listen.Refusal]*refusalCount
}

// A refusalCount counts refusals of one kind.
type refusalCount struct {
	atomic.Int64
	// logged is the part that was logged.
	logged int64
}

func newBounds(settings *conf.EntrySettings) *bounds {
	b := &bounds{refused: make(map[listen.Refusal]*refusalCount)}
	for _, r := range listen.Refusals() {
		b.refused[r] = new(refusalCount)
	}
	b.results = b.account.Open("", time.Now(), func() {})
	b.results.Enter(memory.Running, time.Now())
	if settings.Memory > 0 {
		b.account.SetLimit(memory.Divide(settings.Memory).Clients)
	}
	return b
}

// count counts a refusal.
func (b *bounds) count(r listen.Refusal) { b.refused[r].Add(1) }

// clientConns returns how many connections clients may have.
func clientConns(settings *conf.EntrySettings) int {
	descriptors := settings.Descriptors
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	conns := int(clientDescriptorShare * float64(descriptors-fileDescriptors))
	if settings.Memory > 0 {
		conns = min(conns, int(memory.Divide(settings.Memory).Clients/connMemoryShare/listen.ConnCost))
	}
	return max(conns, minClientConns)
}

// processDescriptors returns the number of descriptors that the process may have.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fileDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// clientBounds are the bounds of the listener for clients.
func (s *Server) clientBounds() listen.Bounds {
	return listen.Bounds{
		Account: &s.bounds.account, Conns: clientConns(s.settings), Count: s.bounds.count,
		HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, ReceiveBytes: receiveBytes(s.settings),
		IdleTime: time.Duration(reusedShare * float64(defaultIdleTime)), SilentTime: silentTime,
	}
}

// receiveBytes returns the size of the kernel's receive buffer of a client's connection, or 0 if
// the kernel decides, as the process has no bound of memory.
func receiveBytes(settings *conf.EntrySettings) int {
	if settings.Memory == 0 {
		return 0
	}
	return clientReceiveBytes
}

// probeBounds are the bounds of the listener for readiness checks. Its connections have an
// account of their own, so that a check is answered whatever clients do.
func (s *Server) probeBounds() listen.Bounds {
	return listen.Bounds{
		Conns: probeConns, Count: s.bounds.count,
		HeadBytes: probeHeadBytes, Fields: probeFields, HeadTime: probeHeadTime,
	}
}

// boundsLoop puts the bounds of new configurations in force, and logs what was refused.
func (s *Server) boundsLoop(clients *listen.Listener) {
	for s.sleep(boundsInterval) {
		if t := s.table(); t != nil {
			limits := t.Limits()
			headBytes, headTime := maxHeaderBytes, headerTimeout
			if limits.HeaderBytes > 0 {
				headBytes = min(headBytes, limits.HeaderBytes)
			}
			if limits.HeaderTimeout > 0 {
				headTime = min(headTime, limits.HeaderTimeout)
			}
			clients.SetHeadBounds(headBytes, headTime)
		}
		for _, r := range listen.Refusals() {
			c := s.bounds.refused[r]
			if total := c.Load(); total > c.logged {
				s.logger.Warn("clients refused", "what", string(r), "count", total-c.logged,
					"held", s.bounds.account.Total(), "limit", s.bounds.account.Limit(), "connections", clients.Len())
				c.logged = total
			}
		}
	}
}

var (
	clientMemory      = newDesc("client_memory_bytes", "Memory that clients make the process hold.", "kind")
	clientMemoryLimit = newDesc("client_memory_limit_bytes", "Memory that clients may make the process hold.", "kind")
	clientsRefused    = newDesc("clients_refused_total", "Connections and requests of clients that were refused or closed, by what was refused.", "what")
)

// Describe implements prometheus.Collector.
func (b *bounds) Describe(ch chan<- *prometheus.Desc) {
	ch <- clientMemory
	ch <- clientMemoryLimit
	ch <- clientsRefused
}

// Collect implements prometheus.Collector.
func (b *bounds) Collect(ch chan<- prometheus.Metric) {
	for _, k := range memory.Kinds() {
		ch <- prometheus.MustNewConstMetric(clientMemory, prometheus.GaugeValue, float64(b.account.Used(k)), k.String())
	}
	ch <- prometheus.MustNewConstMetric(clientMemoryLimit, prometheus.GaugeValue, float64(b.account.Limit()), "all")
	for r, c := range b.refused {
		ch <- prometheus.MustNewConstMetric(clientsRefused, prometheus.CounterValue, float64(c.Load()), string(r))
	}
}
