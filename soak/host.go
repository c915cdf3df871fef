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

// A host is one process of the system under test with its proxies.
type host struct {
	name         string
	binary       string
	settingsPath string
	log          *os.File
	clientAddr   string
	readyAddr    string
	// shutdownGrace is the time that the process has to shut down.
	shutdownGrace time.Duration
	// The host reaches the store through storeProxy; other hosts reach this one through
	// peerProxy.
	storeProxy *Proxy
	peerProxy  *Proxy

	// mu is held while the process is started or signalled, so that the steps on one
	// host run one after the other.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newHost writes the settings of a host and starts its proxies.
func newHost(o Options, index int, storeAddr string, seeds []string) (*host, error) {
	h := &host{name: fmt.Sprint("entry-", index), binary: o.Binary, shutdownGrace: o.Kind.surroundings().shutdownGrace}
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, fmt.Errorf("find free ports: %w", err)
	}
	h.clientAddr, h.readyAddr = addrs[0], addrs[1]
	if h.storeProxy, err = NewProxy(storeAddr); err != nil {
		return nil, fmt.Errorf("start proxy to the store: %w", err)
	}
	if h.peerProxy, err = NewProxy(addrs[2]); err != nil {
		return nil, fmt.Errorf("start proxy to the host: %w", err)
	}
	zone := string(rune('a' + index%2))
	settings := fmt.Sprintf("[node]\nid = %s\nzone = %s\ngrace = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\nadvertise = %s\nmetrics = %s\n"+
		"[platform]\nstore = %s\n", h.name, zone, h.shutdownGrace, addrs[0], addrs[1], addrs[2], h.peerProxy.Addr(), addrs[3], h.storeProxy.Addr())
	if len(seeds) > 0 {
		settings += "[members]\nseeds = " + seeds[0] + "\n"
	}
	h.settingsPath = filepath.Join(o.Directory, h.name+".ini")
	if err := os.WriteFile(h.settingsPath, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if h.log, err = os.Create(filepath.Join(o.Directory, h.name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return h, nil
}

// The ports of hosts are below the operating system's ephemeral ports, so that no
// connection takes a host's port while the host restarts.
const (
	firstPort = 15000
	lastPort  = 30000
)

// nextPort is the port at which the search for free ports continues.
var nextPort atomic.Int64

// freeAddrs returns loopback addresses on which no process listens.
func freeAddrs(count int) ([]string, error) {
	nextPort.CompareAndSwap(0, firstPort+rand.Int64N(lastPort-firstPort))
	var addrs []string
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)-firstPort)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue // The port is in use.
		}
		l.Close()
		if addrs = append(addrs, l.Addr().String()); len(addrs) == count {
			return addrs, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d ports are free between %d and %d", count, firstPort, lastPort)
}

// start starts the process and waits for its first log output. The caller must hold h.mu.
func (h *host) start() error {
	sizeBefore := h.logSize()
	h.command = exec.Command(h.binary, "entry", h.settingsPath)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %q: %w", h.name, err)
	}
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		_ = command.Wait() // The exit status does not matter.
		close(exited)
	}()
	// Before the program logs its first line, its signal handlers are not installed and
	// a signal has the operating system's default effect.
	for giveUpAt := time.Now().Add(startTimeout); h.logSize() == sizeBefore && time.Now().Before(giveUpAt); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// logSize returns the size of the host's log in bytes.
func (h *host) logSize() int64 {
	info, err := h.log.Stat()
	if err != nil {
		return 0 // The log is closed at the end of the run.
	}
	return info.Size()
}

// signal sends a signal to the process. It does nothing if the process has exited.
func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

func (h *host) pause(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

// restart ends the process with a signal, waits until it has exited and starts it again
// after the delay.
func (h *host) restart(s syscall.Signal, delay time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(s)
	<-h.exited
	time.Sleep(delay)
	return h.start()
}

func (h *host) reload() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGHUP)
}

// stop shuts the process down, and kills it if that takes too long.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(h.shutdownGrace + time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	h.storeProxy.Close()
	h.peerProxy.Close()
	h.log.Close()
}

// readyTimeout is the timeout of a readiness check.
const readyTimeout = 300 * time.Millisecond

// isReady checks the host's readiness endpoint, as the load balancer does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: readyTimeout}
	r, err := client.Get("http://" + h.readyAddr + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}
