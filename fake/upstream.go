package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselplank/wire"
)

// UpstreamConfig holds the bounds of an Upstream.
type UpstreamConfig struct {
	// Slots is the number of calls that run at a time; the rest queue.
	Slots int
	// Latency is how long a call runs, and the time to the first token.
	Latency time.Duration
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// Fenced makes it refuse old fencing numbers.
	Fenced bool
	// LoadLag is how long the reported load lags.
	LoadLag time.Duration
	// Prefixes bounds the prefixes whose cache is kept.
	Prefixes int
}

// An Upstream stands in for a model engine, an encoder, a retriever, a reranker
// or a plain service: it answers the calls of all of them.
type Upstream struct {
	switchboard
	config UpstreamConfig
	slots  chan struct{}

	data    sync.Mutex
	running int
	queued  int
	// report is the load as last reported, taken at reported.
	report   wire.Load
	reported time.Time
	// cancels stops the calls under way.
	cancels map[string]context.CancelFunc
	// runs are the executions of the plain service by key.
	runs map[string]*execution
	// prefixes are the cached prefixes, oldest first; events tells of them.
	prefixes []string
	events   []CacheEvent
	// number is the greatest fencing number of an order, loaded what it set.
	number int64
	loaded wire.LoadedModel
}

// A CacheEvent tells that a prefix was cached or dropped.
type CacheEvent struct {
	Index  int    `json:"index"`
	Prefix string `json:"prefix"`
	Cached bool   `json:"cached"`
}

// An execution is what the plain service knows of a key.
type execution struct {
	// bar is the least fencing number that is still accepted.
	bar      int64
	count    int
	finished bool
	output   string
}

// NewUpstream returns an idle upstream.
func NewUpstream(config UpstreamConfig) *Upstream {
	config.Slots = max(config.Slots, 1)
	config.Prefixes = max(config.Prefixes, 1)
	return &Upstream{
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		cancels: make(map[string]context.CancelFunc),
		runs:    make(map[string]*execution),
	}
}

// Handler returns the HTTP interface.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage", u.serveStage)
	mux.HandleFunc("POST /stream", u.serveStream)
	mux.HandleFunc("POST /cancel", u.serveCancel)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("POST /call", u.serveCall)
	mux.HandleFunc("GET /status", u.serveStatus)
	mux.HandleFunc("GET /counts", u.serveCounts)
	mux.HandleFunc("POST /order", u.serveOrder)
	mux.HandleFunc("GET /model", u.serveModel)
	mux.HandleFunc("GET /events", u.serveEvents)
	mux.HandleFunc("GET /kv/{prefix}", u.serveExport)
	mux.HandleFunc("PUT /kv/{prefix}", u.serveImport)
	return u.wrap(mux)
}

// Output is what a stage of the given kind answers to an input.
func Output(kind, input string) string {
	return fmt.Sprintf("%s(%s)", kind, input)
}

// TokenText is the text of a token that is generated for an input.
func TokenText(input string, index int) string {
	return fmt.Sprintf("%x.", xxhash.Sum64String(input+strconv.Itoa(index))&0xffff)
}

// Generated is the whole text that is generated for an input.
func Generated(input string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(input, i))
	}
	return text.String()
}

// enter waits for a slot. The returned function frees it.
func (u *Upstream) enter(ctx context.Context, name string) (context.Context, func(), bool) {
	ctx, cancel := context.WithCancel(ctx)
	u.data.Lock()
	u.cancels[name] = cancel
	u.queued++
	u.data.Unlock()
	var got bool
	select {
	case u.slots <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	u.data.Lock()
	u.queued--
	if got {
		u.running++
	}
	u.data.Unlock()
	leave := func() {
		u.data.Lock()
		delete(u.cancels, name)
		if got {
			u.running--
		}
		u.data.Unlock()
		cancel()
		if got {
			<-u.slots
		}
	}
	return ctx, leave, got
}

func callName(request string, stage, attempt int) string {
	return fmt.Sprintf("%s/%d/%d", request, stage, attempt)
}

func (u *Upstream) readCall(w http.ResponseWriter, r *http.Request) (wire.StageCall, bool) {
	var call wire.StageCall
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, false
	}
	if u.get().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	return call, true
}

