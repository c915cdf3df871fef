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

// platform is what every implementation of the platform's services must be.
type platform interface {
	infra.Log
	infra.Directory
}

// implementations returns the stand-in by itself and over HTTP.
func implementations(t *testing.T, config fake.PlatformConfig) map[string]func() (platform, *fake.Platform) {
	return map[string]func() (platform, *fake.Platform){
		"stand-in": func() (platform, *fake.Platform) {
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
func mustAppend(t *testing.T, l infra.Log, stream, text string, want int64) {
	t.Helper()
	got, err := l.Append(context.Background(), stream, []byte(text))
	if err != nil || got != want {
		t.Fatalf("append of %q has offset %d, %v, want %d", text, got, err, want)
	}
}

// checkRead fails the test unless a read returns the texts from an offset on.
func checkRead(t *testing.T, l infra.Log, stream string, from int64, want ...string) {
	t.Helper()
	page, err := l.Read(context.Background(), stream, from)
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
			l, stand := build()
			t.Run("offsets are dense, by stream", func(t *testing.T) {
				mustAppend(t, l, "a", "one", 0)
				mustAppend(t, l, "a", "two", 1)
				mustAppend(t, l, "b", "three", 0)
			})
			t.Run("reads", func(t *testing.T) {
				checkRead(t, l, "a", 0, "one", "two")
				checkRead(t, l, "a", 1, "two")
				checkRead(t, l, "a", 2)
				checkRead(t, l, "empty", 0)
			})
			t.Run("a record that is too large", func(t *testing.T) {
				if _, err := l.Append(context.Background(), "a", make([]byte, infra.MaxRecord+1)); name != "stand-in" && !errors.Is(err, infra.ErrTooLarge) {
					t.Errorf("error is %v", err)
				}
			})
			t.Run("an answer lost after the effect", func(t *testing.T) {
				stand.SetFaults(fake.Faults{Lose: 1})
				if _, err := l.Append(context.Background(), "c", []byte("lost")); err == nil {
					t.Error("append has succeeded")
				}
				stand.SetFaults(fake.Faults{})
				checkRead(t, l, "c", 0, "lost")
			})
			t.Run("down", func(t *testing.T) {
				stand.SetFaults(fake.Faults{Down: true})
				defer stand.SetFaults(fake.Faults{})
				if _, err := l.Append(context.Background(), "d", nil); err == nil {
					t.Error("append has succeeded")
				}
				if _, err := l.Read(context.Background(), "d", 0); err == nil {
					t.Error("read has succeeded")
				}
				if _, err := l.Hosts(context.Background()); err == nil {
					t.Error("host list was read")
				}
			})
			t.Run("hosts", func(t *testing.T) {
				stand.SetHosts([]wire.Host{{ID: "x", Role: "entry"}})
				hosts, err := l.Hosts(context.Background())
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
			l, _ := build()
			mustAppend(t, l, "a", "one", 0)
			if _, err := l.Append(context.Background(), "a", []byte("two")); !errors.Is(err, infra.ErrLimited) {
				t.Errorf("error is %v, want %v", err, infra.ErrLimited)
			}
			checkRead(t, l, "a", 0, "one")
		})
	}
}

// TestSilentConnection states that a call fails on a connection that went silent
// and that the next one goes over a new connection.
func TestSilentConnection(t *testing.T) {
	l, stand := implementations(t, fake.PlatformConfig{})["client over HTTP"]()
	mustAppend(t, l, "a", "one", 0)
	stand.Silence()
	if _, err := l.Append(context.Background(), "a", []byte("two")); err == nil {
		t.Error("append on a silent connection has succeeded")
	}
	for i := range int64(3) {
		mustAppend(t, l, "b", fmt.Sprint(i), i)
	}
}
