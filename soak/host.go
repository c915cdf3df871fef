package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A host is one process of the system under test, with the proxies around it.
type host struct {
	name     string
	binary   string
	settings string
	log      *os.File
	callers  string
	ready    string
	// store is the way to the store, peers the way of other hosts to this one.
	store *Proxy
	peers *Proxy

	// mu is held while the process is started or signalled, so that steps on
	// one host come one after the other.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newHost writes the settings of a host and makes its proxies.
func newHost(o Options, number int, storeAddr string, seeds []string) (*host, error) {
	h := &host{name: fmt.Sprint("entry-", number), binary: o.Binary}
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, fmt.Errorf("find ports: %w", err)
	}
	h.callers, h.ready = addrs[0], addrs[1]
	if h.store, err = NewProxy(storeAddr); err != nil {
		return nil, fmt.Errorf("proxy before the store: %w", err)
	}
	if h.peers, err = NewProxy(addrs[2]); err != nil {
		return nil, fmt.Errorf("proxy before the host: %w", err)
	}
	zone := string(rune('a' + number%2))
	text := fmt.Sprintf("[node]\nid = %s\nzone = %s\ngrace = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\nadvertise = %s\nmetrics = %s\n"+
		"[platform]\nstore = %s\n", h.name, zone, grace, addrs[0], addrs[1], addrs[2], h.peers.Addr(), addrs[3], h.store.Addr())
	if len(seeds) > 0 {
		text += "[members]\nseeds = " + seeds[0] + "\n"
	}
	h.settings = filepath.Join(o.Directory, h.name+".ini")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if h.log, err = os.Create(filepath.Join(o.Directory, h.name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return h, nil
}

// grace is the time that a host has to shut down.
const grace = 6 * time.Second

// Ports of hosts are below those that the operating system gives to connections,
// for they must be free again when a host is back.
const (
	firstPort = 15000
	lastPort  = 30000
)

// nextPort is where the search for free ports goes on.
var nextPort atomic.Int64

// freeAddrs returns addresses that nobody listens at.
func freeAddrs(count int) ([]string, error) {
	nextPort.CompareAndSwap(0, firstPort+rand.Int64N(lastPort-firstPort))
	var addrs []string
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)-firstPort)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue // Somebody listens there.
		}
		l.Close()
		if addrs = append(addrs, l.Addr().String()); len(addrs) == count {
			return addrs, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d ports are free from %d to %d", count, firstPort, lastPort)
}

// start starts the process. The lock must be held.
func (h *host) start() error {
	before := h.logged()
	h.command = exec.Command(h.binary, "entry", h.settings)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %q: %w", h.name, err)
	}
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		_ = command.Wait() // How it ended does not matter; that it ended does.
		close(exited)
	}()
	// A signal that comes before the program's first line finds the defaults of
	// the operating system.
	for end := time.Now().Add(startTime); h.logged() == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// logged returns how much the processes have logged.
func (h *host) logged() int64 {
	info, err := h.log.Stat()
	if err != nil {
		return 0 // The log is closed, and the run at its end.
	}
	return info.Size()
}

// signal sends a signal. A process that has exited needs none.
func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

func (h *host) pause(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

// restart ends the process by a signal and starts it again some time after it has
// ended.
func (h *host) restart(s syscall.Signal, after time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(s)
	<-h.exited
	time.Sleep(after)
	return h.start()
}

func (h *host) reload() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGHUP)
}

// stop lets the process shut down, and ends what does not.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(grace + time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	h.store.Close()
	h.peers.Close()
	h.log.Close()
}

// readyTimeout bounds the question whether a host is ready.
const readyTimeout = 300 * time.Millisecond

// isReady asks the host as the balancer before it does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: readyTimeout}
	r, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}
