package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"teaselplank/fleet"
	"teaselplank/origin"
)

// resume lets a client resume the stream of the attempt "first".
func (h *harness) resume(pieces ...int) {
	h.number++
	h.step(RequestArrived{Request{
		Number: h.number, ID: "again", Host: "h", Path: "/stream/x", APIKey: "key", Timeout: 6 * time.Second,
		Pieces: pieces, PieceKey: "k", LastEventID: "3", Resumes: "first",
	}})
}

// found reports a record of the stream that the client resumes.
func (h *harness) found(version string) {
	h.step(OriginFound{
		Number: h.number, Source: OriginShared, Record: origin.Record{ID: "first", Service: "engine", Version: version}, Complete: true,
	})
}

// wantRefused checks that a resumed stream is refused before any of its stages runs.
func (h *harness) wantRefused(reason Reason) {
	h.t.Helper()
	for _, e := range h.effects {
		switch e.(type) {
		case RunStage, Send:
			h.t.Errorf("effects are %+v, want only a reply", h.effects)
		}
	}
	if find[Reply](h).RetryAfter == 0 {
		h.t.Error("reply names no time to retry")
	}
	h.wantReply(http.StatusServiceUnavailable, reason)
}

func (h *harness) watch(versions ...string) {
	h.registerEngines(versions...)
	h.now = h.now.Add(origin.Window)
}

