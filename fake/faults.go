// Package fake provides stand-ins for the external services of the system: the
// platform's services and the upstreams. They serve the same HTTP interfaces as the
// real ones. Faults can be injected while they run, with SetFaults or with a POST to
// /faults. The stand-ins are for tests and demonstrations.
package fake

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Faults configures the faults that a stand-in injects.
type Faults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every response, in milliseconds.
	DelayMillis int `json:"slow_ms"`
	// LostReplyRate is the fraction of requests, from 0 to 1, that take effect but
	// whose connection is closed instead of a response.
	LostReplyRate float64 `json:"lose"`
	// FailureRate is the fraction of requests that fail with status 500 and have no
	// effect.
	FailureRate float64 `json:"fail"`
	// Leaving makes an upstream report that it is leaving.
	Leaving bool `json:"leaving"`
	// WrongRequestRate is the fraction of replies that echo another request.
	WrongRequestRate float64 `json:"cross"`
	// StallAfterTokens stops streams after this many tokens without closing them;
	// 0 disables it.
	StallAfterTokens int `json:"stall"`
	// CloseAfterTokens closes streams after this many tokens; 0 disables it.
	CloseAfterTokens int `json:"cut"`
}

// A faultInjector injects the faults of a stand-in. The zero value injects none.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// silencedAt is the time of the last call of SilenceOpenConnections.
	// Connections that were opened before it are silent.
	silencedAt time.Time
}

// SetFaults replaces the faults.
func (i *faultInjector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// SilenceOpenConnections makes the connections that are currently open go silent
// permanently. New connections work.
func (i *faultInjector) SilenceOpenConnections() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.silencedAt = time.Now()
}

func (i *faultInjector) currentFaults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// chance returns true with the given probability.
func (i *faultInjector) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.random == nil {
		i.random = rand.New(rand.NewPCG(1, 2))
	}
	return i.random.Float64() < probability
}

type openedAtKey struct{}

// ConnContext stores in the context of a connection when it was opened. Servers
// of a stand-in set it as http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedAtKey{}, time.Now())
}

func (i *faultInjector) isSilenced(r *http.Request) bool {
	openedAt, ok := r.Context().Value(openedAtKey{}).(time.Time)
	i.mu.Lock()
	defer i.mu.Unlock()
	return ok && openedAt.Before(i.silencedAt)
}

// withFaults wraps a handler with the faults that apply to every request, and adds the
// endpoints that control the faults.
func (i *faultInjector) withFaults(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", i.serveFaults)
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { i.SilenceOpenConnections() })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f := i.currentFaults()
		if i.isSilenced(r) {
			// net/http detects a closed connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if f.DelayMillis > 0 {
			sleep(r.Context(), time.Duration(f.DelayMillis)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "stand-in is down", http.StatusServiceUnavailable)
			return
		}
		if i.chance(f.FailureRate) {
			http.Error(w, "stand-in fails", http.StatusInternalServerError)
			return
		}
		if i.chance(f.LostReplyRate) {
			next.ServeHTTP(&discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

func (i *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.SetFaults(f)
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (d *discardWriter) WriteHeader(int) {}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that stops reading the response sees its own error.
	_ = json.NewEncoder(w).Encode(value)
}
