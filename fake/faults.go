// Package fake holds small stand-ins for what lies outside the system: the
// platform's services and the upstreams. They serve the same interfaces over
// HTTP as the real ones, and their faults are switched while they run, by a
// method or by a POST to /faults. They are for tests and demonstrations.
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

// Faults are the faults that a stand-in shows.
type Faults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// Slow delays every answer, in milliseconds.
	Slow int `json:"slow_ms"`
	// Lose is the part of requests, from 0 to 1, that take effect but whose
	// connection is closed in place of an answer.
	Lose float64 `json:"lose"`
	// Fail is the part of requests that fail without effect, with status 500.
	Fail float64 `json:"fail"`
	// Leaving makes an upstream say that it is leaving.
	Leaving bool `json:"leaving"`
	// Cross is the part of replies that echo another request.
	Cross float64 `json:"cross"`
	// Stall stops streams after this many tokens, without closing them; 0 is
	// never.
	Stall int `json:"stall"`
	// Cut closes streams after this many tokens; 0 is never.
	Cut int `json:"cut"`
}

// A switchboard holds the faults of a stand-in. The zero value shows none.
type switchboard struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// silenced is the time up to which opened connections are silent.
	silenced time.Time
}

// SetFaults replaces the faults.
func (s *switchboard) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Silence lets the connections that are open now go silent for good, while new
// ones work.
func (s *switchboard) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = time.Now()
}

func (s *switchboard) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// chance draws whether something with the given probability happens.
func (s *switchboard) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(1, 2))
	}
	return s.random.Float64() < probability
}

type openedKey struct{}

// ConnContext notes when a connection was opened. Servers of a stand-in set it
// as http.Server.ConnContext.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func (s *switchboard) silent(r *http.Request) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && opened.Before(s.silenced)
}

// wrap adds the faults that every request may meet, and the endpoint that
// switches them.
func (s *switchboard) wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { s.Silence() })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f := s.get()
		if s.silent(r) {
			// The end of the connection is noticed once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if f.Slow > 0 {
			pause(r.Context(), time.Duration(f.Slow)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "stand-in is down", http.StatusServiceUnavailable)
			return
		}
		if s.chance(f.Fail) {
			http.Error(w, "stand-in fails", http.StatusInternalServerError)
			return
		}
		if s.chance(f.Lose) {
			next.ServeHTTP(&discard{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

func (s *switchboard) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// discard is a response that is thrown away.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

func (d *discard) WriteHeader(int) {}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The client that does not take the answer sees its own error.
	_ = json.NewEncoder(w).Encode(value)
}
