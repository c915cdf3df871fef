package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselplank/batch"
	"teaselplank/budget"
	"teaselplank/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// testConfig returns a configuration with a route of each kind.
func testConfig() fleet.Config {
	stage := func(name string) fleet.Service {
		return fleet.Service{Name: name, Batch: &fleet.Batch{
			MaxRunning: 1, MaxPieces: 10, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond,
		}}
	}
	return fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: fleet.Safe, Targets: []fleet.Target{{Service: "desk", Weight: 1}},
				Timeout: time.Second, Objective: 300 * time.Millisecond, Attempts: 2},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: fleet.Unsafe, Targets: []fleet.Target{{Service: "desk", Weight: 1}},
				Timeout: time.Second, Objective: 300 * time.Millisecond, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: fleet.Stream, Targets: []fleet.Target{{Service: "engine", Weight: 1}},
				Timeout: 6 * time.Second, Objective: 1800 * time.Millisecond, Attempts: 2, Resumable: true,
				Stages: []fleet.Stage{{Service: "first", ResultBytes: 100}, {Service: "second", After: []int{0}, ResultBytes: 10}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: fleet.Safe, Targets: []fleet.Target{{Service: "desk", Weight: 1}},
				Timeout: time.Second, Objective: time.Second, Attempts: 1, Anonymous: true},
		},
		Services: []fleet.Service{{Name: "desk"}, {Name: "engine", Engine: true}, stage("first"), stage("second")},
		Accounts: []fleet.Account{{Name: "account", Keys: []string{"key"}}},
	}
}

// A harness drives a node and records its effects.
type harness struct {
	t       *testing.T
	node    *Node
	now     time.Time
	number  uint64
	effects []Effect
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: start}
	h.node = New(Config{Zone: "a", Budget: budget.Config{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}})
	h.step(Configured{Table: fleet.NewTable(testConfig())})
	var upstreams []fleet.Upstream
	for _, service := range []string{"desk", "engine"} {
		for _, zone := range []string{"a", "b", "c"} {
			upstreams = append(upstreams, fleet.Upstream{ID: service + zone, Born: 1, Service: service, Zone: zone, Slots: 4})
		}
	}
	h.step(UpstreamsRegistered{Upstreams: upstreams})
	return h
}

func (h *harness) step(e Event) {
	h.effects = append([]Effect(nil), h.node.Step(h.now, e)...)
	h.wantEndsRecorded()
}

// wantEndsRecorded checks that each end of a request has a decision record with the same
// reason. All tests of the package check this after each event.
func (h *harness) wantEndsRecorded() {
	h.t.Helper()
	ends, recorded := make(map[Reason]int), make(map[Reason]int)
	for _, e := range h.effects {
		switch e := e.(type) {
		case Reply:
			ends[e.Reason]++
		case Abort:
			ends[e.Reason]++
		case RecordDecision:
			if e.Record.Decision.IsFinal() && e.Record.Request != "" {
				recorded[e.Record.Reason]++
			}
		}
	}
	for reason, count := range ends {
		if recorded[reason] != count {
			h.t.Errorf("%d requests end with reason %q, %d are recorded", count, reason, recorded[reason])
		}
	}
}

func (h *harness) arrive(path string, pieces ...int) {
	h.number++
	h.step(RequestArrived{Request{
		Number: h.number, ID: "id", Host: "h", Path: path, APIKey: "key", Timeout: 6 * time.Second, Pieces: pieces, PieceKey: "k",
	}})
}

func (h *harness) respond(attempt, status int, notExecuted bool) {
	h.step(HeadReceived{Number: h.number, Attempt: attempt, Head: ResponseHead{Status: status, NotExecuted: notExecuted, Sealed: !notExecuted}})
}

func (h *harness) attemptFailed(attempt int, failure Failure, lastEventID string) {
	h.step(AttemptFailed{Number: h.number, Attempt: attempt, Failure: failure, LastEventID: lastEventID, ResponseStarted: lastEventID != ""})
}

// find returns the only effect of type E.
func find[E Effect](h *harness) E {
	h.t.Helper()
	var found E
	count := 0
	for _, e := range h.effects {
		if e, ok := e.(E); ok {
			found = e
			count++
		}
	}
	if count != 1 {
		h.t.Fatalf("%d effects of type %T, want 1; effects are %+v", count, found, h.effects)
	}
	return found
}

