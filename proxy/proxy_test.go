package proxy

import (
	"net/http"
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
	r := &harness{t: t, now: start}
	r.node = New(Config{Zone: "a", Budget: budget.Config{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}})
	r.step(Configured{Table: fleet.NewTable(testConfig())})
	var upstreams []fleet.Upstream
	for _, service := range []string{"desk", "engine"} {
		for _, zone := range []string{"a", "b", "c"} {
			upstreams = append(upstreams, fleet.Upstream{ID: service + zone, Born: 1, Service: service, Zone: zone, Slots: 4})
		}
	}
	r.step(UpstreamsRegistered{Upstreams: upstreams})
	return r
}

func (r *harness) step(e Event) {
	r.effects = append([]Effect(nil), r.node.Step(r.now, e)...)
	r.wantEndsRecorded()
}

// wantEndsRecorded checks that each end of a request has a decision record with the same
// reason. All tests of the package check this after each event.
func (r *harness) wantEndsRecorded() {
	r.t.Helper()
	ends, recorded := make(map[Reason]int), make(map[Reason]int)
	for _, e := range r.effects {
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
			r.t.Errorf("%d requests end with reason %q, %d are recorded", count, reason, recorded[reason])
		}
	}
}

func (r *harness) arrive(path string, pieces ...int) {
	r.number++
	r.step(RequestArrived{Request{
		Number: r.number, ID: "id", Host: "h", Path: path, APIKey: "key", Timeout: 6 * time.Second, Pieces: pieces, PieceKey: "k",
	}})
}

func (r *harness) respond(attempt, status int, notExecuted bool) {
	r.step(HeadReceived{Number: r.number, Attempt: attempt, Head: ResponseHead{Status: status, NotExecuted: notExecuted, Sealed: !notExecuted}})
}

func (r *harness) attemptFailed(attempt int, failure Failure, lastEventID string) {
	r.step(AttemptFailed{Number: r.number, Attempt: attempt, Failure: failure, LastEventID: lastEventID, ResponseStarted: lastEventID != ""})
}

// find returns the only effect of type E.
func find[E Effect](r *harness) E {
	r.t.Helper()
	var found E
	count := 0
	for _, e := range r.effects {
		if e, ok := e.(E); ok {
			found = e
			count++
		}
	}
	if count != 1 {
		r.t.Fatalf("%d effects of type %T, want 1; effects are %+v", count, found, r.effects)
	}
	return found
}

func (r *harness) wantReply(status int, reason Reason) {
	r.t.Helper()
	reply := find[Reply](r)
	if reply.Status != status || reply.Reason != reason {
		r.t.Errorf("reply is %d %q, want %d %q", reply.Status, reply.Reason, status, reason)
	}
	if r.node.Len() != 0 {
		r.t.Errorf("%d requests are left, want none", r.node.Len())
	}
}

func TestAdmission(t *testing.T) {
	t.Run("no configuration", func(t *testing.T) {
		r := &harness{t: t, now: start, node: New(Config{})}
		r.arrive("/safe/1")
		r.wantReply(http.StatusServiceUnavailable, ReasonNoConfig)
	})
	t.Run("no route", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/none/1")
		r.wantReply(http.StatusNotFound, ReasonNoRoute)
	})
	t.Run("unknown key", func(t *testing.T) {
		r := newHarness(t)
		r.step(RequestArrived{Request{Number: 9, ID: "id", Host: "h", Path: "/safe/1", APIKey: "other"}})
		r.wantReply(http.StatusUnauthorized, ReasonUnknownKey)
	})
	t.Run("anonymous route", func(t *testing.T) {
		r := newHarness(t)
		r.step(RequestArrived{Request{Number: 9, ID: "id", Host: "h", Path: "/open/1"}})
		find[Send](r)
	})
	t.Run("older configuration", func(t *testing.T) {
		r := newHarness(t)
		c := testConfig()
		c.Version, c.Routes = 0, nil
		r.step(Configured{Table: fleet.NewTable(c)})
		r.arrive("/safe/1")
		find[Send](r)
	})
}

