package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	// The test builds the program, so a cached result is valid only for this code.
	_ "teaselplank/cmd/teaselplank/cmds"
)

// regressions are seeds that once failed. They run one after the other to limit the load
// on the machine.
var regressions = []struct {
	seed   uint64
	length time.Duration
	drills bool
	cause  string
}{
	{10, 14 * time.Second, false, "SIGHUP right after the start killed the process; two concurrent updates left the owner without workers"},
	{12, 14 * time.Second, false, "SIGHUP right after the start killed the process"},
}

// Environment variables for the number of seeds, the first seed and the length of each
// run in seconds.
const (
	seedsVariable  = "SOAK_SEEDS"
	firstVariable  = "SOAK_FIRST"
	lengthVariable = "SOAK_LENGTH"
)

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "teaselplank")
	if out, err := exec.Command("go", "build", "-o", binary, "teaselplank/cmd/teaselplank").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("%d: %s", r.seed, r.cause), func(t *testing.T) { runSeed(t, binary, r.seed, r.length, r.drills) })
	}
	length := time.Duration(envInt(t, lengthVariable, 6)) * time.Second
	for i := range envInt(t, seedsVariable, 1) {
		seed := uint64(envInt(t, firstVariable, 1) + i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed, length, true)
		})
	}
}

func runSeed(t *testing.T, binary string, seed uint64, length time.Duration, drills bool) {
	directory, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(Options{Binary: binary, Directory: directory, Seed: seed, Length: length, Drills: drills, Hosts: 3, Clients: 8})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d steps, %d requests, %d served", report.Steps, report.Requests, report.Served)
	if len(report.Violations) == 0 && report.Served > 0 {
		os.RemoveAll(directory)
		return
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	t.Errorf("%d of %d requests were served; logs are in %s", report.Served, report.Requests, directory)
}

func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func TestPlan(t *testing.T) {
	a, b := NewPlan(7, 20*time.Second, true), NewPlan(7, 20*time.Second, true)
	if len(a) < 10 || !reflect.DeepEqual(a, b) {
		t.Errorf("plans of one seed have %d and %d steps, want the same 10 or more", len(a), len(b))
	}
	if reflect.DeepEqual(a, NewPlan(8, 20*time.Second, true)) {
		t.Error("plans of two seeds are the same")
	}
	for _, s := range a {
		if s.At >= 20*time.Second || s.Duration < minStepDuration || s.Duration > maxStepDuration {
			t.Errorf("step %+v is out of bounds", s)
		}
	}
}

// startEchoServer starts a server that echoes the bytes of each connection, and returns
// its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // Copy returns when the connection ends.
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxy(t *testing.T) {
	const shortWait = 50 * time.Millisecond
	tests := []struct {
		mode Mode
		want string
	}{{Pass, "x"}, {HoldRequests, ""}, {HoldResponses, ""}, {HoldBoth, ""}, {Delay, ""}, {Reset, "reset"}}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			p, err := NewProxy(startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp", p.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			wantEcho(t, c, time.Second, "x")
			p.Set(test.mode)
			wantEcho(t, c, shortWait, test.want)
			if test.want == "" {
				p.Set(Pass)
				wantRead(t, c, time.Second, "x")
			}
		})
	}
}

func wantEcho(t *testing.T, c net.Conn, timeout time.Duration, want string) {
	t.Helper()
	// If the connection was reset, the read below fails.
	_, _ = c.Write([]byte("x"))
	wantRead(t, c, timeout, want)
}

// wantRead expects to read the byte in want, no byte before the timeout if want is empty,
// or an error if want is "reset".
func wantRead(t *testing.T, c net.Conn, timeout time.Duration, want string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1)
	n, err := c.Read(buffer)
	got := string(buffer[:n])
	if netErr, ok := err.(net.Error); err != nil && !(ok && netErr.Timeout()) {
		got = "reset"
	}
	if got != want {
		t.Errorf("read is %q, want %q", got, want)
	}
}