func (u *Upstream) serveStage(w http.ResponseWriter, r *http.Request) {
	call, ok := u.readCall(w, r)
	if !ok {
		return
	}
	ctx, leave, got := u.enter(r.Context(), callName(call.Request, call.Stage, call.Attempt))
	defer leave()
	if !got {
		return
	}
	pause(ctx, u.latency())
	if ctx.Err() != nil {
		return
	}
	reply := wire.StageReply{
		Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
		Output: Output(call.Kind, call.Input), Work: 1, Load: u.load(),
	}
	if u.chance(u.get().Cross) {
		reply.Request = "crossed-" + reply.Request
	}
	writeJSON(w, reply)
}

func (u *Upstream) serveStream(w http.ResponseWriter, r *http.Request) {
	call, ok := u.readCall(w, r)
	if !ok {
		return
	}
	ctx, leave, got := u.enter(r.Context(), callName(call.Request, call.Stage, call.Attempt))
	defer leave()
	if !got {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	latency := u.latency()
	if u.touch(call.Prefix) {
		latency /= 4
	}
	pause(ctx, latency)
	sent := 0
	for i := call.ResumeFrom; i < call.MaxTokens; i++ {
		f := u.get()
		if f.Stall > 0 && sent >= f.Stall {
			<-ctx.Done()
		}
		if f.Cut > 0 && sent >= f.Cut {
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil {
			return
		}
		u.send(w, wire.Token{
			Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
			Index: i, Text: TokenText(call.Input, i),
		})
		sent++
		pause(ctx, u.config.TokenTime)
	}
	load := u.load()
	u.send(w, wire.Token{
		Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
		Index: call.MaxTokens, End: true, Work: sent, Load: &load,
	})
}

func (u *Upstream) send(w http.ResponseWriter, t wire.Token) {
	if u.chance(u.get().Cross) {
		t.Request = "crossed-" + t.Request
	}
	data, err := json.Marshal(t)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// touch notes the use of a prefix and reports whether it was cached.
func (u *Upstream) touch(prefix string) bool {
	if prefix == "" {
		return false
	}
	u.data.Lock()
	defer u.data.Unlock()
	for _, p := range u.prefixes {
		if p == prefix {
			return true
		}
	}
	u.prefixes = append(u.prefixes, prefix)
	u.addEvent(prefix, true)
	if len(u.prefixes) > u.config.Prefixes {
		u.addEvent(u.prefixes[0], false)
		u.prefixes = u.prefixes[1:]
	}
	return false
}

func (u *Upstream) addEvent(prefix string, cached bool) {
	u.events = append(u.events, CacheEvent{len(u.events), prefix, cached})
}

func (u *Upstream) serveCancel(_ http.ResponseWriter, r *http.Request) {
	var call wire.StageCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return
	}
	u.data.Lock()
	defer u.data.Unlock()
	if cancel := u.cancels[callName(call.Request, call.Stage, call.Attempt)]; cancel != nil {
		cancel()
	}
}

// load returns the load as of the last report, which lags.
func (u *Upstream) load() wire.Load {
	leaving := u.get().Leaving
	u.data.Lock()
	defer u.data.Unlock()
	if time.Since(u.reported) >= u.config.LoadLag {
		u.report = wire.Load{Slots: u.config.Slots, Running: u.running, Queued: u.queued}
		u.reported = time.Now()
	}
	report := u.report
	report.Leaving = leaving
	return report
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.load()) }

// serveEvents tells of the cache, with every seventh event missing.
func (u *Upstream) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	u.data.Lock()
	defer u.data.Unlock()
	events := []CacheEvent{}
	for _, e := range u.events[min(max(from, 0), len(u.events)):] {
		if e.Index%7 != 6 {
			events = append(events, e)
		}
	}
	writeJSON(w, events)
}

func (u *Upstream) serveExport(w http.ResponseWriter, r *http.Request) {
	u.data.Lock()
	defer u.data.Unlock()
	for _, p := range u.prefixes {
		if p == r.PathValue("prefix") {
			writeJSON(w, "cache of "+p)
			return
		}
	}
	http.Error(w, "prefix is not cached", http.StatusNotFound)
}

func (u *Upstream) serveImport(_ http.ResponseWriter, r *http.Request) {
	u.touch(r.PathValue("prefix"))
}

// SetLatency changes how long a call runs.
func (u *Upstream) SetLatency(d time.Duration) {
	u.data.Lock()
	defer u.data.Unlock()
	u.config.Latency = d
}

func (u *Upstream) latency() time.Duration {
	u.data.Lock()
	defer u.data.Unlock()
	return u.config.Latency
}