// A request that may have been executed is sent again only if its route allows it. The
// client is never told that such a request was not executed.
func TestAtMostOnce(t *testing.T) {
	for _, failure := range []Failure{ConnectionFailed, ResponseMismatch, ResponseTimeout} {
		t.Run(string(failure), func(t *testing.T) {
			r := newHarness(t)
			r.arrive("/unsafe/1")
			r.attemptFailed(1, failure, "")
			r.wantReply(http.StatusBadGateway, ReasonUpstreamFailed)
		})
	}
	t.Run("upstream error", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/unsafe/1")
		r.respond(1, http.StatusInternalServerError, false)
		find[Deliver](r)
	})
	t.Run("deadline passes during the attempt", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/unsafe/1")
		r.step(TimedOut{Number: r.number})
		r.wantReply(http.StatusGatewayTimeout, ReasonTimeout)
	})
	t.Run("refused by the upstream", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/unsafe/1")
		first := find[Send](r).Upstream.ID
		r.respond(1, http.StatusServiceUnavailable, true)
		if second := find[Send](r).Upstream.ID; second == first {
			t.Errorf("request went to upstream %q twice", first)
		}
	})
	t.Run("unreachable upstreams", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/unsafe/1")
		for attempt := 1; attempt <= 3; attempt++ {
			find[Send](r)
			r.attemptFailed(attempt, Unreachable, "")
		}
		r.wantReply(http.StatusServiceUnavailable, ReasonNoUpstream)
	})
}

func TestRetries(t *testing.T) {
	t.Run("upstream error", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/safe/1")
		r.respond(1, http.StatusInternalServerError, false)
		find[Send](r)
		r.respond(2, http.StatusInternalServerError, false)
		find[Deliver](r)
	})
	t.Run("budget", func(t *testing.T) {
		r := newHarness(t)
		retries := 0
		for range 60 {
			r.arrive("/safe/1")
			r.respond(1, http.StatusInternalServerError, false)
			for _, e := range r.effects {
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
		r := newHarness(t)
		r.arrive("/stream/1")
		r.respond(1, http.StatusOK, false)
		r.step(FirstEvent{Number: r.number, Attempt: 1})
		r.attemptFailed(1, ConnectionFailed, "4")
		if s := find[Send](r); s.LastEventID != "4" {
			t.Errorf("stream resumes after event %q, want %q", s.LastEventID, "4")
		}
		r.respond(2, http.StatusOK, false)
		find[Deliver](r)
		r.attemptFailed(2, ConnectionFailed, "7")
		find[Abort](r)
	})
	t.Run("event of an ended attempt", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/safe/1")
		r.attemptFailed(1, ConnectionFailed, "")
		r.respond(1, http.StatusOK, false)
		if len(r.effects) != 0 {
			t.Errorf("effects are %+v, want none", r.effects)
		}
	})
}

func (r *harness) stageDone(stage int, zone string, handles ...string) {
	var results []batch.Result
	for _, h := range handles {
		results = append(results, batch.Result{Handle: h, Zone: zone})
	}
	r.step(StageDone{Number: r.number, Stage: stage, Results: results})
}