func (h *harness) wantReply(status int, reason Reason) {
	h.t.Helper()
	reply := find[Reply](h)
	if reply.Status != status || reply.Reason != reason {
		h.t.Errorf("reply is %d %q, want %d %q", reply.Status, reply.Reason, status, reason)
	}
	if h.node.Len() != 0 {
		h.t.Errorf("%d requests are left, want none", h.node.Len())
	}
}

func TestAdmission(t *testing.T) {
	t.Run("no configuration", func(t *testing.T) {
		h := &harness{t: t, now: start, node: New(Config{})}
		h.arrive("/safe/1")
		h.wantReply(http.StatusServiceUnavailable, ReasonNoConfig)
	})
	t.Run("no route", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/none/1")
		h.wantReply(http.StatusNotFound, ReasonNoRoute)
	})
	t.Run("unknown key", func(t *testing.T) {
		h := newHarness(t)
		h.step(RequestArrived{Request{Number: 9, ID: "id", Host: "h", Path: "/safe/1", APIKey: "other"}})
		h.wantReply(http.StatusUnauthorized, ReasonUnknownKey)
	})
	t.Run("anonymous route", func(t *testing.T) {
		h := newHarness(t)
		h.step(RequestArrived{Request{Number: 9, ID: "id", Host: "h", Path: "/open/1"}})
		find[Send](h)
	})
	t.Run("older configuration", func(t *testing.T) {
		h := newHarness(t)
		c := testConfig()
		c.Version, c.Routes = 0, nil
		h.step(Configured{Table: fleet.NewTable(c)})
		h.arrive("/safe/1")
		find[Send](h)
	})
}

// A request that may have been executed is sent again only if its route allows it. The
// client is never told that such a request was not executed.
func TestAtMostOnce(t *testing.T) {
	for _, failure := range []Failure{ConnectionFailed, ResponseMismatch, ResponseTimeout} {
		t.Run(string(failure), func(t *testing.T) {
			h := newHarness(t)
			h.arrive("/unsafe/1")
			h.attemptFailed(1, failure, "")
			h.wantReply(http.StatusBadGateway, ReasonUpstreamFailed)
		})
	}
	t.Run("upstream error", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		h.respond(1, http.StatusInternalServerError, false)
		find[Deliver](h)
	})
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint("refused without a statement, ", status), func(t *testing.T) {
			h := newHarness(t)
			h.arrive("/unsafe/1")
			h.respond(1, status, false)
			h.wantReply(http.StatusBadGateway, ReasonRefusalUnproven)
		})
	}
	t.Run("deadline passes during the attempt", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		h.step(TimedOut{Number: h.number})
		h.wantReply(http.StatusGatewayTimeout, ReasonTimeout)
	})
	// Clients may not send an unsafe request again after a 504.
	t.Run("deadline passes before anything is sent", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		h.step(TimedOut{Number: h.number, Unsent: true})
		h.wantReply(http.StatusServiceUnavailable, ReasonTimeout)
	})
	t.Run("deadline passes before a second attempt is sent", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.respond(1, http.StatusInternalServerError, false)
		find[Send](h)
		h.step(TimedOut{Number: h.number, Unsent: true})
		h.wantReply(http.StatusGatewayTimeout, ReasonTimeout)
	})
	t.Run("refused by the upstream", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		first := find[Send](h).Upstream.ID
		h.respond(1, http.StatusServiceUnavailable, true)
		if second := find[Send](h).Upstream.ID; second == first {
			t.Errorf("request went to upstream %q twice", first)
		}
	})
	t.Run("unreachable upstreams", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/unsafe/1")
		for attempt := 1; attempt <= 3; attempt++ {
			find[Send](h)
			h.attemptFailed(attempt, Unreachable, "")
		}
		h.wantReply(http.StatusServiceUnavailable, ReasonNoUpstream)
	})
}

