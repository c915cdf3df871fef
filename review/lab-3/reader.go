package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

const (
	// largeHosts is the number of hosts. From 13 on they follow readers of the store, and from 32 on
	// the pause between reads by which a grace period is extended has its largest value.
	largeHosts = 36
	// drainBound and stableTime are the bounds of the sheet of the grown deployment.
	drainBound = 3000 * time.Millisecond
	stableTime = 4 * time.Second
	// cutTime is how long one host is cut off from the store, at most 5.5 s in the sheet.
	cutTime = 3 * time.Second
	// leaveAfter is the time from a cut until a worker leaves.
	leaveAfter = 300 * time.Millisecond
	// roundTime is the time between two cuts, and cutRounds their number.
	roundTime = 9 * time.Second
	cutRounds = 4
	// askInterval is the time between two requests to a host.
	askInterval = 60 * time.Millisecond
)

// runReader checks that no host in touch sends requests to a worker that has left, while one of the
// hosts that read the store for others is cut off from it.
func runReader(l *lab) (int, error) {
	store := &stand.Store{}
	stand.PutConfig(store, 1)
	storeAddr, err := serveStore(store)
	if err != nil {
		return unknown, err
	}
	zones := []string{"a", "b"}
	desk, err := startDesk(l, store, "a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b")
	if err != nil {
		return unknown, err
	}
	links := make(map[string]*link)
	linkOf := func(name string) (string, error) {
		k, err := newLink(storeAddr)
		if err != nil {
			return "", err
		}
		links[name] = k
		return k.addr(), nil
	}
	hosts, err := startLinkedHosts(l, largeHosts, zones, linkOf)
	defer killAll(hosts)
	if err != nil {
		return unknown, err
	}
	a := &asker{lab: l, hosts: hosts, sentTo: make(map[string]string)}
	stop := a.start()
	defer stop()
	time.Sleep(2 * time.Second)
	var leaves []leave
	for range cutRounds {
		reader := findReader(hosts, links, leaves)
		if reader == nil {
			return unknown, errors.New("no host reads the store for others")
		}
		cutAt := time.Now()
		if l.trouble {
			l.note("%s, which reads the store for others, is cut off from the store", reader.name)
			links[reader.name].set(true)
		}
		time.Sleep(leaveAfter)
		w := desk.take(reader.zone)
		w.StopHeartbeat()
		store.RemoveEntry(w.ID)
		leaves = append(leaves, leave{worker: w.ID, at: time.Now(), cut: reader.name})
		l.note("%s leaves: its entry is removed from the store, and it goes on serving", w.ID)
		time.Sleep(time.Until(cutAt.Add(cutTime)))
		if l.trouble {
			links[reader.name].set(false)
			l.note("%s reaches the store again", reader.name)
		}
		time.Sleep(time.Until(cutAt.Add(roundTime)))
	}
	stop()
	return a.checkLeaves(leaves, desk.all()), nil
}

// findReader returns the host that has sent most requests to the store lately: hosts that read it
// for others ask it more than once a second, and those that follow them hardly ever. It leaves out
// those that were cut off before, as others may still avoid them.
func findReader(hosts []*host, links map[string]*link, leaves []leave) *host {
	since := time.Now().Add(-recentTime)
	var found *host
	most := 0
	for _, h := range hosts {
		wasCut := slices.ContainsFunc(leaves, func(v leave) bool { return v.cut == h.name })
		if n := links[h.name].requests(since); !wasCut && n > most {
			found, most = h, n
		}
	}
	return found
}

// take removes and returns the worker of a zone that got most requests lately.
func (d *desk) take(zone string) *stand.Worker {
	d.keep(time.Now().Add(-recentTime))
	var busiest *stand.Worker
	for _, w := range d.workers {
		if w.Zone == zone && (busiest == nil || d.recent[w.ID] > d.recent[busiest.ID]) {
			busiest = w
		}
	}
	d.workers = slices.DeleteFunc(d.workers, func(w *stand.Worker) bool { return w == busiest })
	return busiest
}

// recentTime is how far back requests count for take.
const recentTime = 2 * time.Second

// A leave is a worker whose entry was removed, and the host that was cut off then.
type leave struct {
	worker, cut string
	at          time.Time
}

// An asker sends safe requests to all hosts.
type asker struct {
	lab    *lab
	hosts  []*host
	mu     sync.Mutex
	sentTo map[string]string
}

// start sends requests until the returned function is called.
func (a *asker) start() (stop func()) {
	done := make(chan struct{})
	var senders sync.WaitGroup
	for i, h := range a.hosts {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(askInterval):
				}
				a.ask(h, fmt.Sprintf("%s%d-%d", idPrefix, i+1, n+1))
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		senders.Wait()
	}
}

// ask sends one request.
func (a *asker) ask(h *host, id string) {
	a.mu.Lock()
	a.sentTo[id] = h.name
	a.mu.Unlock()
	r, err := stand.NewRequest(h.callers, stand.PathSafe+"status", id)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		a.lab.note("client: %s failed: %v", id, err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		a.lab.note("client gets %d for %s", response.StatusCode, id)
	}
}

// checkLeaves checks that no request of a host in touch reaches a worker later than drainBound
// after the removal of its entry. A host that is cut off is not in touch until stableTime after.
func (a *asker) checkLeaves(leaves []leave, arrivals []arrival) int {
	code := held
	for _, v := range leaves {
		late, latest := 0, time.Duration(0)
		for _, r := range arrivals {
			after := r.at.Sub(v.at)
			host := a.sentTo[r.id]
			if r.worker != v.worker || after <= drainBound || host == v.cut && after < cutTime+stableTime {
				continue
			}
			a.lab.note("%s got %s from %s %d ms after its leave", v.worker, r.id, host, after.Milliseconds())
			late, latest = late+1, max(latest, after)
		}
		a.lab.note("%s: %d requests later than %s after its leave, the last after %s", v.worker, late, drainBound, latest)
		if late > 0 {
			code = broken
		}
	}
	return code
}
