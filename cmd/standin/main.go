// Command standin runs a small stand-in for the platform or for an upstream, for
// demonstrations and tests. Its faults are switched by POST /faults while it
// runs.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"teaselplank/fake"
)

type platform struct {
	Listen    string        `required:"" help:"Address to listen at."`
	Appends   int           `default:"400" help:"Appends a second that the log takes."`
	Retention time.Duration `default:"48h" help:"How long the log keeps records."`
	Lag       time.Duration `default:"500ms" help:"How long the host list lags."`
}

// Run implements the subcommand.
func (c *platform) Run() error {
	p := fake.NewPlatform(fake.PlatformConfig{
		AppendsPerSecond: c.Appends, Retention: c.Retention, HostLag: c.Lag, WeightsPerSecond: 10,
	})
	return listen(c.Listen, p.Handler())
}

type upstream struct {
	Listen  string        `required:"" help:"Address to listen at."`
	Slots   int           `default:"8" help:"Calls that run at a time."`
	Latency time.Duration `default:"10ms" help:"How long a call runs."`
	Token   time.Duration `default:"5ms" help:"Time between two tokens."`
	Fenced  bool          `help:"Refuse old fencing numbers."`
	Count   int           `default:"1" help:"Run this many, at consecutive ports."`
}

// Run implements the subcommand.
func (c *upstream) Run() error {
	host, port, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return fmt.Errorf("address %q: %w", c.Listen, err)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("port %q: %w", port, err)
	}
	ended := make(chan error, c.Count)
	for i := range c.Count {
		u := fake.NewUpstream(fake.UpstreamConfig{
			Slots: c.Slots, Latency: c.Latency, TokenTime: c.Token, Fenced: c.Fenced,
			LoadLag: 200 * time.Millisecond, Prefixes: 16,
		})
		go func() { ended <- listen(net.JoinHostPort(host, strconv.Itoa(first+i)), u.Handler()) }()
	}
	return <-ended
}

// listen serves until the process is asked to stop.
func listen(addr string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: addr, Handler: handler, ConnContext: fake.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return fmt.Errorf("listen at %q: %w", addr, err)
	case <-ctx.Done():
		return s.Close()
	}
}

func main() {
	var c struct {
		Platform platform   `cmd:"" help:"Stand in for the platform's services."`
		Upstream upstream   `cmd:"" help:"Stand in for an upstream."`
		Deploy   deployment `cmd:"" help:"Stand in for the store and the workers of a deployment."`
		Ask      ask        `cmd:"" help:"Send one request of each kind to an entry host."`
		Drive    driver     `cmd:"" help:"Make checked calls to nodes that serve stand-ins."`
		Send     send       `cmd:"" help:"Make one HTTP request."`
	}
	ctx := kong.Parse(&c, kong.Name("standin"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