func TestRetries(t *testing.T) {
	t.Run("upstream error", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.respond(1, http.StatusInternalServerError, false)
		find[Send](h)
		h.respond(2, http.StatusInternalServerError, false)
		find[Deliver](h)
	})
	t.Run("budget", func(t *testing.T) {
		h := newHarness(t)
		retries := 0
		for range 60 {
			h.arrive("/safe/1")
			h.respond(1, http.StatusInternalServerError, false)
			for _, e := range h.effects {
				if _, ok := e.(Send); ok {
					retries++
				}
			}
		}
		if allowed := 0.2*60 + 20; float64(retries) > allowed {
			t.Errorf("%d retries of 60 requests, want at most %.0f", retries, allowed)
		}
	})
	t.Run("stream resumes", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1")
		h.respond(1, http.StatusOK, false)
		h.step(FirstEvent{Number: h.number, Attempt: 1})
		h.attemptFailed(1, ConnectionFailed, "4")
		if s := find[Send](h); s.LastEventID != "4" {
			t.Errorf("stream resumes after event %q, want %q", s.LastEventID, "4")
		}
		h.respond(2, http.StatusOK, false)
		find[Deliver](h)
		h.attemptFailed(2, ConnectionFailed, "7")
		find[Abort](h)
	})
	t.Run("event of an ended attempt", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/1")
		h.attemptFailed(1, ConnectionFailed, "")
		h.respond(1, http.StatusOK, false)
		if len(h.effects) != 0 {
			t.Errorf("effects are %+v, want none", h.effects)
		}
	})
}

func (h *harness) stageDone(stage int, zone string, handles ...string) {
	var results []batch.Result
	for _, handle := range handles {
		results = append(results, batch.Result{Handle: handle, Zone: zone})
	}
	h.step(StageDone{Number: h.number, Stage: stage, Results: results})
}

func TestStages(t *testing.T) {
	t.Run("in order", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 2, 1)
		first := find[RunStage](h).Job
		if first.Key != "k" || first.Pieces != 2 || len(first.Inputs) != 0 {
			t.Errorf("first job is %+v, want 2 pieces, key k and no inputs", first)
		}
		if first.Account != "account" {
			t.Errorf("first job is of account %q, want %q", first.Account, "account")
		}
		h.stageDone(0, "b", "h1", "h2")
		job := find[RunStage](h).Job
		if job.Key != "" || len(job.Inputs) != 2 || job.Zone != "b" || !job.Started {
			t.Errorf("second job is %+v, want 2 inputs, no key and zone b, started", job)
		}
		h.stageDone(1, "b", "h3")
		if released := find[Release](h).Results; len(released) != 2 {
			t.Errorf("%d results are released after use, want 2", len(released))
		}
		send := find[Send](h)
		if len(send.Inputs) != 1 || send.Inputs[0] != "h3" || send.Upstream.Zone != first.Zone {
			t.Errorf("request is sent with inputs %v to zone %q, want input h3 and the zone of the first job", send.Inputs, send.Upstream.Zone)
		}
		h.respond(1, http.StatusOK, false)
		h.step(FirstEvent{Number: h.number, Attempt: 1})
		if released := find[Release](h).Results; len(released) != 1 {
			t.Errorf("%d results are released at the first event, want 1", len(released))
		}
	})
	t.Run("client times out before the request is due", func(t *testing.T) {
		h := newHarness(t)
		h.number++
		h.step(RequestArrived{Request{
			Number: h.number, ID: "id", Host: "h", Path: "/stream/1", APIKey: "key", Timeout: 400 * time.Millisecond, Pieces: []int{1, 1}, PieceKey: "k",
		}})
		if job := find[RunStage](h).Job; job.StagesDue.After(h.now.Add(400*time.Millisecond - defaultFirstEventTime)) {
			t.Errorf("stages must finish within %s, but the client times out after 400 ms and the first event takes %s", job.StagesDue.Sub(h.now), defaultFirstEventTime)
		}
	})
	t.Run("two stages consume the same results", func(t *testing.T) {
		h := newHarness(t)
		c := testConfig()
		c.Version = 2
		c.Routes[2].Stages = append(c.Routes[2].Stages, fleet.Stage{Service: "second", After: []int{0}, ResultBytes: 10})
		h.step(Configured{Table: fleet.NewTable(c)})
		h.arrive("/stream/1", 1, 1, 1)
		h.stageDone(0, "a", "h1")
		h.stageDone(2, "a", "h3")
		for _, e := range h.effects {
			if _, ok := e.(Release); ok {
				t.Error("results that a stage still needs are released")
			}
		}
		h.stageDone(1, "a", "h2")
		if released := find[Release](h).Results; len(released) != 1 || released[0].Handle != "h1" {
			t.Errorf("released results are %+v, want h1", released)
		}
	})
	t.Run("a stage needs a later one", func(t *testing.T) {
		h := newHarness(t)
		c := testConfig()
		c.Version = 2
		stages := c.Routes[2].Stages
		c.Routes[2].Stages = []fleet.Stage{{Service: "second", After: []int{1}, ResultBytes: 10}, stages[0]}
		h.step(Configured{Table: fleet.NewTable(c)})
		h.arrive("/stream/1", 3, 2)
		first := find[RunStage](h).Job
		if want := []batch.DownstreamStage{{Stage: 0, Service: "second", Pieces: 3}}; first.Ref.Stage != 1 || !slices.Equal(first.Downstream, want) {
			t.Errorf("stage %d runs first, followed by %+v, want 1 followed by %+v", first.Ref.Stage, first.Downstream, want)
		}
		if !first.Due.Before(first.StagesDue) {
			t.Errorf("stage 1 is due at %s, as late as all stages", first.Due)
		}
		h.stageDone(1, "a", "h1", "h2")
		next := find[RunStage](h).Job
		if next.Ref.Stage != 0 || !slices.Equal(next.Inputs, []string{"h1", "h2"}) || len(next.Downstream) > 0 {
			t.Errorf("job is %+v, want stage 0 with the inputs h1 and h2", next)
		}
		h.stageDone(0, "a", "h3")
		if s := find[Send](h); !slices.Equal(s.Inputs, []string{"h3"}) {
			t.Errorf("request is sent with inputs %v, want h3", s.Inputs)
		}
	})
	t.Run("stages that can never run", func(t *testing.T) {
		h := newHarness(t)
		c := testConfig()
		c.Version = 2
		c.Routes[2].Stages = []fleet.Stage{{Service: "second", After: []int{1}}, {Service: "first", After: []int{0}}}
		h.step(Configured{Table: fleet.NewTable(c)})
		h.arrive("/stream/1", 1, 1)
		h.wantReply(http.StatusServiceUnavailable, ReasonInvalidRoute)
		h.arrive("/stream/1", 0, 0)
		find[Send](h)
	})
	t.Run("results that are still held are not made again", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 2, 1)
		h.stageDone(0, "a", "h1", "h2")
		h.stageDone(1, "a", "h3")
		h.attemptFailed(1, Unreachable, "")
		if s := find[Send](h); len(s.Inputs) != 1 || s.Inputs[0] != "h3" {
			t.Errorf("request is sent again with inputs %v, want h3", s.Inputs)
		}
	})
	t.Run("stages without pieces", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 0, 0)
		find[Send](h)
	})
	t.Run("rejected by the owner", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 1, 1)
		h.step(StageFailed{Number: h.number, Reason: batch.ReasonLate, RetryAfter: time.Second})
		if reply := find[Reply](h); reply.RetryAfter < time.Second {
			t.Errorf("client is asked to retry after %s, want 1s or more", reply.RetryAfter)
		}
		h.wantReply(http.StatusServiceUnavailable, ReasonLate)
	})
	t.Run("input is lost", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 1, 1)
		h.stageDone(0, "a", "h1")
		h.step(StageFailed{Number: h.number, Stage: 1, Reason: batch.ReasonInputLost})
		if job := find[RunStage](h).Job; job.Ref.Stage != 0 {
			t.Errorf("stage %d runs, want 0", job.Ref.Stage)
		}
	})
	t.Run("client disconnects", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/stream/1", 1, 1)
		h.stageDone(0, "a", "h1")
		h.step(ClientDisconnected{Number: h.number})
		find[Withdraw](h)
		find[Release](h)
		if h.node.Len() != 0 {
			t.Errorf("%d requests are left, want none", h.node.Len())
		}
	})
}