// Guards against continuing a client's resumed stream with a version that did not begin
// it, and against refusing one that can go on.
func TestResumedByClient(t *testing.T) {
	onlyV1 := PeerVersions{Complete: true, Versions: []string{"v1"}}
	t.Run("only version of all hosts", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.resume()
		h.step(OriginFound{Number: h.number, ViewAge: time.Second, Peers: onlyV1})
		h.wantSent("v1")
	})
	for name, peers := range map[string]PeerVersions{
		"that reaches no other":               {},
		"that does not reach all others":      {Versions: []string{"v1"}},
		"while another one has seen a second": {Complete: true, Versions: []string{"v1", "v2"}},
		"while another one has seen another":  {Complete: true, Versions: []string{"v2"}},
	} {
		t.Run("only version of a host "+name, func(t *testing.T) {
			h := newHarness(t)
			h.watch("v1")
			h.resume()
			h.step(OriginFound{Number: h.number, Peers: peers})
			h.wantRefused(ReasonUnknownOrigin)
		})
	}
	t.Run("only version of a host that has read nothing for some time", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.resume()
		h.step(OriginFound{Number: h.number, ViewAge: 2 * maxViewAge, Peers: onlyV1})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("only version of a host whose view had a gap", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.step(DefaultsTick{ViewAge: 2 * maxViewAge})
		h.now = h.now.Add(origin.Window / 2)
		h.resume()
		h.step(OriginFound{Number: h.number, Peers: onlyV1})
		h.wantRefused(ReasonUnknownOrigin)
		h.now = h.now.Add(origin.Window / 2)
		h.resume()
		h.step(OriginFound{Number: h.number, Peers: onlyV1})
		h.wantSent("v1")
	})
	t.Run("known version", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2", "v3")
		h.resume()
		if got := find[FindOrigin](h); got.ID != "first" || got.Service != "engine" {
			t.Errorf("lookup is %+v, want attempt first of engine", got)
		}
		h.found("v2")
		h.wantSent("v2")
		if got := find[Send](h).LastEventID; got != "3" {
			t.Errorf("stream goes on after event %q, want 3", got)
		}
		h.attemptFailed(1, ConnectionFailed, "")
		h.wantReply(http.StatusBadGateway, ReasonUpstreamFailed)
	})
	t.Run("known version that is gone", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume(1, 1)
		h.found("v0")
		h.wantRefused(ReasonNoUpstream)
	})
	t.Run("unknown while several versions serve", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume(1, 1)
		h.step(OriginFound{Number: h.number, Complete: true})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("several versions serve and the records cannot be read", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume(1, 1)
		h.step(OriginFound{Number: h.number})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("unknown while another version has left lately", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.registerEngines("v2")
		h.resume(1, 1)
		h.step(OriginFound{Number: h.number, Complete: true})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("unknown while one version serves and the records cannot be read", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v1")
		h.resume()
		h.step(OriginFound{Number: h.number, Peers: onlyV1})
		h.wantSent("v1")
	})
	t.Run("another node has seen a new version earlier", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.resume(1, 1)
		h.found("v2")
		h.wantRefused(ReasonNoUpstream)
	})
	unrecorded := func(h *harness, version string) {
		h.resume(1, 1)
		h.step(OriginFound{Number: h.number, Complete: true, Default: origin.Default{Service: "engine", Version: version}})
	}
	t.Run("new node, no record, default version", func(t *testing.T) {
		h := newHarnessWith(t, "v1")
		unrecorded(h, "v1")
		h.stageDone(0, "a", "h1")
		h.stageDone(1, "a", "h2")
		h.wantSent("v1")
	})
	t.Run("no record, default version among others", func(t *testing.T) {
		h := newHarnessWith(t, "v2", "v1", "v3")
		unrecorded(h, "v1")
		h.stageDone(0, "a", "h1")
		h.stageDone(1, "a", "h2")
		h.wantSent("v1")
	})
	t.Run("no record, default version that is gone", func(t *testing.T) {
		h := newHarnessWith(t, "v2")
		unrecorded(h, "v1")
		h.wantRefused(ReasonNoUpstream)
	})
	t.Run("no record and no default version", func(t *testing.T) {
		h := newHarnessWith(t, "v1")
		h.resume()
		h.step(OriginFound{Number: h.number, Complete: true})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("no default version at a node that has seen one version", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		h.resume()
		h.step(OriginFound{Number: h.number, Complete: true})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("new node that cannot read the records", func(t *testing.T) {
		h := newHarnessWith(t, "v1")
		h.resume()
		h.step(OriginFound{Number: h.number})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("a second version comes while the stages run", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1")
		unrecorded(h, "v1")
		h.registerEngines("v2")
		h.stageDone(0, "a", "h1")
		h.stageDone(1, "a", "h2")
		h.wantReply(http.StatusServiceUnavailable, ReasonNoUpstream)
	})
	t.Run("recorded at a service that the route does not use", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume()
		h.step(OriginFound{
			Number: h.number, Source: OriginOwn, Record: origin.Record{ID: "first", Service: "other", Version: "v1"}, Complete: true,
		})
		h.wantRefused(ReasonUnknownOrigin)
	})
	t.Run("deadline passes during the lookup", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume()
		h.step(TimedOut{Number: h.number})
		h.wantReply(http.StatusServiceUnavailable, ReasonTimeout)
		h.found("v1")
		if len(h.effects) != 0 {
			t.Errorf("effects are %+v, want none", h.effects)
		}
	})
	t.Run("second outcome of a lookup", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.resume()
		h.found("v1")
		h.found("v2")
		if len(h.effects) != 0 {
			t.Errorf("effects are %+v, want none", h.effects)
		}
	})
	t.Run("the first event is not yet there", func(t *testing.T) {
		h := newHarness(t)
		h.watch("v1", "v2")
		h.arrive("/stream/x")
		find[Send](h)
	})
}

// newHarnessWith returns a node that has seen only engines of the given versions.
func newHarnessWith(t *testing.T, versions ...string) *harness {
	t.Helper()
	h := newHarness(t)
	h.node.versions = origin.Versions{}
	h.registerEngines(versions...)
	return h
}

// Guards against resuming a stream at another of the services that share a route.
func TestResumedAtItsService(t *testing.T) {
	h := newHarness(t)
	c := testConfig()
	c.Version = 2
	c.Routes[2].Targets = []fleet.Target{{Service: "engine", Weight: 1}, {Service: "desk", Weight: 1}}
	h.step(Configured{Table: fleet.NewTable(c)})
	h.now = h.now.Add(origin.Window)
	for i := range 16 {
		first := fmt.Sprint("first-", i)
		h.step(RequestArrived{Request{Number: 100, ID: first, Host: "h", Path: "/stream/x", APIKey: "key"}})
		began := find[Send](h).Upstream.Service
		h.step(ClientDisconnected{Number: 100})
		h.step(RequestArrived{Request{
			Number: 101, ID: fmt.Sprint("again-", i), Host: "h", Path: "/stream/x", APIKey: "key", LastEventID: "3", Resumes: first,
		}})
		h.step(OriginFound{Number: 101, Complete: true, Default: origin.Default{Service: began}})
		if got := find[Send](h).Upstream.Service; got != began {
			t.Errorf("stream that began at %q goes on at %q", began, got)
		}
		h.step(ClientDisconnected{Number: 101})
	}
}

// Guards against a gap between two attempts that hides a missing event, and against one that
// counts as a missing event although the ids of the service leave gaps.
func TestGapBetweenAttempts(t *testing.T) {
	h := newHarness(t)
	h.watch("v1", "v1")
	allowsGap := func(want bool) {
		t.Helper()
		h.resume()
		h.found("v1")
		if s := find[Send](h); s.AllowGap != want {
			t.Errorf("a gap is allowed: %t, want %t", s.AllowGap, want)
		}
		h.respond(1, http.StatusOK, false)
	}
	finish := func(hasGaps bool) {
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK, HasGaps: hasGaps})
	}
	allowsGap(false)
	finish(false)
	allowsGap(false)
	h.attemptFailed(1, ResponseMismatch, "")
	allowsGap(false)
	finish(true)
	h.watch("v1", "v1")
	allowsGap(true)
	finish(false)
	allowsGap(true)
}
