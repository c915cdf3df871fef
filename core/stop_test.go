package core

import (
	"net/http"
	"testing"
	"time"

	"teaselplank/member"
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
