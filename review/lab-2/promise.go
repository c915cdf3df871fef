package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// chargeWork is how long a worker works on a charge.
	chargeWork = 60 * time.Millisecond
	// greyShare is the share of its requests that the failing worker fails.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// calmTime is how long all workers are sound at first.
	calmTime = 2 * time.Second
	// chargeTime is the time between two charges, and charges their number.
	chargeTime = 50 * time.Millisecond
	charges    = 160
	// desks is the number of workers.
	desks = 4
)

// A till counts how often requests ran, by their ids, and charges, by their bodies.
type till struct {
	mu     sync.Mutex
	runs   map[string]int
	booked map[string]int
	// byWorker counts the runs of each worker.
	byWorker map[string]int
	// grey is the worker that fails some of its requests, from the time since on. turn counts
	// those that it gets.
	grey  string
	since time.Time
	turn  int
}

// run records that a worker runs a request, and reports whether it fails it.
func (t *till) run(worker, id, body string) (fails bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.booked[body]++
	t.byWorker[worker]++
	if t.grey != worker || time.Since(t.since) > greyTime {
		return false
	}
	t.turn++
	return int(float64(t.turn)*greyShare) > int(float64(t.turn-1)*greyShare)
}

// turnGrey makes the worker fail that has run most requests.
func (t *till) turnGrey() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for worker, count := range t.byWorker {
		if t.grey == "" || count > t.byWorker[t.grey] {
			t.grey = worker
		}
	}
	t.since = time.Now()
	return t.grey
}

// playPromise has a worker that fails some of the charges that it has run with status 503, and
// without the header that says that it has not run them. No client may get a 503 for these.
func playPromise(l *lab) (bool, error) {
	t := &till{runs: make(map[string]int), booked: make(map[string]int), byWorker: make(map[string]int)}
	for i := range desks {
		id := fmt.Sprint("desk-", i+1)
		_, err := startWorker(l.store, id, serviceDesk, string(rune('a'+i%2)), 6, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			request := r.Header.Get(names.ID)
			w.Header().Set(names.ID, request)
			if r.Header.Get(names.Expect) != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			time.Sleep(chargeWork)
			w.Header().Set(names.Seal, "seal-"+request)
			if t.run(id, request, string(body)) {
				l.log("%s ran request %s (%s) and answers 503, without saying that it has not run", id, request, body)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			l.log("%s ran request %s (%s) and answers 200", id, request, body)
			fmt.Fprintf(w, "receipt of %s", body)
		}))
		if err != nil {
			return false, err
		}
	}
	if err := l.startHosts(2, 284, 4100); err != nil {
		return false, err
	}
	if l.trouble {
		time.AfterFunc(calmTime, func() {
			l.log("%s fails %.2f of its requests from now on, its health check is good", t.turnGrey(), greyShare)
		})
	}
	broken, doubled := 0, 0
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range charges {
		clients.Go(func() {
			body := fmt.Sprint("charge ", i)
			n := 0
			// A client makes one more attempt, with an id of its own, after a promise.
			for n < 2 {
				c := call{method: http.MethodPost, front: l.hosts[(i+n)%2].front, path: pathCharge + "x", id: fmt.Sprintf("c%d-%d", i, n), key: keyNorth, body: body, deadline: 1500 * time.Millisecond}
				n++
				l.log("client sends request %s (%s) to %s", c.id, body, l.hosts[(i+n-1)%2].name)
				a := c.do()
				l.log("client gets %d for request %s, sealed %t, %v", a.status, c.id, a.sealed, a.err)
				if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
					break
				}
				t.mu.Lock()
				ran := t.runs[c.id]
				t.mu.Unlock()
				if ran > 0 {
					mu.Lock()
					broken++
					mu.Unlock()
					l.log("REFUSED: request %s was answered %d and has run", c.id, a.status)
				}
				time.Sleep(a.retryAfter)
			}
		})
		time.Sleep(chargeTime)
	}
	clients.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for body, count := range t.booked {
		if count > 1 {
			doubled++
			l.log("%s was booked %d times", body, count)
		}
	}
	l.conclude("%d charges; %d requests were answered 503 or 429 and had run; %d charges were booked twice, as their clients trusted that", charges, broken, doubled)
	return broken == 0, nil
}
