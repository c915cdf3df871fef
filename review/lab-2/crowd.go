package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// hostMemory, hostDescriptors and linkRate are those of the machines of the deployment.
	hostMemory      = 284 // MiB
	hostDescriptors = 4100
	linkRate        = 125e6 // bytes per second
	// crowdSize is the number of clients at a time, usualSize that without the crowd.
	crowdSize = 2300
	usualSize = 60
	// crowdBody is the length of the body of each request in bytes, and aheadBytes that of the
	// requests that a client of the crowd sends ahead.
	crowdBody  = 18_000
	aheadBytes = 96_000
	// engines is the number of workers. A stream has streamEvents events of eventBytes each,
	// eventTime apart.
	engines      = 12
	streamEvents = 100
	eventBytes   = 75
	eventTime    = 100 * time.Millisecond
	// stayTime is how long the clients stay after the last of them has come.
	stayTime = 6 * time.Second
	// measureTime is the time between two measurements.
	measureTime = 100 * time.Millisecond
	// leastFiles is the number of descriptors that the stand-ins need.
	leastFiles = 3 * crowdSize
)

// playCrowd has a crowd of clients that send a request for a stream, and many more requests ahead of
// its answer, which they do not read. The process and what it has received and not read must not
// exceed the memory of its machine.
func playCrowd(l *lab) (bool, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < leastFiles {
		return false, fmt.Errorf("the stand-ins need %d descriptors, and may have %d", leastFiles, files.Cur)
	}
	for i := range engines {
		if _, err := startWorker(l.store, fmt.Sprint("engine-", i+1), serviceEngine, "a", 128, http.HandlerFunc(serveStream)); err != nil {
			return false, err
		}
	}
	if err := l.startHosts(1, hostMemory, hostDescriptors); err != nil {
		return false, err
	}
	h := l.hosts[0]
	size, ahead := usualSize, ""
	if l.trouble {
		size, ahead = crowdSize, requestsAhead()
	}
	body := strings.Repeat("p", crowdBody)
	// The clients come one after the other, so that they send no more than the link carries.
	pause := time.Duration(float64(crowdBody+len(ahead)) / linkRate * float64(time.Second))
	l.log("%d clients come, %s apart; each sends a request of %d bytes and %d bytes of requests ahead", size, pause, crowdBody, len(ahead))
	begun := time.Now()
	end := begun.Add(time.Duration(size)*pause + stayTime)
	var crowd sync.WaitGroup
	for i := range size {
		crowd.Go(func() {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * pause)))
			l.stay(h.front, fmt.Sprint("c", i), body, ahead, end)
		})
	}
	most, err := l.measure(h, end)
	crowd.Wait()
	if err != nil {
		return false, err
	}
	a := call{method: http.MethodPost, front: h.front, path: pathQuery + "x", id: "last", key: keyNorth, body: body, deadline: 15 * time.Second}.do()
	l.log("an ordinary client gets %d, %d bytes", a.status, len(a.body))
	l.conclude("the process and what it had received and not read took up to %d kB; its machine has %d kB", most, hostMemory<<10)
	return most <= hostMemory<<10, nil
}

// requestsAhead returns small requests as a client sends them ahead, one after the other.
func requestsAhead() string {
	var b strings.Builder
	for i := 0; b.Len() < aheadBytes; i++ {
		b.WriteString(call{method: http.MethodGet, path: pathLookup + "x", id: fmt.Sprint("ahead-", i), key: keyNorth, deadline: 5 * time.Second}.head(0))
	}
	return b.String()
}

// measure returns the most memory that the host takes until the given time, in kB: its resident
// memory and what clients have sent that it has not read.
func (l *lab) measure(h *host, end time.Time) (most int, err error) {
	for i := 0; time.Now().Before(end); i++ {
		used, err := h.memoryUsed()
		if err != nil {
			return most, err
		}
		unread, err := h.bytesUnread()
		if err != nil {
			return most, err
		}
		if most = max(most, used+unread>>10); i%5 == 0 {
			l.log("the process has %d kB resident, and %d kB received and not read", used, unread>>10)
		}
		time.Sleep(measureTime)
	}
	return most, nil
}

// serveStream answers a request with a stream of events.
func serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(names.ID, r.Header.Get(names.ID))
	w.Header().Set(names.Seal, "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	frame := len("id: 100\ndata: \n\n")
	for i := range streamEvents {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("t", eventBytes-frame)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// stay sends a request and others ahead, reads nothing and closes the connection at the given time.
func (l *lab) stay(front, id, body, ahead string, end time.Time) {
	c, err := net.Dial("tcp", front)
	if err != nil {
		l.log("client %s cannot connect: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetWriteDeadline(end)
	head := call{method: http.MethodPost, path: pathQuery + "x", id: id, key: keyNorth, deadline: 20 * time.Second}.head(len(body))
	if _, err := io.WriteString(c, head+body); err != nil {
		l.log("client %s cannot send: %v", id, err)
		return
	}
	_, _ = io.WriteString(c, ahead) // It ends when the host closes the connection, or at the end.
	time.Sleep(time.Until(end))
}

// memoryUsed returns the resident memory of the process in kB.
func (h *host) memoryUsed() (int, error) {
	if h.hasExited() {
		return 0, errors.New("the host has ended")
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory of the process: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, errors.New("the memory of the process is not known")
}

// bytesUnread returns how many bytes wait in the connections of the host's listener for clients,
// from the system's list of connections.
func (h *host) bytesUnread() (int, error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read connections: %w", err)
	}
	_, port, err := net.SplitHostPort(h.front)
	if err != nil {
		return 0, fmt.Errorf("split address: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, fmt.Errorf("parse port: %w", err)
	}
	const (
		localField, stateField, queuesField = 1, 3, 4
		stateListening                      = "0A"
	)
	local, sum := fmt.Sprintf(":%04X", number), 0
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesField || !strings.HasSuffix(fields[localField], local) || fields[stateField] == stateListening {
			continue
		}
		_, queue, _ := strings.Cut(fields[queuesField], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("parse connections: %w", err)
		}
		sum += int(bytes)
	}
	return sum, nil
}
