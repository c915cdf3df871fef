// Command standin runs small stand-ins for the platform and for upstreams, and clients
// that call nodes, for demonstrations and tests. POST /faults sets the faults of a
// running platform or upstream stand-in.
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
	Listen    string        `required:"" help:"Address to listen on."`
	Appends   int           `default:"400" help:"Maximum number of log appends per second."`
	Retention time.Duration `default:"48h" help:"How long the log keeps records."`
	Lag       time.Duration `default:"500ms" help:"Delay until the host list shows a change."`
}

// Run implements the subcommand.
func (c *platform) Run() error {
	p := fake.NewPlatform(fake.PlatformConfig{
		AppendsPerSecond: c.Appends, Retention: c.Retention, HostLag: c.Lag, WeightsPerSecond: 10,
	})
	return listen(c.Listen, p.Handler())
}

type upstream struct {
	Listen  string        `required:"" help:"Address to listen on."`
	Slots   int           `default:"8" help:"Maximum number of concurrent calls."`
	Latency time.Duration `default:"10ms" help:"Duration of a call."`
	Token   time.Duration `default:"5ms" help:"Time between two tokens."`
	Fenced  bool          `help:"Refuse outdated fencing numbers."`
	Count   int           `default:"1" help:"Number of upstreams to run, on consecutive ports."`
}

// Run implements the subcommand.
func (c *upstream) Run() error {
	host, port, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return fmt.Errorf("parse address %q: %w", c.Listen, err)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return fmt.Errorf("parse port %q: %w", port, err)
	}
	errs := make(chan error, c.Count)
	for i := range c.Count {
		u := fake.NewUpstream(fake.UpstreamConfig{
			Slots: c.Slots, Latency: c.Latency, TokenInterval: c.Token, Fenced: c.Fenced,
			LoadLag: 200 * time.Millisecond, MaxPrefixes: 16,
		})
		go func() { errs <- listen(net.JoinHostPort(host, strconv.Itoa(first+i)), u.Handler()) }()
	}
	return <-errs
}

// listen serves requests until the process receives SIGTERM or SIGINT.
func listen(addr string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &http.Server{Addr: addr, Handler: handler, ConnContext: fake.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	errs := make(chan error, 1)
	go func() { errs <- s.ListenAndServe() }()
	select {
	case err := <-errs:
		return fmt.Errorf("listen on %q: %w", addr, err)
	case <-ctx.Done():
		return s.Close()
	}
}

func main() {
	var c struct {
		Platform platform   `cmd:"" help:"Run a stand-in for the platform's services."`
		Upstream upstream   `cmd:"" help:"Run stand-ins for upstreams."`
		Deploy   deployment `cmd:"" help:"Run stand-ins for the store and the workers of a deployment."`
		Ask      ask        `cmd:"" help:"Send one request of each kind to an entry host."`
		Drive    driver     `cmd:"" help:"Call nodes that serve stand-ins and check the answers."`
		Send     send       `cmd:"" help:"Make one HTTP request."`
	}
	ctx := kong.Parse(&c, kong.Name("standin"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
