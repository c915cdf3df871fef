package core

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/member"
	"teaselplank/pipe"
	"teaselplank/wire"
)

// pipelineCall returns a call of the pipeline of a test node, whose deadline is 5 s.
func pipelineCall(id string) CallArrived {
	return CallArrived{Call{ID: id, Account: "a", Pipeline: "p", Input: "x"}}
}

func wantNotRun(t *testing.T, effects []Effect) {
	t.Helper()
	r := mustFind[Reply](t, effects)
	if r.Answer.Outcome != wire.NotRun || r.Status != http.StatusServiceUnavailable || r.Answer.RetryAfter == 0 {
		t.Errorf("reply is %+v, want a refusal with a time to retry", r)
	}
}

// A node that is stopped before it knows the rules must not say that a pipeline does not
// exist.
func TestStopBeforeReady(t *testing.T) {
	config := DefaultConfig()
	config.Member.Self = member.Node{ID: "entry-0", Incarnation: "1", Addr: "entry-0", Zone: "zone-a"}
	n, now := New(config), time.Unix(1_800_000_000, 0)
	n.Step(now, Stop{})
	wantNotRun(t, n.Step(now, pipelineCall("early")))
}

// A stopping node must not take a call that may outlast it.
func TestCallCutByStop(t *testing.T) {
	const lag, limit = 2 * time.Second, 8 * time.Second
	cases := []struct {
		name    string
		after   time.Duration
		timeout time.Duration
		taken   bool
	}{
		{"balancer still sends calls", lag - time.Millisecond, 0, true},
		{"fits", lag + limit - 5*time.Second, 0, true},
		{"may outlast the stop", lag + limit - 5*time.Second + time.Millisecond, 0, false},
		{"own deadline fits", lag + limit - time.Second, time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, now := newBenchNode(t, 2, 0)
			n.Step(now, Stop{Unlisted: now.Add(lag), Until: now.Add(lag + limit)})
			call := pipelineCall("c")
			call.Call.Timeout = c.timeout
			effects := n.Step(now.Add(c.after), call)
			if c.taken {
				mustFind[pipe.Call](t, effects)
				return
			}
			wantNotRun(t, effects)
		})
	}
}
