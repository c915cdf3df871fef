package memory_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

const (
	// endlessCallers is the number of clients that call the faulty upstreams at a time, and
	// endlessTime for how long they do.
	endlessCallers = 300
	endlessTime    = 4 * time.Second
	// soundCalls is the number of requests for the sound service meanwhile.
	soundCalls = 10
	// soundTimeout bounds each of them. It is no bound of how fast they are served.
	soundTimeout = 5 * time.Second
)

// An endlessCase has the upstreams of one service send without end. Those of the other service
// are sound.
type endlessCase struct {
	fault stand.Fault
	// service has the fault. Requests with the path go to it, and those with soundPath to the
	// other service.
	service   string
	path      string
	soundPath string
	// inCI is true if the case runs without the environment variable.
	inCI bool
}

func endlessCases() []endlessCase {
	streamsOnly := map[stand.Fault]bool{stand.FaultEndlessEvent: true, stand.FaultEndlessComments: true, stand.FaultIdleComments: true}
	inCI := map[stand.Fault]bool{stand.FaultEndlessHead: true, stand.FaultEndlessBody: true, stand.FaultEndlessEvent: true}
	var list []endlessCase
	for _, f := range stand.EndlessFaults {
		if !streamsOnly[f] {
			list = append(list, endlessCase{fault: f, service: stand.ServiceDesk, path: stand.PathSafe, soundPath: stand.PathOnce, inCI: inCI[f]})
		}
		list = append(list, endlessCase{fault: f, service: stand.ServiceEngine, path: stand.PathOnce, soundPath: stand.PathSafe, inCI: streamsOnly[f] && inCI[f]})
	}
	return list
}

// Upstreams that send bytes without end, in heads, bodies or after them, must not make the host
// that calls them exceed its memory, or end with the requests of others.
func TestHostEndedByEndlessUpstreams(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, c := range endlessCases() {
		if os.Getenv("HOSTILE") == "" && !c.inCI {
			continue
		}
		t.Run(string(c.fault)+" at "+c.service, func(t *testing.T) {
			n := startHostWith(t, binary, endlessWorkers(c))
			var callers sync.WaitGroup
			end := time.Now().Add(endlessTime)
			for i := range endlessCallers {
				callers.Go(func() { n.callUntil(end, fmt.Sprint("endless-", i), c.path) })
			}
			time.Sleep(endlessTime / 4)
			n.wantServed(t, c.soundPath)
			callers.Wait()
			n.wantAlive(t)
			t.Logf("peak %d MB, %s of processor time", n.peakMB(t), n.processorTime(t))
		})
	}
}

// endlessWorkers returns the upstreams of a case.
func endlessWorkers(c endlessCase) []*stand.Worker {
	var workers []*stand.Worker
	for i := range 3 {
		workers = append(workers,
			&stand.Worker{ID: fmt.Sprint("desk-", i), Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 1000},
			&stand.Worker{ID: fmt.Sprint("engine-", i), Service: stand.ServiceEngine, Zone: "a", Kind: stand.Engine, Slots: 1000, Events: 6})
	}
	for _, w := range workers {
		if w.Service == c.service {
			w.SetFault(c.fault)
		}
	}
	return workers
}

// callUntil sends one request after the other until a time, whatever becomes of them.
func (n *host) callUntil(end time.Time, id, path string) {
	client := http.Client{Timeout: soundTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for number := 0; time.Now().Before(end); number++ {
		r, err := stand.NewRequest(n.clients, path, fmt.Sprint(id, "-", number))
		if err != nil {
			return
		}
		answer, err := client.Do(r)
		if err != nil {
			time.Sleep(callInterval)
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxBody))
		answer.Body.Close()
	}
}

// wantServed checks that requests with a path are served.
func (n *host) wantServed(t *testing.T, path string) {
	t.Helper()
	client := http.Client{Timeout: soundTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range soundCalls {
		r, err := stand.NewRequest(n.clients, path, fmt.Sprint("sound-", i))
		if err != nil {
			t.Fatal(err)
		}
		answer, err := client.Do(r)
		if err != nil {
			t.Errorf("request %d of a sound service: %v", i, err)
			continue
		}
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("request %d of a sound service is answered %d (%v), want 200", i, answer.StatusCode, err)
		}
	}
}

// wantAlive checks that the process has neither ended nor exceeded its memory.
func (n *host) wantAlive(t *testing.T) {
	t.Helper()
	select {
	case <-n.exited:
		t.Fatalf("process has ended; its last log lines:\n%s", n.logTail())
	default:
	}
	if peak := n.peakMB(t); peak >= memoryBound {
		t.Errorf("peak memory is %d MB, want less than %d", peak, memoryBound)
	}
}
