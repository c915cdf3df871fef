package infra_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"teaselplank/fake"
	"teaselplank/infra"
	"teaselplank/wire"
)

// platform is the interface of every implementation of the platform's services.
type platform interface {
	infra.Log
	infra.Directory
}

// implementations returns constructors of the fake platform, called directly and through
// the client over HTTP.
func implementations(t *testing.T, config fake.PlatformConfig) map[string]func() (platform, *fake.Platform) {
	return map[string]func() (platform, *fake.Platform){
		"fake": func() (platform, *fake.Platform) {
			p := fake.NewPlatform(config)
			return p, p
		},
		"client over HTTP": func() (platform, *fake.Platform) {
			p := fake.NewPlatform(config)
			s := httptest.NewUnstartedServer(p.Handler())
			s.Config.ConnContext = fake.ConnContext
			s.Start()
			t.Cleanup(s.Close)
			return infra.NewClient(s.URL, 500*time.Millisecond), p
		},
	}
}

// mustAppend appends a record and checks its offset.
func mustAppend(t *testing.T, log infra.Log, stream, text string, want int64) {
	t.Helper()
	got, err := log.Append(context.Background(), stream, []byte(text))
	if err != nil || got != want {
		t.Fatalf("append of %q has offset %d, %v, want %d", text, got, err, want)
	}
}

// checkRead fails the test unless a read from an offset returns exactly the given texts.
func checkRead(t *testing.T, log infra.Log, stream string, from int64, want ...string) {
	t.Helper()
	page, err := log.Read(context.Background(), stream, from)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Records) != len(want) || page.End != from+int64(len(want)) {
		t.Fatalf("read from %d is %+v, want %q", from, page, want)
	}
	for i, r := range page.Records {
		if r.Offset != from+int64(i) || string(r.Data) != want[i] || r.Time.IsZero() {
			t.Errorf("record %d is %+v, want %q", i, r, want[i])
		}
	}
}

func TestLogContract(t *testing.T) {
	for name, build := range implementations(t, fake.PlatformConfig{}) {
		t.Run(name, func(t *testing.T) {
			log, platform := build()
			t.Run("offsets have no gaps within a stream", func(t *testing.T) {
				mustAppend(t, log, "a", "one", 0)
				mustAppend(t, log, "a", "two", 1)
				mustAppend(t, log, "b", "three", 0)
			})
			t.Run("reads", func(t *testing.T) {
				checkRead(t, log, "a", 0, "one", "two")
				checkRead(t, log, "a", 1, "two")
				checkRead(t, log, "a", 2)
				checkRead(t, log, "empty", 0)
			})
			t.Run("record too large", func(t *testing.T) {
				if _, err := log.Append(context.Background(), "a", make([]byte, infra.MaxRecord+1)); name != "fake" && !errors.Is(err, infra.ErrTooLarge) {
					t.Errorf("append returned error %v, want ErrTooLarge", err)
				}
			})
			t.Run("response lost after the append", func(t *testing.T) {
				platform.SetFaults(fake.Faults{LostReplyRate: 1})
				if _, err := log.Append(context.Background(), "c", []byte("lost")); err == nil {
					t.Error("append has succeeded")
				}
				platform.SetFaults(fake.Faults{})
				checkRead(t, log, "c", 0, "lost")
			})
			t.Run("platform down", func(t *testing.T) {
				platform.SetFaults(fake.Faults{Down: true})
				defer platform.SetFaults(fake.Faults{})
				if _, err := log.Append(context.Background(), "d", nil); err == nil {
					t.Error("append has succeeded")
				}
				if _, err := log.Read(context.Background(), "d", 0); err == nil {
					t.Error("read has succeeded")
				}
				if _, err := log.Hosts(context.Background()); err == nil {
					t.Error("listing hosts has succeeded")
				}
			})
			t.Run("hosts", func(t *testing.T) {
				platform.SetHosts([]wire.Host{{ID: "x", Role: "entry"}})
				hosts, err := log.Hosts(context.Background())
				if err != nil || len(hosts) != 1 || hosts[0].ID != "x" {
					t.Errorf("hosts are %+v, %v", hosts, err)
				}
			})
		})
	}
}

func TestAppendLimit(t *testing.T) {
	for name, build := range implementations(t, fake.PlatformConfig{AppendsPerSecond: 1}) {
		t.Run(name, func(t *testing.T) {
			log, _ := build()
			mustAppend(t, log, "a", "one", 0)
			if _, err := log.Append(context.Background(), "a", []byte("two")); !errors.Is(err, infra.ErrLimited) {
				t.Errorf("error is %v, want %v", err, infra.ErrLimited)
			}
			checkRead(t, log, "a", 0, "one")
		})
	}
}

// TestSilentConnection checks that a call fails on a connection that has stopped responding,
// and that the next call uses a new connection. Otherwise all later calls would fail on the
// reused connection.
func TestSilentConnection(t *testing.T) {
	log, platform := implementations(t, fake.PlatformConfig{})["client over HTTP"]()
	mustAppend(t, log, "a", "one", 0)
	platform.SilenceOpenConnections()
	if _, err := log.Append(context.Background(), "a", []byte("two")); err == nil {
		t.Error("append on an unresponsive connection has succeeded")
	}
	for i := range int64(3) {
		mustAppend(t, log, "b", fmt.Sprint(i), i)
	}
}
