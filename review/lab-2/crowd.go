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
	// hostMemory and hostDescriptors are those of most machines of the larger deployments.
	hostMemory      = 184 // MiB
	hostDescriptors = 4100
	// crowdSize is the number of clients at a time, usualSize that without the crowd.
	crowdSize = 2340
	usualSize = 60
	// crowdBody is the length of the body of each request in bytes.
	crowdBody = 10_000
	// engines is the number of workers. A stream has streamEvents events of eventBytes each,
	// eventTime apart.
	engines      = 12
	streamEvents = 190
	eventBytes   = 330
	eventTime    = 30 * time.Millisecond
	// stayTime is how long each client stays without reading, and waves how often all come.
	stayTime = 4 * time.Second
	waves    = 4
	// readBuffer is the size of the buffer in which the system keeps what a client does not
	// read, in bytes.
	readBuffer = 2048
	// leastFiles is the number of descriptors that the stand-ins need.
	leastFiles = 3 * crowdSize
)

// playCrowd has a crowd of clients that ask for streams, do not read them and leave. The process
// must not exceed the memory of its machine.
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
	size := usualSize
	if l.trouble {
		size = crowdSize
	}
	body := strings.Repeat("p", crowdBody)
	for wave := range waves {
		l.log("%d clients come", size)
		end := time.Now().Add(stayTime)
		var crowd sync.WaitGroup
		for i := range size {
			crowd.Go(func() { l.stay(h.front, fmt.Sprintf("w%d-%d", wave, i), body, end) })
		}
		crowd.Wait()
		used, peak, err := h.memoryUsed()
		if err != nil {
			return false, err
		}
		l.log("all have left; the process uses %d kB and has used %d kB at most, of %d kB", used, peak, hostMemory<<10)
	}
	_, peak, err := h.memoryUsed()
	if err != nil {
		return false, err
	}
	a := call{method: http.MethodPost, front: h.front, path: pathQuery + "x", id: "last", key: keyNorth, body: body, deadline: 15 * time.Second}.do()
	l.log("an ordinary client gets %d, %d bytes", a.status, len(a.body))
	l.conclude("the process has used up to %d kB; its machine has %d kB", peak, hostMemory<<10)
	return peak <= hostMemory<<10, nil
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

// stay sends a request, reads nothing and closes the connection at the given time.
func (l *lab) stay(front, id, body string, end time.Time) {
	c, err := net.Dial("tcp", front)
	if err != nil {
		l.log("client %s cannot connect: %v", id, err)
		return
	}
	defer c.Close()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readBuffer) // Without it, more is kept here.
	}
	_ = c.SetWriteDeadline(end)
	head := call{method: http.MethodPost, path: pathQuery + "x", id: id, key: keyNorth, deadline: 20 * time.Second}.head(len(body))
	if _, err := io.WriteString(c, head+body); err != nil {
		l.log("client %s cannot send: %v", id, err)
		return
	}
	time.Sleep(time.Until(end))
}

// memoryUsed returns the resident memory of the process and its peak, in kB.
func (h *host) memoryUsed() (used, peak int, err error) {
	if h.hasExited() {
		return 0, 0, errors.New("the host has ended")
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0, 0, fmt.Errorf("read memory of the process: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			used, err = strconv.Atoi(fields[1])
		case "VmHWM:":
			peak, err = strconv.Atoi(fields[1])
		}
		if err != nil {
			return 0, 0, fmt.Errorf("read memory of the process: %w", err)
		}
	}
	return used, peak, nil
}
