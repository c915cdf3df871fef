package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"teaselplank/platform/stand"
)

const (
	// callersPerHost is the number of ordinary callers of each host.
	callersPerHost = 4
	// workTime is how long a worker takes for a request of an ordinary caller.
	workTime = 300 * time.Millisecond
	// oddRounds is the number of times that each host gets a request of the careless client, and
	// oddInterval the time between them.
	oddRounds   = 3
	oddInterval = 6 * time.Second
	// maxLost is the number of requests that the rule allows a host to lose.
	maxLost = 3
	// maxExits is the number of ends of a process from which they count.
	maxExits = 3
)

// runOddCount lets a client that is not careful send a short request with an odd header to each
// host, beside ordinary callers on kept connections.
func runOddCount(l *lab) error {
	fields, err := readFields(filepath.Join(l.folder, "request.txt"))
	if err != nil {
		return err
	}
	stand.PutConfig(l.store, 1)
	for _, zone := range []string{"a", "b"} {
		for _, w := range []*stand.Worker{
			{Service: stand.ServiceDesk, Kind: stand.Plain, Slots: 6, Delay: workTime},
			{Service: stand.ServiceEngine, Kind: stand.Engine, Slots: 32, Events: 8, Delay: 5 * time.Millisecond},
			{Service: stand.ServiceEncode, Kind: stand.Stage, Delay: 20 * time.Millisecond},
			{Service: stand.ServiceRank, Kind: stand.Stage, Delay: 20 * time.Millisecond},
		} {
			w.ID, w.Zone = w.Service+"-"+zone, zone
			if err := l.addWorker(w); err != nil {
				return err
			}
		}
	}
	if err := l.startHosts(func(int) string { return l.storeAddr }, "a", "b"); err != nil {
		return err
	}
	var mu sync.Mutex
	var outcomes []outcome
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, h := range l.hosts {
		for i := range callersPerHost {
			c := &client{lab: l, host: h, name: fmt.Sprintf("%s-caller-%d", h.name, i+1)}
			callers.Go(func() {
				defer c.close()
				for {
					select {
					case <-done:
						return
					default:
					}
					o, err := c.send(stand.PathUnsafe+"file", nil)
					if err != nil {
						time.Sleep(100 * time.Millisecond) // The host is away.
						continue
					}
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}
			})
		}
	}
	for round := range oddRounds {
		time.Sleep(oddInterval)
		for _, h := range l.hosts {
			if !h.awaitReady(5 * time.Second) {
				return fmt.Errorf("%q is not ready again", h.name)
			}
			sendOdd(l, h, round, fields)
		}
	}
	time.Sleep(2 * time.Second)
	close(done)
	callers.Wait()
	return judgeLost(l, outcomes)
}

// sendOdd sends a request of the careless client. Without the disruption, its header is as usual.
func sendOdd(l *lab, h *host, round int, fields http.Header) {
	c := &client{lab: l, host: h, name: fmt.Sprintf("%s-careless-%d", h.name, round+1)}
	defer c.close()
	o, err := c.send(stand.PathStream+"draft", func(r *http.Request) {
		if !l.trouble {
			return
		}
		for name, values := range fields {
			r.Header[name] = values
		}
	})
	if err == nil {
		err = o.err
	}
	l.note("careless client: request %s to %s: status %d, error %v", o.id, h.name, o.status, err)
}

// judgeLost checks how many requests of ordinary callers each host has lost, and how often its
// process has ended.
func judgeLost(l *lab, outcomes []outcome) error {
	lost := make(map[*host]int)
	for _, o := range outcomes {
		runs := l.runs(o.id)
		l.note("request %s sent to %s at %.3f s, kept connection %v: ran %d times, status %d, error %v",
			o.id, o.host.name, o.sent.Sub(l.started).Seconds(), o.kept, runs, o.status, o.err)
		if o.kept && runs > 0 && o.status == 0 {
			lost[o.host]++
		}
	}
	broken, ended := false, 0
	for _, h := range l.hosts {
		l.note("%s: %d requests of kept connections ran and got no answer; the process ended by itself %d times", h.name, lost[h], h.exitCount())
		broken = broken || lost[h] > maxLost
		if h.exitCount() >= maxExits {
			ended++
		}
	}
	if broken || ended == len(l.hosts) {
		return fmt.Errorf("%w: requests were lost or processes ended by themselves", errBroken)
	}
	return nil
}

// readFields reads the header fields of the careless client, one a line. Empty lines and those
// that begin with # are left out.
func readFields(path string) (http.Header, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open the request: %w", err)
	}
	defer f.Close()
	fields := make(http.Header)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), ":")
		if ok && !strings.HasPrefix(name, "#") {
			fields.Set(strings.TrimSpace(name), strings.TrimSpace(value))
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the request: %w", err)
	}
	return fields, nil
}
