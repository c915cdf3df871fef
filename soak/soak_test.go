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
)

// regressions are the seeds that failed once. They run one after the other, so that
// a busy machine has one run at a time.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{10, 14 * time.Second, "SIGHUP just after the start ended the process; an owner that was told twice at once knew no workers"},
	{12, 14 * time.Second, "SIGHUP just after the start ended the process"},
}

// The environment says how many seeds to play, from which on, and for how long each.
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
		t.Run(fmt.Sprintf("%d: %s", r.seed, r.cause), func(t *testing.T) { play(t, binary, r.seed, r.length) })
	}
	length := time.Duration(number(t, lengthVariable, 6)) * time.Second
	for i := range number(t, seedsVariable, 1) {
		seed := uint64(number(t, firstVariable, 1) + i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, binary, seed, length)
		})
	}
}

func play(t *testing.T, binary string, seed uint64, length time.Duration) {
	directory, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(Options{Binary: binary, Directory: directory, Seed: seed, Length: length, Hosts: 3, Clients: 8})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d steps, %d requests, %d served", report.Steps, report.Requests, report.Served)
	if len(report.Findings) == 0 && report.Served > 0 {
		os.RemoveAll(directory)
		return
	}
	for _, f := range report.Findings {
		t.Error(f)
	}
	t.Errorf("%d of %d requests were served; logs are in %s", report.Served, report.Requests, directory)
}

func number(t *testing.T, variable string, usual int) int {
	text := os.Getenv(variable)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

func TestPlan(t *testing.T) {
	a, b := NewPlan(7, 20*time.Second), NewPlan(7, 20*time.Second)
	if len(a) < 10 || !reflect.DeepEqual(a, b) {
		t.Errorf("plans of one seed have %d and %d steps, want the same 10 or more", len(a), len(b))
	}
	if reflect.DeepEqual(a, NewPlan(8, 20*time.Second)) {
		t.Error("plans of two seeds are the same")
	}
	for _, s := range a {
		if s.At >= 20*time.Second || s.For < shortest || s.For > longest {
			t.Errorf("step %+v is out of bounds", s)
		}
	}
}

// echo answers each connection with what it reads.
func echo(t *testing.T) string {
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
				_, _ = io.Copy(c, c) // It ends with the connection.
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxy(t *testing.T) {
	const soon = 50 * time.Millisecond
	tests := []struct {
		mode Mode
		want string
	}{{Pass, "x"}, {CutOut, ""}, {CutBack, ""}, {Silence, ""}, {Delay, ""}, {Reset, "reset"}}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			p, err := NewProxy(echo(t))
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
			wantEcho(t, c, soon, test.want)
			if test.want == "" {
				p.Set(Pass)
				wantRead(t, c, time.Second, "x")
			}
		})
	}
}

func wantEcho(t *testing.T, c net.Conn, within time.Duration, want string) {
	t.Helper()
	// A connection that was reset shows it at the read.
	_, _ = c.Write([]byte("x"))
	wantRead(t, c, within, want)
}

// wantRead expects one byte, silence if want is empty, or a failure for "reset".
func wantRead(t *testing.T, c net.Conn, within time.Duration, want string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1)
	n, err := c.Read(buffer)
	got := string(buffer[:n])
	if timeout, ok := err.(net.Error); err != nil && !(ok && timeout.Timeout()) {
		got = "reset"
	}
	if got != want {
		t.Errorf("read is %q, want %q", got, want)
	}
}
