package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A host is an entry host. Its process is started again after it has ended, as the platform does.
type host struct {
	lab      *lab
	name     string
	binary   string
	settings string
	// client, ready and peers are addresses.
	client, ready, peers string

	mu      sync.Mutex
	command *exec.Cmd
	// exits is the number of times that the process ended by itself, and ending is true once it
	// is not to be started again.
	exits  int
	ending bool
	ended  chan struct{}
}

// restartDelay is the time until a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

// settingsFormat is deploy/node.ini.tmpl with the figures of a small deployment.
const settingsFormat = `[node]
id = %s
zone = %s
grace = 8s
memory = 284MiB
descriptors = 4100
processor = 0.4
[listen]
callers = %s
ready = %s
peers = %s
metrics = %s
[platform]
store = %s
[members]
seeds = %s
[repeats]
ratio = 0.2
slack = 54
window = 10s
`

// startHosts starts a host in each of the zones and waits until all are ready. The address of the
// store may differ by host.
func (l *lab) startHosts(storeOf func(index int) string, zones ...string) error {
	binary, err := program()
	if err != nil {
		return err
	}
	for i, zone := range zones {
		h := &host{lab: l, name: fmt.Sprintf("entry-%d", i+1), binary: binary, ended: make(chan struct{})}
		addrs, err := freeAddrs(4)
		if err != nil {
			return err
		}
		h.client, h.ready, h.peers = addrs[0], addrs[1], addrs[2]
		var seeds []string
		for _, other := range l.hosts {
			seeds = append(seeds, other.peers)
		}
		seeds = append(seeds, h.peers)
		text := fmt.Sprintf(settingsFormat, h.name, zone, addrs[0], addrs[1], addrs[2], addrs[3], storeOf(i), strings.Join(seeds, ","))
		h.settings = filepath.Join(l.work, h.name+".ini")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		l.hosts = append(l.hosts, h)
	}
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
		go h.supervise()
	}
	for _, h := range l.hosts {
		if !h.awaitReady(10 * time.Second) {
			return fmt.Errorf("%q is not ready", h.name)
		}
	}
	return nil
}

// The ports of hosts are below those that the operating system gives to connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddrs returns loopback addresses on which no process listens.
func freeAddrs(count int) ([]string, error) {
	var addrs []string
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue // The port is in use.
		}
		defer l.Close()
		if addrs = append(addrs, l.Addr().String()); len(addrs) == count {
			return addrs, nil
		}
	}
	return nil, fmt.Errorf("no %d ports are free between %d and %d", count, firstPort, lastPort)
}

// start starts the process.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.lab.work, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	command := exec.Command(h.binary, "entry", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %q: %w", h.name, err)
	}
	h.mu.Lock()
	h.command = command
	h.mu.Unlock()
	h.lab.note("%s starts as process %d", h.name, command.Process.Pid)
	return nil
}

// supervise starts the process again whenever it has ended.
func (h *host) supervise() {
	defer close(h.ended)
	for {
		h.mu.Lock()
		command := h.command
		h.mu.Unlock()
		err := command.Wait()
		h.mu.Lock()
		ending := h.ending
		if !ending {
			h.exits++
		}
		h.mu.Unlock()
		if ending {
			return
		}
		h.lab.note("%s has ended by itself: %v; its log says %q", h.name, err, h.panicLine())
		time.Sleep(restartDelay)
		h.mu.Lock()
		ending = h.ending
		h.mu.Unlock()
		if ending || h.start() != nil {
			return
		}
	}
}

// panicLine returns the last line of the log in which a panic is reported, or an empty string.
func (h *host) panicLine() string {
	data, err := os.ReadFile(filepath.Join(h.lab.work, h.name+".log"))
	if err != nil {
		return ""
	}
	found := ""
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			found = strings.TrimSpace(line)
		}
	}
	return found
}

// exitCount returns how often the process has ended by itself.
func (h *host) exitCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exits
}

// isReady reports whether the host says that it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	client.CloseIdleConnections()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the host is ready and reports whether it is.
func (h *host) awaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.ending = true
	command := h.command
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL) // It may have ended.
	select {
	case <-h.ended:
	case <-time.After(2 * time.Second):
	}
}
