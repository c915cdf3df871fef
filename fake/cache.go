package fake

import (
	"net/http"
	"strconv"
)

// A CacheEvent reports that a prefix was cached or evicted.
type CacheEvent struct {
	Index  int    `json:"index"`
	Prefix string `json:"prefix"`
	Cached bool   `json:"cached"`
}

// usePrefix caches a prefix and reports whether it was already cached.
func (u *Upstream) usePrefix(prefix string) bool {
	if prefix == "" {
		return false
	}
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	for _, p := range u.prefixes {
		if p == prefix {
			return true
		}
	}
	u.prefixes = append(u.prefixes, prefix)
	u.addEvent(prefix, true)
	if len(u.prefixes) > u.config.MaxPrefixes {
		u.addEvent(u.prefixes[0], false)
		u.prefixes = u.prefixes[1:]
	}
	return false
}

func (u *Upstream) addEvent(prefix string, cached bool) {
	u.events = append(u.events, CacheEvent{len(u.events), prefix, cached})
}

// serveEvents serves the cache events. It omits every seventh event.
func (u *Upstream) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	events := []CacheEvent{}
	for _, e := range u.events[min(max(from, 0), len(u.events)):] {
		if e.Index%7 != 6 {
			events = append(events, e)
		}
	}
	writeJSON(w, events)
}

func (u *Upstream) serveExport(w http.ResponseWriter, r *http.Request) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	for _, p := range u.prefixes {
		if p == r.PathValue("prefix") {
			writeJSON(w, "cache of "+p)
			return
		}
	}
	http.Error(w, "prefix is not cached", http.StatusNotFound)
}

func (u *Upstream) serveImport(_ http.ResponseWriter, r *http.Request) {
	u.usePrefix(r.PathValue("prefix"))
}
