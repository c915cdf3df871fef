package memory_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselplank/platform/stand"
)

const (
	// crowdSize is the number of clients that wait for a stream at a time, and crowdTime how long
	// they stay after the last of them has come.
	crowdSize = 1500
	crowdTime = 2 * time.Second
	// aheadBytes is what each of them sends in requests ahead of its answer.
	aheadBytes = 96_000
	// crowdBody is the length of the body of each request for a stream, in bytes.
	crowdBody = 2_000
)

// Guards against a host that ends for lack of memory: what clients have sent ahead of their answers
// waited in the kernel, which counts towards the memory of the process, and nothing bounded it.
func TestStreamsWithRequestsAhead(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	n := startStreamHost(t)
	ctx, stop := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	for i := range crowdSize {
		crowd.Go(func() { n.waitForStream(ctx, t, fmt.Sprint("crowd-", i)) })
		time.Sleep((crowdBody + aheadBytes) * time.Second / fillRate)
	}
	most := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resident, unread := n.residentMB(t), n.unreadMB(t)
		if resident+unread > most {
			most = resident + unread
			t.Logf("the process takes %d MB, and what it has received and not read %d MB", resident, unread)
		}
	}
	if most >= memoryBound {
		t.Errorf("the process and what it has received and not read take %d MB, want less than %d", most, memoryBound)
	}
	stop()
	crowd.Wait()
	if err := n.callOnce(http.DefaultClient, "after the crowd"); err != nil {
		t.Error(err)
	}
}

// The bounds of memory must leave room for as many streams as a host has at the highest load: 500 at a
// time, of clients that send nothing ahead.
func TestManyStreamsFitMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const streams, body = 500, 18_000
	n := startStreamHost(t)
	var clients sync.WaitGroup
	var served atomic.Int64
	begun := make(chan struct{})
	for i := range streams {
		clients.Go(func() {
			r, err := stand.NewRequest(n.clients, stand.PathOnce, fmt.Sprint("stream-", i))
			if err != nil {
				t.Error(err)
				return
			}
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("p", body))), body
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			answer, err := client.Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				t.Errorf("answer is %d, want 200", answer.StatusCode)
			}
			if served.Add(1) == streams {
				close(begun)
			}
			select {
			case <-begun:
			case <-time.After(5 * time.Second): // The stream is in progress until then.
			}
		})
	}
	clients.Wait()
	if served.Load() < streams {
		t.Errorf("%d streams were served at a time, want %d", served.Load(), streams)
	}
	if peak := n.peakMB(t); peak >= memoryBound {
		t.Errorf("peak memory is %d MB, want less than %d", peak, memoryBound)
	}
}

// startStreamHost starts a host with engines that have room for all clients, whose streams last for
// 10 s.
func startStreamHost(t *testing.T) *host {
	t.Helper()
	workers := []*stand.Worker{{ID: "desk", Service: stand.ServiceDesk, Zone: "a", Kind: stand.Plain, Slots: 1000, Delay: upstreamDelay}}
	for i := range 4 {
		workers = append(workers, &stand.Worker{
			ID: fmt.Sprint("engine-", i), Service: stand.ServiceEngine, Zone: "a", Kind: stand.Engine, Slots: 1000, Events: 100, Delay: 100 * time.Millisecond,
		})
	}
	return startHostWith(t, buildBinary(t), workers)
}

// waitForStream sends a request for a stream, and others ahead of its answer, and reads nothing until
// the context ends.
func (n *host) waitForStream(ctx context.Context, t *testing.T, id string) {
	c, err := net.Dial("tcp", n.clients)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	stream, err := stand.NewRequest(n.clients, stand.PathOnce, id)
	if err != nil {
		t.Error(err)
		return
	}
	var text bytes.Buffer
	stream.Body, stream.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("p", crowdBody))), crowdBody
	if err := stream.Write(&text); err != nil {
		t.Error(err)
	}
	for i, end := 0, text.Len()+aheadBytes; text.Len() < end; i++ {
		ahead, err := stand.NewRequest(n.clients, stand.PathSafe, fmt.Sprint(id, "-", i))
		if err != nil {
			t.Error(err)
			return
		}
		if err := ahead.Write(&text); err != nil {
			t.Error(err)
		}
	}
	_, _ = c.Write(text.Bytes()) // It may wait until the context ends.
	<-ctx.Done()
}

// residentMB returns the resident memory of the process.
func (n *host) residentMB(t *testing.T) int { return n.statusMB(t, "VmRSS:") }

// unreadMB returns what the kernel holds of what clients have sent.
func (n *host) unreadMB(t *testing.T) int {
	t.Helper()
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", n.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := strings.Cut(n.clients, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	suffix := fmt.Sprintf(":%04X", number)
	const localField, queuesField = 1, 4
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if !strings.HasSuffix(fields[localField], suffix) {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		bytes, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			t.Error(err)
		}
		total += bytes
	}
	return int(total / 1e6)
}
