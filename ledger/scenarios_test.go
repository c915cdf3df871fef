package ledger

import (
	"testing"
	"time"

	"teaselplank/verify"
	"teaselplank/wire"
)

// A scenario drives a simulation through one scripted history.
type scenario struct {
	*simulation
	t *testing.T
}

// pendingIndex returns the index of a node's first pending operation of a type.
func pendingIndex[E Effect](s scenario, node int) int {
	s.t.Helper()
	for i, op := range s.nodes[node].pending {
		if _, ok := op.effect.(E); ok {
			return i
		}
	}
	s.t.Fatalf("node %d has no pending operation of the wanted type: %+v", node, s.nodes[node].pending)
	return 0
}

// complete applies a node's first pending operation of a type and delivers its answer.
func complete[E Effect](s scenario, node int) {
	s.t.Helper()
	n := s.nodes[node]
	op := n.removePending(pendingIndex[E](s, node))
	if !op.applied {
		op.answer = s.apply(op.effect, n.attempts)
	}
	s.step(n, op.answer)
}

// confirmClaim makes a node append its claim and read it from the log.
func confirmClaim(s scenario, node int) {
	s.t.Helper()
	complete[Append](s, node)
	complete[Read](s, node)
}

// appendPending makes a node append its pending entries when the append interval has
// passed.
func appendPending(s scenario, node int) {
	s.t.Helper()
	s.advance(DefaultConfig().AppendInterval)
	s.tick(node)
	complete[Append](s, node)
}

func (s scenario) advance(d time.Duration) { s.now = s.now.Add(d) }

func (s scenario) tick(node int) { s.step(s.nodes[node], Tick{}) }

func (s scenario) call(node int, k Key) { s.submit(s.nodes[node], k, "d-"+k.ID) }

func (s scenario) newKey() Key { return Key{"kingston", s.uuid7()} }

// dropRecords removes the oldest records of the log.
func (s scenario) dropRecords(count int) { s.log, s.first = s.log[count:], s.first+int64(count) }

// outcomes returns the outcomes that callers received, in order.
func (s scenario) outcomes() []wire.Outcome { return s.history.Outcomes() }

