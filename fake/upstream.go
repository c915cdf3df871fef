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

// UpstreamConfig configures the limits and delays of an Upstream.
type UpstreamConfig struct {
	// Slots is the number of calls that run concurrently; further calls queue.
	Slots int
	// Latency is the duration of a call and, for a stream, the time to the first
	// token.
	Latency time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// Fenced makes the upstream reject old fencing numbers.
	Fenced bool
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// MaxPrefixes limits the cached prefixes.
	MaxPrefixes int
}

// An Upstream is a stand-in for a model engine, an encoder, a retriever, a reranker or a
// plain service. It serves the calls of all of them.
type Upstream struct {
	faultInjector
	config UpstreamConfig
	slots  chan struct{}

	dataMu  sync.Mutex
	running int
	queued  int
	// lastReport is the last reported load, measured at reportedAt.
	lastReport wire.Load
	reportedAt time.Time
	// cancels holds the cancel functions of the calls that are queued or in flight.
	cancels map[string]context.CancelFunc
	// keys holds the state of the plain service by idempotency key.
	keys map[string]*keyState
	// prefixes are the cached prefixes, oldest first; events records their changes.
	prefixes []string
	events   []CacheEvent
	// orderFence is the highest fencing number of an order so far; loadedModel is the
	// model that the last order loaded.
	orderFence  int64
	loadedModel wire.LoadedModel
}

// A keyState is the state of the plain service for a key.
type keyState struct {
	// minFence is the lowest fencing number that is still accepted.
	minFence int64
	count    int
	finished bool
	output   string
}

// NewUpstream returns an idle upstream.
func NewUpstream(config UpstreamConfig) *Upstream {
	config.Slots = max(config.Slots, 1)
	config.MaxPrefixes = max(config.MaxPrefixes, 1)
	return &Upstream{
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		cancels: make(map[string]context.CancelFunc),
		keys:    make(map[string]*keyState),
	}
}

// Handler returns the HTTP interface.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage", u.withSlot(u.serveStage))
	mux.HandleFunc("POST /stream", u.withSlot(u.serveStream))
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
	return u.withFaults(mux)
}

// StageOutput returns the output of a stage of the given kind for an input.
func StageOutput(kind, input string) string {
	return fmt.Sprintf("%s(%s)", kind, input)
}

// TokenText returns the text of the token with the given index for an input.
func TokenText(input string, index int) string {
	return fmt.Sprintf("%x.", xxhash.Sum64String(input+strconv.Itoa(index))&0xffff)
}

// GeneratedText returns the complete text that is generated for an input.
func GeneratedText(input string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(input, i))
	}
	return text.String()
}

// acquireSlot waits for a slot and reports whether it got one before the call was
// canceled. The returned function releases the slot.
func (u *Upstream) acquireSlot(ctx context.Context, name string) (context.Context, func(), bool) {
	ctx, cancel := context.WithCancel(ctx)
	u.dataMu.Lock()
	u.cancels[name] = cancel
	u.queued++
	u.dataMu.Unlock()
	var acquired bool
	select {
	case u.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	u.dataMu.Lock()
	u.queued--
	if acquired {
		u.running++
	}
	u.dataMu.Unlock()
	release := func() {
		u.dataMu.Lock()
		delete(u.cancels, name)
		if acquired {
			u.running--
		}
		u.dataMu.Unlock()
		cancel()
		if acquired {
			<-u.slots
		}
	}
	return ctx, release, acquired
}

func callID(request string, stage, attempt int) string {
	return fmt.Sprintf("%s/%d/%d", request, stage, attempt)
}

func (u *Upstream) readCall(w http.ResponseWriter, r *http.Request) (wire.StageCall, bool) {
	var call wire.StageCall
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, false
	}
	if u.currentFaults().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	return call, true
}

// withSlot returns a handler that runs a call of a stage once it has a slot.
func (u *Upstream) withSlot(serve func(context.Context, http.ResponseWriter, wire.StageCall)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, ok := u.readCall(w, r)
		if !ok {
			return
		}
		ctx, release, acquired := u.acquireSlot(r.Context(), callID(call.Request, call.Stage, call.Attempt))
		defer release()
		if acquired {
			serve(ctx, w, call)
		}
	}
}

func (u *Upstream) serveStage(ctx context.Context, w http.ResponseWriter, call wire.StageCall) {
	sleep(ctx, u.latency())
	if ctx.Err() != nil {
		return
	}
	reply := wire.StageReply{
		Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
		Output: StageOutput(call.Kind, call.Input), Work: 1, Load: u.load(),
	}
	if u.chance(u.currentFaults().WrongRequestRate) {
		reply.Request = "crossed-" + reply.Request
	}
	writeJSON(w, reply)
}

func (u *Upstream) serveStream(ctx context.Context, w http.ResponseWriter, call wire.StageCall) {
	w.Header().Set("Content-Type", "text/event-stream")
	latency := u.latency()
	if u.usePrefix(call.Prefix) {
		latency /= 4
	}
	sleep(ctx, latency)
	sent := 0
	for i := call.ResumeFrom; i < call.MaxTokens; i++ {
		f := u.currentFaults()
		if f.StallAfterTokens > 0 && sent >= f.StallAfterTokens {
			<-ctx.Done()
		}
		if f.CloseAfterTokens > 0 && sent >= f.CloseAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil {
			return
		}
		u.sendToken(w, wire.Token{
			Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
			Index: i, Text: TokenText(call.Input, i),
		})
		sent++
		sleep(ctx, u.config.TokenInterval)
	}
	load := u.load()
	u.sendToken(w, wire.Token{
		Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
		Index: call.MaxTokens, End: true, Work: sent, Load: &load,
	})
}

func (u *Upstream) sendToken(w http.ResponseWriter, t wire.Token) {
	if u.chance(u.currentFaults().WrongRequestRate) {
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

func (u *Upstream) serveCancel(_ http.ResponseWriter, r *http.Request) {
	var call wire.StageCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return
	}
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if cancel := u.cancels[callID(call.Request, call.Stage, call.Attempt)]; cancel != nil {
		cancel()
	}
}

// load returns the last reported load, which is up to LoadLag old.
func (u *Upstream) load() wire.Load {
	leaving := u.currentFaults().Leaving
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if time.Since(u.reportedAt) >= u.config.LoadLag {
		u.lastReport = wire.Load{Slots: u.config.Slots, Running: u.running, Queued: u.queued}
		u.reportedAt = time.Now()
	}
	report := u.lastReport
	report.Leaving = leaving
	return report
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.load()) }

// SetLatency changes the duration of a call.
func (u *Upstream) SetLatency(d time.Duration) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.config.Latency = d
}

func (u *Upstream) latency() time.Duration {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return u.config.Latency
}
