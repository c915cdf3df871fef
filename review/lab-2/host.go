package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"teaselplank/platform"
)

// A host is an entry host, which runs as a process of its own.
type host struct {
	name                          string
	program                       string
	dir                           string
	front, ready, peers, counters string
	command                       *exec.Cmd
	exited                        chan struct{}
}

// hostOptions are settings of a host beside its addresses.
type hostOptions struct {
	name, zone, store string
	seeds             []string
	memoryMB          int
	descriptors       int
}

const (
	firstPort = 16000
	lastPort  = 30000
)

// freeAddrs returns loopback addresses on which no process listens. Their ports are below those
// that the system gives to outgoing connections.
func freeAddrs(count int) ([]string, error) {
	var addrs []string
	for range 2000 {
		addr := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		if addrs = append(addrs, addr); len(addrs) == count {
			return addrs, nil
		}
	}
	return nil, fmt.Errorf("no free ports from %d to %d", firstPort, lastPort)
}

// newHost writes the settings of a host and starts it.
func newHost(program, dir string, o hostOptions) (*host, error) {
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	h := &host{name: o.name, program: program, dir: dir, front: addrs[0], ready: addrs[1], peers: addrs[2], counters: addrs[3]}
	settings := fmt.Sprintf("[node]\nid = %s\nzone = %s\ngrace = 8s\nmemory = %dMiB\ndescriptors = %d\nprocessor = 0.4\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[platform]\nstore = %s\n[members]\nseeds = %s\n[repeats]\nratio = 0.2\nslack = 54\nwindow = 10s\n",
		o.name, o.zone, o.memoryMB, o.descriptors, h.front, h.ready, h.peers, h.counters, o.store, strings.Join(o.seeds, ","))
	if err := os.WriteFile(h.settings(), []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return h, h.start()
}

func (h *host) settings() string { return filepath.Join(h.dir, h.name+".ini") }

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	h.command = exec.Command(h.program, "entry")
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings())
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		_ = command.Wait() // The exit status does not matter.
		close(exited)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// hasExited reports whether the process has ended.
func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the host reports that it is ready.
func (h *host) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for giveUp := time.Now().Add(20 * time.Second); time.Now().Before(giveUp); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + h.ready + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready in time", h.name)
}