func TestStages(t *testing.T) {
	t.Run("in order", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/stream/1", 2, 1)
		first := find[RunStage](r).Job
		if first.Key != "k" || first.Pieces != 2 || len(first.Inputs) != 0 {
			t.Errorf("first job is %+v", first)
		}
		r.stageDone(0, "b", "h1", "h2")
		job := find[RunStage](r).Job
		if job.Key != "" || len(job.Inputs) != 2 || job.Zone != "b" || !job.Started {
			t.Errorf("second job is %+v", job)
		}
		r.stageDone(1, "b", "h3")
		if released := find[Release](r).Results; len(released) != 2 {
			t.Errorf("%d results are released after use, want 2", len(released))
		}
		send := find[Send](r)
		if len(send.Inputs) != 1 || send.Inputs[0] != "h3" || send.Upstream.Zone != first.Zone {
			t.Errorf("request is sent with inputs %v to zone %q", send.Inputs, send.Upstream.Zone)
		}
		r.respond(1, http.StatusOK, false)
		r.step(FirstEvent{Number: r.number, Attempt: 1})
		if released := find[Release](r).Results; len(released) != 1 {
			t.Errorf("%d results are released at the first event, want 1", len(released))
		}
	})
	t.Run("client times out before the request is due", func(t *testing.T) {
		r := newHarness(t)
		r.number++
		r.step(RequestArrived{Request{
			Number: r.number, ID: "id", Host: "h", Path: "/stream/1", APIKey: "key", Timeout: 400 * time.Millisecond, Pieces: []int{1, 1}, PieceKey: "k",
		}})
		if job := find[RunStage](r).Job; job.StagesDue.After(r.now.Add(400 * time.Millisecond)) {
			t.Errorf("stages must finish within %s, but the client times out after 400 ms", job.StagesDue.Sub(r.now))
		}
	})
	t.Run("two stages consume the same results", func(t *testing.T) {
		r := newHarness(t)
		c := testConfig()
		c.Version = 2
		c.Routes[2].Stages = append(c.Routes[2].Stages, fleet.Stage{Service: "second", After: []int{0}, ResultBytes: 10})
		r.step(Configured{Table: fleet.NewTable(c)})
		r.arrive("/stream/1", 1, 1, 1)
		r.stageDone(0, "a", "h1")
		r.stageDone(2, "a", "h3")
		for _, e := range r.effects {
			if _, ok := e.(Release); ok {
				t.Error("results that a stage still needs are released")
			}
		}
		r.stageDone(1, "a", "h2")
		if released := find[Release](r).Results; len(released) != 1 || released[0].Handle != "h1" {
			t.Errorf("released results are %+v, want h1", released)
		}
	})
	t.Run("stages without pieces", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/stream/1", 0, 0)
		find[Send](r)
	})
	t.Run("rejected by the owner", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/stream/1", 1, 1)
		r.step(StageFailed{Number: r.number, Reason: batch.ReasonLate, RetryAfter: time.Second})
		if reply := find[Reply](r); reply.RetryAfter < time.Second {
			t.Errorf("client is asked to retry after %s, want 1s or more", reply.RetryAfter)
		}
		r.wantReply(http.StatusServiceUnavailable, ReasonLate)
	})
	t.Run("input is lost", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/stream/1", 1, 1)
		r.stageDone(0, "a", "h1")
		r.step(StageFailed{Number: r.number, Stage: 1, Reason: batch.ReasonInputLost})
		if job := find[RunStage](r).Job; job.Ref.Stage != 0 {
			t.Errorf("stage %d runs, want 0", job.Ref.Stage)
		}
	})
	t.Run("client disconnects", func(t *testing.T) {
		r := newHarness(t)
		r.arrive("/stream/1", 1, 1)
		r.stageDone(0, "a", "h1")
		r.step(ClientDisconnected{Number: r.number})
		find[Withdraw](r)
		find[Release](r)
		if r.node.Len() != 0 {
			t.Errorf("%d requests are left, want none", r.node.Len())
		}
	})
}

// Guards against sending a request to an upstream that starts to drain or is replaced
// after it was chosen and before the request is sent.
func TestUsable(t *testing.T) {
	r := newHarness(t)
	r.step(UpstreamsRegistered{Upstreams: []fleet.Upstream{{ID: "deska", Born: 1, Service: "desk", Draining: true}, {ID: "deskb", Born: 2, Service: "desk"}}})
	for _, c := range []struct {
		id   string
		born int64
		want bool
	}{{"deska", 1, false}, {"deskb", 2, true}, {"deskb", 1, false}, {"deskc", 1, false}} {
		if got := r.node.Usable(c.id, c.born); got != c.want {
			t.Errorf("upstream %q born %d is usable: %v, want %v", c.id, c.born, got, c.want)
		}
	}
}
