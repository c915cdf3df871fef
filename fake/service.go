package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"teaselplank/wire"
)

// serveCall runs a call of the plain service and counts it by its key.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if u.get().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	key := r.Header.Get(wire.HeaderKey)
	number, _ := strconv.ParseInt(r.Header.Get(wire.HeaderFence), 10, 64)
	_, leave, _ := u.enter(r.Context(), "call/"+key)
	defer leave()
	if !u.execute(key, number, string(body)) {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	pause(r.Context(), u.latency())
	u.data.Lock()
	e := u.runs[key]
	e.finished = true
	u.data.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, e.output)
}

// execute counts an execution, unless its fencing number is refused.
func (u *Upstream) execute(key string, number int64, body string) bool {
	u.data.Lock()
	defer u.data.Unlock()
	e := u.runs[key]
	if e == nil {
		e = &execution{}
		u.runs[key] = e
	}
	if u.config.Fenced && number < e.bar {
		return false
	}
	e.count++
	e.output = Output("receipt", body)
	e.bar = max(e.bar, number)
	return true
}

// serveStatus answers a lookup of a key. Where numbers are checked, the lookup
// shuts out lower ones.
func (u *Upstream) serveStatus(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(wire.HeaderKey)
	number, _ := strconv.ParseInt(r.Header.Get(wire.HeaderFence), 10, 64)
	u.data.Lock()
	defer u.data.Unlock()
	e := u.runs[key]
	if e == nil {
		e = &execution{}
		u.runs[key] = e
	}
	if u.config.Fenced && number < e.bar {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	e.bar = max(e.bar, number)
	writeJSON(w, wire.KeyStatus{Seen: e.count > 0, Finished: e.finished, Output: e.output})
}

// Counts returns how often each key was executed.
func (u *Upstream) Counts() map[string]int {
	u.data.Lock()
	defer u.data.Unlock()
	counts := make(map[string]int)
	for key, e := range u.runs {
		if e.count > 0 {
			counts[key] = e.count
		}
	}
	return counts
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Counts()) }

// serveOrder takes an order to the engine.
func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.data.Lock()
	defer u.data.Unlock()
	if u.config.Fenced && o.Number < u.number {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	u.number = max(u.number, o.Number)
	u.loaded = wire.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

func (u *Upstream) serveModel(w http.ResponseWriter, _ *http.Request) {
	u.data.Lock()
	defer u.data.Unlock()
	writeJSON(w, u.loaded)
}
