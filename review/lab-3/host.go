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
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// A host is an entry host: a process of the program that the deploy file names.
type host struct {
	name, zone                   string
	callers, ready, peers, extra string
	settings                     string
	log                          *os.File
	command                      *exec.Cmd
	exited                       chan struct{}
	// ok is true if the host was ready when it was asked last.
	ok atomic.Bool
}

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/teaselplank"

// template is the settings file of the deploy file.
const template = "deploy/node.ini.tmpl"

// hostValues are the values of the template that are the same for all hosts: those of a small
// deployment of the users' pages.
var hostValues = map[string]string{
	"bounds.grace_s": "8", "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_quota": "0.4",
	"bounds.retry_ratio": "0.2", "bounds.retry_slack": "54", "bounds.retry_window_s": "10",
}

// metricsPort is the port in the template, which all machines have. Here the hosts share one
// machine, so each has its own loopback address.
const metricsPort = "7749"

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)

// newHost writes the settings of a host. The seeds are the addresses of other hosts.
func newHost(dir, name, zone, ip, store string, seeds []string) (*host, error) {
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, zone: zone, callers: ports[0], ready: ports[1], peers: ports[2], extra: ip + ":" + metricsPort}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	values := map[string]string{
		"node_name": name, "zone": zone, "ip": ip, "listen.front": h.callers, "listen.readiness": h.ready,
		"listen.control": h.peers, "provider.address": store, "seeds": strings.Join(seeds, ","),
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		key := strings.Trim(m, "{}")
		if v, ok := values[key]; ok {
			return v
		}
		return hostValues[key]
	})
	h.settings = filepath.Join(dir, name+".ini")
	if err := os.WriteFile(h.settings, []byte(filled), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if h.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return h, nil
}

// freePorts returns addresses of an IP address on which nobody listens.
func freePorts(ip string, count int) ([]string, error) {
	const first, last = 15000, 30000
	var found []string
	for port := first + rand.IntN(last-first); len(found) < count && port < last+1000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		found = append(found, l.Addr().String())
		l.Close()
	}
	if len(found) < count {
		return nil, fmt.Errorf("no free ports at %s", ip)
	}
	return found, nil
}

// start starts the process.
func (h *host) start() error {
	h.command = exec.Command(program, "entry", h.settings)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	// The process ends with this one, also if this one is killed.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %q: %w", h.name, err)
	}
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		_ = command.Wait() // The exit status does not matter.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// kill ends the process as a loss of power does.
func (h *host) kill() {
	if h.command == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// isReady asks the readiness address, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, limit time.Duration) error {
	giveUp := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(giveUp) {
				return fmt.Errorf("%s is not ready after %s", h.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// pollInterval is the time between two questions whether a host is ready. The platform asks once a
// second; clients that come to a host that stops would only be fewer.
const pollInterval = 100 * time.Millisecond

// startHosts starts a host in each zone and waits until all are ready and know each other.
func startHosts(l *lab, store string, zones []string) ([]*host, error) {
	return startLinkedHosts(l, len(zones), zones, func(string) (string, error) { return store, nil })
}

// maxSeeds is the number of hosts that the settings name to others.
const maxSeeds = 3

// startLinkedHosts is like startHosts, with a number of hosts and an address of the store for each.
func startLinkedHosts(l *lab, count int, zones []string, storeOf func(name string) (string, error)) ([]*host, error) {
	var hosts []*host
	var seeds []string
	for i := range count {
		name := fmt.Sprintf("entry-%d", i+1)
		store, err := storeOf(name)
		if err != nil {
			return hosts, err
		}
		h, err := newHost(l.dir, name, zones[i%len(zones)], fmt.Sprintf("127.0.77.%d", i+1), store, seeds)
		if err != nil {
			return hosts, err
		}
		if err := h.start(); err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, h.peers)
		}
	}
	if err := awaitReady(hosts, readyLimit); err != nil {
		return hosts, err
	}
	for _, h := range hosts {
		h.ok.Store(true)
		go func() {
			for ; ; time.Sleep(pollInterval) {
				h.ok.Store(h.isReady())
			}
		}()
	}
	time.Sleep(settleTime)
	return hosts, nil
}

const (
	// readyLimit bounds the time until hosts are ready, and settleTime is until they know each
	// other.
	readyLimit = 15 * time.Second
	settleTime = 3 * time.Second
)

// killAll ends the processes of hosts.
func killAll(hosts []*host) {
	for _, h := range hosts {
		h.kill()
	}
}
