package server

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"teaselplank/client"
	"teaselplank/conf"
	"teaselplank/core"
	"teaselplank/fake"
	"teaselplank/member"
	"teaselplank/rules"
	"teaselplank/wire"
)

const testToken = "test-credential"

// startTestServer starts a node in this process with one upstream of the service
// "status", and returns it once it is ready.
func startTestServer(tb testing.TB, latency time.Duration) *Server {
	tb.Helper()
	upstreamServer := httptest.NewServer(fake.NewUpstream(fake.UpstreamConfig{Slots: 64, Latency: latency}).Handler())
	tb.Cleanup(upstreamServer.Close)
	return startTestServerAt(tb, upstreamServer.Listener.Addr().String())
}

// startTestServerAt starts a node in this process whose only upstream has an address, and returns
// it once it is ready.
func startTestServerAt(tb testing.TB, upstreamAddr string) *Server {
	tb.Helper()
	platform := fake.NewPlatform(fake.PlatformConfig{})
	platform.SetHosts([]wire.Host{{ID: "status-0", Incarnation: "1", Role: "upstream", Pool: "status", Zone: "a", Addr: upstreamAddr}})
	text := fmt.Sprintf("service status repeat=safe deadline=5s # test\naccount a weight=1 token=sha256:%x # test\n", sha256.Sum256([]byte(testToken)))
	lines, err := rules.Parse("rules", text)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := rules.EncodeChange(&rules.Change{ID: "x", Edits: rules.Diff(nil, lines)})
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := platform.Append(context.Background(), rules.Stream, data); err != nil {
		tb.Fatal(err)
	}
	settings := "[node]\nid = n\nzone = a\n[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:1\noperators = 127.0.0.1:1\n" +
		"[secrets]\npeers = 0123456789abcdef\noperators = 0123456789abcdef\n[platform]\nurl = http://127.0.0.1:1\n[poll]\nrules = 50ms\nhosts = 50ms\n"
	parsed, err := conf.Parse("test.ini", []byte(settings))
	if err != nil {
		tb.Fatal(err)
	}
	node, err := New(Options{Settings: parsed, Log: platform, Hosts: platform, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(node.Close)
	for {
		ready := false
		node.Query(func(n *core.Node) { ready = n.Ready() && n.Replica().Version() > 0 })
		if ready {
			return node
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// soleUpstreamAddr returns the address of the only upstream of a test server.
func soleUpstreamAddr(s *Server) (addr string) {
	s.Query(func(n *core.Node) { addr = n.Group().Upstreams()[0].Addr })
	return addr
}

// BenchmarkOverhead measures the latency that a node adds to a call over loopback. It
// alternates calls to the upstream itself with calls through the node.
func BenchmarkOverhead(b *testing.B) {
	node := startTestServer(b, 2*time.Millisecond)
	nodeServer := httptest.NewServer(node.callerHandler())
	b.Cleanup(nodeServer.Close)
	nodeAddr, upstreamAddr := nodeServer.Listener.Addr().String(), soleUpstreamAddr(node)
	directLatency, nodeLatency := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	caller := client.New(testToken)
	record := func(h *hdrhistogram.Histogram, f func() error) {
		started := time.Now()
		if err := f(); err != nil {
			b.Fatal(err)
		}
		if err := h.RecordValue(time.Since(started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		record(directLatency, func() error {
			r, err := http.Post("http://"+upstreamAddr+"/call", "text/plain", strings.NewReader("x"))
			if err != nil {
				return err
			}
			defer r.Body.Close()
			_, err = io.Copy(io.Discard, r.Body)
			return err
		})
		record(nodeLatency, func() error {
			a, err := caller.Send(context.Background(), nodeAddr, client.Request{Service: "status", Input: "x"})
			if err == nil && a.Outcome != wire.Done {
				err = fmt.Errorf("outcome %q", a.Outcome)
			}
			return err
		})
	}
	for _, q := range []float64{50, 99} {
		added := nodeLatency.ValueAtQuantile(q) - directLatency.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("added-us-p%g", q))
		b.ReportMetric(float64(directLatency.ValueAtQuantile(q)), fmt.Sprintf("direct-us-p%g", q))
	}
}

// BenchmarkDigest measures the size and the encoding time of a gossip message for
// different numbers of known nodes.
func BenchmarkDigest(b *testing.B) {
	for _, nodes := range []int{8, 440} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			config := member.DefaultConfig()
			config.Self = member.Node{ID: "entry-0", Incarnation: "01a3185c-5000-7000-8000-000000000001", Addr: "10.10.10.10:8201", Zone: "zone-a"}
			g := member.New(config, 1)
			for i := range nodes {
				id := fmt.Sprintf("entry-%d", i+1)
				g.Step(time.Now(), member.DigestReceived{Digest: member.Digest{From: member.Node{
					ID: id, Incarnation: "01a3185c-5000-7000-8000-000000000001", Addr: fmt.Sprintf("10.0.%d.%d:8201", i/250, i%250), Zone: "zone-a", Heartbeat: 1000, Version: 100000,
				}}})
			}
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(g.Digest().Message())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "message-B")
		})
	}
}