// TestScenarios guards against a second execution or a wrong outcome in single cases:
// lost answers, crashes, takeovers, log outages, bound keys and unusable keys.
func TestScenarios(t *testing.T) {
	const done, notRun, unknown = wire.Done, wire.NotRun, wire.Unknown
	tests := []struct {
		name   string
		fenced bool
		play   func(s scenario)
		want   []wire.Outcome
	}{
		{"call runs and is answered", false, func(s scenario) {
			s.call(0, s.newKey())
			confirmClaim(s, 0)
			complete[Dispatch](s, 0)
		}, []wire.Outcome{done}},
		{"retry at another node gets the recorded result", false, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0)
			complete[Dispatch](s, 0)
			appendPending(s, 0)
			s.call(1, k)
			confirmClaim(s, 1)
		}, []wire.Outcome{done, done}},
		{"upstream is not reached", false, func(s scenario) {
			s.call(0, s.newKey())
			confirmClaim(s, 0)
			s.failOperation(s.nodes[0], pendingIndex[Dispatch](s, 0), false)
		}, []wire.Outcome{notRun}},
		{"upstream's answer is lost, then a retry", false, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0)
			s.failOperation(s.nodes[0], pendingIndex[Dispatch](s, 0), true)
			appendPending(s, 0)
			s.call(1, k)
			confirmClaim(s, 1)
		}, []wire.Outcome{unknown, unknown}},
		{"answer after the deadline is recorded for a retry", false, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0)
			s.advance(simDeadline)
			s.tick(0)
			complete[Dispatch](s, 0)
			appendPending(s, 0)
			s.call(1, k)
			confirmClaim(s, 1)
		}, []wire.Outcome{unknown, done}},
		{"answer to an append is lost", false, func(s scenario) {
			s.call(0, s.newKey())
			s.nodes[0].pending[0].applied = true
			s.apply(s.nodes[0].pending[0].effect, nil)
			s.failOperation(s.nodes[0], 0, true)
			complete[Read](s, 0)
			complete[Dispatch](s, 0)
		}, []wire.Outcome{done}},
		{"node crashes after its claim", false, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0)
			s.crash(s.nodes[0])
			s.call(1, k)
			confirmClaim(s, 1)
			s.advance(simTakeover)
			s.tick(1)
		}, []wire.Outcome{unknown}},
		{"node crashes after its claim, and another node takes over", true, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0)
			s.crash(s.nodes[0])
			s.call(1, k)
			confirmClaim(s, 1)
			s.advance(simTakeover)
			s.tick(1)
			complete[Lookup](s, 1)
			complete[Dispatch](s, 1)
		}, []wire.Outcome{done}},
		{"paused holder reads its claim after a takeover", true, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			complete[Append](s, 0) // The node pauses before it reads.
			s.call(1, k)
			confirmClaim(s, 1)
			s.advance(simTakeover)
			s.tick(1)
			complete[Lookup](s, 1)
			complete[Dispatch](s, 1)
			s.advance(simDeadline)
			complete[Read](s, 0)
		}, []wire.Outcome{done, unknown}},
		{"paused holder dispatches after a takeover", true, func(s scenario) {
			k := s.newKey()
			s.call(0, k)
			confirmClaim(s, 0) // The node pauses with its dispatch pending.
			s.call(1, k)
			confirmClaim(s, 1)
			s.advance(simTakeover)
			s.tick(1)
			complete[Lookup](s, 1)
			complete[Dispatch](s, 1)
			complete[Dispatch](s, 0)
			s.advance(simDeadline)
			s.tick(0)
		}, []wire.Outcome{done, unknown}},
		{"calls are refused while the log fails and run after it recovers", false, func(s scenario) {
			s.call(0, s.newKey())
			for range 5 {
				s.failOperation(s.nodes[0], pendingIndex[Append](s, 0), false)
				s.advance(300 * time.Millisecond)
				s.tick(0)
				if len(s.outcomes()) > 0 {
					break
				}
			}
			if len(s.outcomes()) != 1 {
				s.t.Error("the first call still waits for the log")
			}
			s.call(0, s.newKey())  // Refused without an append.
			complete[Append](s, 0) // The release of the first call's claim is appended.
			s.advance(time.Second)
			s.call(0, s.newKey())
			confirmClaim(s, 0)
			complete[Dispatch](s, 0)
		}, []wire.Outcome{unknown, unknown, done}},
		{"bound key runs while the log is unavailable", false, func(s scenario) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.call(0, k)
			s.call(0, k)
			complete[Dispatch](s, 0)
			s.call(0, k)
		}, []wire.Outcome{done, done, done}},
		{"bound key whose upstream is not reached", false, func(s scenario) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.call(0, k)
			s.failOperation(s.nodes[0], pendingIndex[Dispatch](s, 0), false)
			s.call(0, k)
			complete[Dispatch](s, 0)
		}, []wire.Outcome{notRun, done}},
		{"bound key at another node, before and after its result", false, func(s scenario) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.call(0, k)
			s.call(1, k)
			complete[Dispatch](s, 0)
			appendPending(s, 0)
			read, _ := s.nodes[1].ledger.Poll(0)
			s.perform(s.nodes[1], read)
			complete[Read](s, 1)
			s.call(1, k)
		}, []wire.Outcome{unknown, done, done}},
		{"key older than the window", false, func(s scenario) {
			k := s.newKey()
			s.advance(simWindow)
			s.call(0, k)
		}, []wire.Outcome{unknown}},
		{"records are dropped before a node has read them", false, func(s scenario) {
			k := s.newKey()
			s.call(1, s.newKey())
			confirmClaim(s, 1)
			complete[Dispatch](s, 1)
			s.call(0, k)
			confirmClaim(s, 0)
			complete[Dispatch](s, 0)
			appendPending(s, 0)
			s.advance(5 * time.Second)
			s.dropRecords(len(s.log))
			s.call(1, k)
			confirmClaim(s, 1)
			s.call(1, k)
		}, []wire.Outcome{done, done, unknown, unknown}},
		{"key that is not a UUID of version 7", false, func(s scenario) {
			s.call(0, Key{"kingston", "invoice-17"})
			s.call(0, Key{"kingston", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"})
		}, []wire.Outcome{notRun, notRun}},
		{"key from the future by one node's clock, after it ran on another node", false, func(s scenario) {
			s.advance(2 * time.Second)
			k := s.newKey()
			s.advance(-time.Second) // The clock of node 0 is behind the caller's.
			s.call(0, k)
			confirmClaim(s, 0)
			complete[Dispatch](s, 0)
			s.advance(-time.Second) // The clock of node 1 is behind that of node 0.
			s.call(1, k)
		}, []wire.Outcome{done, unknown}},
		{"caller leaves before the claim is read", false, func(s scenario) {
			s.call(0, s.newKey())
			complete[Append](s, 0)
			s.step(s.nodes[0], Cancel{"a2"})
			complete[Read](s, 0)
		}, []wire.Outcome{unknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := scenario{newSimulation(2, test.fenced), t}
			test.play(s)
			got := s.outcomes()
			if len(got) != len(test.want) {
				t.Fatalf("callers received %v, want %v", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Errorf("caller %d received %q, want %q", i, got[i], test.want[i])
				}
			}
			for _, err := range []error{verify.AtMostOnce(&s.history), verify.NotRunNeverExecuted(&s.history), verify.CompleteOwnAnswer(&s.history)} {
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
}