// Guards against sending a request to an upstream that starts to drain or is replaced
// after it was chosen and before the request is sent.
func TestUsable(t *testing.T) {
	h := newHarness(t)
	h.step(UpstreamsRegistered{Upstreams: []fleet.Upstream{{ID: "deska", Born: 1, Service: "desk", Draining: true}, {ID: "deskb", Born: 2, Service: "desk"}}})
	for _, c := range []struct {
		id   string
		born int64
		want bool
	}{{"deska", 1, false}, {"deskb", 2, true}, {"deskb", 1, false}, {"deskc", 1, false}} {
		if got := h.node.Usable(h.now, c.id, c.born); got != c.want {
			t.Errorf("upstream %q born %d is usable: %v, want %v", c.id, c.born, got, c.want)
		}
	}
}

// An upstream that asked for a pause must get no request until the pause is over, although
// requests that it took before still succeed.
func TestPauseOfUpstream(t *testing.T) {
	const pause = 2 * time.Second
	hold := func(h *harness, ids ...string) {
		for _, id := range ids {
			h.step(UpstreamHeld{ID: id, Born: 1, Until: h.now.Add(pause)})
		}
	}
	t.Run("others are used", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("/safe/x")
		first := find[Send](h)
		hold(h, first.Upstream.ID)
		h.respond(1, http.StatusOK, false)
		h.step(Finished{Number: h.number, Attempt: 1, Status: http.StatusOK})
		for range 20 {
			h.arrive("/safe/x")
			if got := find[Send](h).Upstream.ID; got == first.Upstream.ID {
				t.Fatalf("request went to %s, which asked for a pause", got)
			}
		}
		if h.node.Usable(h.now, first.Upstream.ID, 1) {
			t.Error("upstream is usable during its pause")
		}
		if h.now = h.now.Add(pause); !h.node.Usable(h.now, first.Upstream.ID, 1) {
			t.Error("upstream is not usable after its pause")
		}
		h.arrive("/safe/x")
		if got := find[Send](h).Upstream.ID; got != first.Upstream.ID {
			t.Errorf("request after the pause went to %s, want the idle %s", got, first.Upstream.ID)
		}
	})
	t.Run("a shorter pause does not end a longer one", func(t *testing.T) {
		h := newHarness(t)
		hold(h, "deska")
		h.step(UpstreamHeld{ID: "deska", Born: 1, Until: h.now.Add(pause / 2)})
		if h.node.Usable(h.now.Add(pause*3/4), "deska", 1) {
			t.Error("upstream is usable during its longer pause")
		}
	})
	t.Run("a new process is not held", func(t *testing.T) {
		h := newHarness(t)
		hold(h, "deska")
		h.step(UpstreamsRegistered{Upstreams: []fleet.Upstream{{ID: "deska", Born: 2, Service: "desk"}}})
		if !h.node.Usable(h.now, "deska", 2) {
			t.Error("new process is not usable")
		}
	})
	t.Run("all ask for a pause", func(t *testing.T) {
		h := newHarness(t)
		hold(h, "deska", "deskb", "deskc")
		h.arrive("/safe/x")
		h.wantReply(http.StatusServiceUnavailable, ReasonNoUpstream)
		if got := find[Reply](h).RetryAfter; got < pause || got > pause+retryJitter {
			t.Errorf("retry after %s, want %s when the first pause ends", got, pause)
		}
	})
}

