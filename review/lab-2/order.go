package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is how long after its acknowledgement a configuration may take to be in force.
	configTime = 2 * time.Second
	// checkTime is how long after that the key is tried.
	checkTime = 6 * time.Second
)

// playOrder sends a configuration that takes a key away and adds a route. One of the stages of the
// new route needs the results of a stage with a higher number. The key must not be accepted
// once the configuration has to be in force.
func playOrder(l *lab) (bool, error) {
	for i, service := range []string{serviceDesk, serviceEngine, serviceEncode, serviceRank} {
		id := fmt.Sprint("worker-", i+1)
		_, err := startWorker(l.store, id, service, "a", 6, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			l.log("%s runs request %s for %s", id, r.Header.Get(names.ID), r.RequestURI)
			w.Header().Set(names.ID, r.Header.Get(names.ID))
			w.Header().Set(names.Seal, "seal")
			fmt.Fprint(w, "answer")
		}))
		if err != nil {
			return false, err
		}
	}
	if err := l.startHosts(2, 284, 4100); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than the time after which the hosts are in touch
	ask := func(key, path string, n int) int {
		h := l.hosts[n%2]
		c := call{method: http.MethodGet, front: h.front, path: path + "x", id: fmt.Sprintf("o%d-%s", n, key), key: key, deadline: 1500 * time.Millisecond}
		a := c.do()
		l.log("%s answers request %s at %s with %d", h.name, c.id, path, a.status)
		return a.status
	}
	if status := ask(keyOld, pathLookup, 0); status != http.StatusOK {
		return false, fmt.Errorf("the key is answered %d while it is valid", status)
	}
	config := orderedConfig
	if l.trouble {
		config = secondConfig
	}
	l.store.Put(names.Operator, "config", config)
	l.log("the store has acknowledged version 4, which takes key %s away and adds %s", keyOld, pathLetter)
	time.Sleep(configTime + 500*time.Millisecond)
	old, missing := 0, 0
	n := 1
	for end := time.Now().Add(checkTime); time.Now().Before(end); n++ {
		if ask(keyOld, pathLookup, n) == http.StatusOK {
			old++
			l.log("CONFIG: request %d ran with a key that was taken away", n)
		}
		if ask(keyNorth, pathLetter, n) == http.StatusNotFound {
			missing++
			l.log("CONFIG: request %d is refused although its route is there", n)
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.conclude("%d requests ran with a key that was taken away at least %s before, and %d were answered 404 at the new route, of %d each", old, configTime, missing, n-1)
	return old == 0 && missing == 0, nil
}
