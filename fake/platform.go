package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"teaselplank/infra"
	"teaselplank/wire"
)

// PlatformConfig configures the limits and delays of a Platform.
type PlatformConfig struct {
	// AppendsPerSecond limits the appends to the log; 0 means no limit.
	AppendsPerSecond int
	// Retention is how long records are kept; 0 means forever.
	Retention time.Duration
	// HostLag is the delay after which readers see a new host list.
	HostLag time.Duration
	// WeightsPerSecond limits the reads of the weight store; 0 means no limit.
	WeightsPerSecond int
}

// A Platform is a stand-in for the log, the host list and the weight store. Besides the
// HTTP interface it implements infra.Log and infra.Directory directly.
type Platform struct {
	faultInjector
	config  PlatformConfig
	appends *rate.Limiter
	weights *rate.Limiter

	dataMu  sync.Mutex
	streams map[string]*stream
	// hostLists holds the host lists in order of the time from which they are valid.
	hostLists []hostList
}

// A stream holds records with consecutive offsets, starting at first.
type stream struct {
	first   int64
	records []wire.Record
}

type hostList struct {
	validFrom time.Time
	hosts     []wire.Host
}

// maxPageRecords limits the records of one page.
const maxPageRecords = 256

// NewPlatform returns a platform with empty streams and no hosts.
func NewPlatform(config PlatformConfig) *Platform {
	return &Platform{
		config:  config,
		appends: newLimiter(config.AppendsPerSecond),
		weights: newLimiter(config.WeightsPerSecond),
		streams: make(map[string]*stream),
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.serveAppend)
	mux.HandleFunc("GET /log/{stream}", p.serveRead)
	mux.HandleFunc("GET /hosts", p.serveHosts)
	mux.HandleFunc("PUT /hosts", p.servePutHosts)
	mux.HandleFunc("GET /weights/{model}/{version}", p.serveWeight)
	return p.withFaults(mux)
}

// Append implements infra.Log.
func (p *Platform) Append(_ context.Context, name string, data []byte) (int64, error) {
	if p.currentFaults().Down {
		return 0, fmt.Errorf("append to stream %q: platform is down", name)
	}
	if !p.appends.Allow() {
		return 0, infra.ErrLimited
	}
	offset := p.appendRecord(name, data)
	if p.chance(p.currentFaults().LostReplyRate) {
		return 0, fmt.Errorf("append to stream %q: response lost", name)
	}
	return offset, nil
}

func (p *Platform) appendRecord(name string, data []byte) int64 {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	s := p.stream(name)
	offset := s.first + int64(len(s.records))
	s.records = append(s.records, wire.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

// Read implements infra.Log.
func (p *Platform) Read(_ context.Context, name string, from int64) (wire.Page, error) {
	if p.currentFaults().Down {
		return wire.Page{}, fmt.Errorf("read stream %q: platform is down", name)
	}
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	s := p.stream(name)
	s.expire(p.config.Retention)
	page := wire.Page{First: s.first, End: s.first + int64(len(s.records))}
	start := min(max(from-s.first, 0), int64(len(s.records)))
	end := min(start+maxPageRecords, int64(len(s.records)))
	page.Records = append(page.Records, s.records[start:end]...)
	return page, nil
}

func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	return s
}

func (s *stream) expire(retention time.Duration) {
	if retention == 0 {
		return
	}
	cutoff := time.Now().Add(-retention)
	for len(s.records) > 0 && s.records[0].Time.Before(cutoff) {
		s.records = s.records[1:]
		s.first++
	}
}

// Hosts implements infra.Directory.
func (p *Platform) Hosts(context.Context) ([]wire.Host, error) {
	if p.currentFaults().Down {
		return nil, fmt.Errorf("list hosts: platform is down")
	}
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	cutoff := time.Now().Add(-p.config.HostLag)
	hosts := []wire.Host{}
	for _, l := range p.hostLists {
		if !l.validFrom.After(cutoff) {
			hosts = l.hosts
		}
	}
	return hosts, nil
}

// SetHosts replaces the host list. Readers see the new list after the lag.
func (p *Platform) SetHosts(hosts []wire.Host) {
	p.dataMu.Lock()
	defer p.dataMu.Unlock()
	p.hostLists = append(p.hostLists, hostList{time.Now(), hosts})
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, infra.MaxRecord+1))
	if err != nil || len(data) > infra.MaxRecord {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !p.appends.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append limit exceeded", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, wire.AppendReply{Offset: p.appendRecord(r.PathValue("stream"), data)})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "parameter from is not an offset", http.StatusBadRequest)
		return
	}
	page, err := p.Read(r.Context(), r.PathValue("stream"), from)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, hosts)
}

func (p *Platform) servePutHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []wire.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
}

// modelSize is the size of every model in bytes.
const modelSize = 8 << 30

func (p *Platform) serveWeight(w http.ResponseWriter, _ *http.Request) {
	if !p.weights.Allow() {
		http.Error(w, "weight limit exceeded", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, int64(modelSize))
}