// Upstreams that do not respond for a moment must not make the healthy ones of their zones
// unusable, if no other upstream is left.
func TestSilentUpstreamsTakeTheirZonesAlong(t *testing.T) {
	var upstreams []fleet.Upstream
	for _, zone := range []string{"a", "b", "c"} {
		for _, name := range []string{"1", "2", "3"} {
			upstreams = append(upstreams, fleet.Upstream{ID: zone + name, Born: 1, Service: "desk", Zone: zone, Slots: 4})
		}
	}
	h := newHarness(t)
	h.step(UpstreamsRegistered{Upstreams: upstreams})
	for range 3 {
		h.arrive("/unsafe/1")
	}
	sent := h.number
	// Each of the three requests is at an upstream in a zone of its own that does not respond.
	for i, zone := range []string{"a", "b", "c"} {
		r := h.node.requests[sent-uint64(i)]
		h.node.endAttempt(r, r.current)
		u := h.node.pools["desk"].byID[zone+"1"]
		u.inFlight++
		r.current = &attempt{number: 1, upstream: u, sentAt: h.now}
	}
	h.now = h.now.Add(450 * time.Millisecond)
	for i := range uint64(3) {
		h.number = sent - i
		h.attemptFailed(1, ConnectTimeout, "")
		h.wantNone("six upstreams are sound", isEnd)
	}
	h.number = sent
	h.arrive("/unsafe/1")
	h.wantNone("six upstreams are sound", isEnd)
}

// A request that an upstream has refused must not be sent to it again on a connection where
// the refusal could be repeated.
func TestSentAgainOnUsedConnection(t *testing.T) {
	h := newHarness(t)
	h.arrive("/stream/1", 1, 1)
	runStages := func(run string) Send {
		h.stageDone(0, "a", "h1"+run)
		h.stageDone(1, "a", "h2"+run)
		return find[Send](h)
	}
	first := runStages("first")
	h.respond(1, http.StatusConflict, true)
	second := runStages("second")
	if second.Upstream.ID != first.Upstream.ID {
		t.Fatalf("request is sent to %q and then to %q; the test shows nothing", first.Upstream.ID, second.Upstream.ID)
	}
	if first.NewConn || !second.NewConn {
		t.Errorf("new connections are asked for: %t, then %t, want false, then true", first.NewConn, second.NewConn)
	}
}
