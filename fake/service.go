package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"teaselplank/wire"
)

// serveCall runs a call to the plain service and counts the executions of its key.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if u.currentFaults().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	key := r.Header.Get(wire.HeaderKey)
	fence, _ := strconv.ParseInt(r.Header.Get(wire.HeaderFence), 10, 64)
	_, release, _ := u.acquireSlot(r.Context(), "call/"+key)
	defer release()
	if !u.execute(key, fence, string(body)) {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	sleep(r.Context(), u.latency())
	u.dataMu.Lock()
	state := u.keys[key]
	state.finished = true
	output := state.output
	u.dataMu.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, output)
}

// execute counts an execution. It returns false if the fencing number is rejected.
func (u *Upstream) execute(key string, fence int64, body string) bool {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	state, ok := u.checkFence(key, fence)
	if !ok {
		return false
	}
	state.count++
	state.output = StageOutput("receipt", body)
	return true
}

// checkFence returns the state of a key. If the upstream checks fencing numbers, it rejects
// a lower number than the highest one of the key so far, and returns false. The lock must
// be held.
func (u *Upstream) checkFence(key string, fence int64) (*keyState, bool) {
	state := u.keys[key]
	if state == nil {
		state = &keyState{}
		u.keys[key] = state
	}
	if u.config.Fenced && fence < state.minFence {
		return nil, false
	}
	state.minFence = max(state.minFence, fence)
	return state, true
}

// serveStatus serves the status of a key. If the upstream checks fencing numbers, it
// rejects lower numbers for the key after the lookup.
func (u *Upstream) serveStatus(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(wire.HeaderKey)
	fence, _ := strconv.ParseInt(r.Header.Get(wire.HeaderFence), 10, 64)
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	state, ok := u.checkFence(key, fence)
	if !ok {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	writeJSON(w, wire.KeyStatus{Seen: state.count > 0, Finished: state.finished, Output: state.output})
}

// Counts returns the number of executions of each key.
func (u *Upstream) Counts() map[string]int {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	counts := make(map[string]int)
	for key, state := range u.keys {
		if state.count > 0 {
			counts[key] = state.count
		}
	}
	return counts
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Counts()) }

// serveOrder applies an order to the engine.
func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if u.config.Fenced && o.Number < u.orderFence {
		http.Error(w, "fencing number is too low", http.StatusPreconditionFailed)
		return
	}
	u.orderFence = max(u.orderFence, o.Number)
	u.loadedModel = wire.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

func (u *Upstream) serveModel(w http.ResponseWriter, _ *http.Request) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	writeJSON(w, u.loadedModel)
}
