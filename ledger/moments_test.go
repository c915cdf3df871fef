package ledger

import (
	"testing"
	"time"

	"teaselplank/verify"
	"teaselplank/wire"
)

// script drives a world through one history by hand.
type script struct {
	*world
	t *testing.T
}

// next returns the position of the first pending operation of a type.
func next[E Effect](s script, node int) int {
	s.t.Helper()
	for i, op := range s.nodes[node].pending {
		if _, ok := op.effect.(E); ok {
			return i
		}
	}
	s.t.Fatalf("node %d has no such operation under way: %+v", node, s.nodes[node].pending)
	return 0
}

// answer lets the first pending operation of a type take effect and be answered.
func answer[E Effect](s script, node int) {
	s.t.Helper()
	n := s.nodes[node]
	op := n.take(next[E](s, node))
	if !op.done {
		op.answer = s.takeEffect(op.effect, n.attempts)
	}
	s.step(n, op.answer)
}

// readClaim lets a node append its claim and read it back.
func readClaim(s script, node int) {
	s.t.Helper()
	answer[Append](s, node)
	answer[Read](s, node)
}

// record lets a node append what it has to record once the next append is due.
func record(s script, node int) {
	s.t.Helper()
	s.pass(DefaultConfig().AppendInterval)
	s.tick(node)
	answer[Append](s, node)
}

func (s script) pass(d time.Duration) { s.now = s.now.Add(d) }

func (s script) tick(node int) { s.step(s.nodes[node], Tick{}) }

func (s script) ask(node int, k Key) { s.submit(s.nodes[node], k, "d-"+k.ID) }

func (s script) newKey() Key { return Key{"kingston", s.uuid7()} }

// drop removes the oldest records of the log.
func (s script) drop(count int) { s.log, s.first = s.log[count:], s.first+int64(count) }

// told returns the outcomes that callers were told, in order.
func (s script) told() []wire.Outcome { return s.history.Outcomes() }

func TestMoments(t *testing.T) {
	const done, notRun, unknown = wire.Done, wire.NotRun, wire.Unknown
	tests := []struct {
		name   string
		fenced bool
		play   func(s script)
		want   []wire.Outcome
	}{
		{"plain", false, func(s script) {
			s.ask(0, s.newKey())
			readClaim(s, 0)
			answer[Dispatch](s, 0)
		}, []wire.Outcome{done}},
		{"repeat at another node gets the recorded result", false, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0)
			answer[Dispatch](s, 0)
			record(s, 0)
			s.ask(1, k)
			readClaim(s, 1)
		}, []wire.Outcome{done, done}},
		{"upstream not reached", false, func(s script) {
			s.ask(0, s.newKey())
			readClaim(s, 0)
			s.lose(s.nodes[0], next[Dispatch](s, 0), false)
		}, []wire.Outcome{notRun}},
		{"upstream's answer lost, then a repeat", false, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0)
			s.lose(s.nodes[0], next[Dispatch](s, 0), true)
			record(s, 0)
			s.ask(1, k)
			readClaim(s, 1)
		}, []wire.Outcome{unknown, unknown}},
		{"answer after the deadline is recorded for a repeat", false, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0)
			s.pass(worldDeadline)
			s.tick(0)
			answer[Dispatch](s, 0)
			record(s, 0)
			s.ask(1, k)
			readClaim(s, 1)
		}, []wire.Outcome{unknown, done}},
		{"append's answer lost", false, func(s script) {
			s.ask(0, s.newKey())
			s.nodes[0].pending[0].done = true
			s.takeEffect(s.nodes[0].pending[0].effect, nil)
			s.lose(s.nodes[0], 0, true)
			answer[Read](s, 0)
			answer[Dispatch](s, 0)
		}, []wire.Outcome{done}},
		{"node crashes after its claim", false, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0)
			s.crash(s.nodes[0])
			s.ask(1, k)
			readClaim(s, 1)
			s.pass(worldTakeover)
			s.tick(1)
		}, []wire.Outcome{unknown}},
		{"node crashes after its claim, fenced: taken over", true, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0)
			s.crash(s.nodes[0])
			s.ask(1, k)
			readClaim(s, 1)
			s.pass(worldTakeover)
			s.tick(1)
			answer[Lookup](s, 1)
			answer[Dispatch](s, 1)
		}, []wire.Outcome{done}},
		{"frozen holder wakes after a takeover", true, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			answer[Append](s, 0) // The node freezes before it reads.
			s.ask(1, k)
			readClaim(s, 1)
			s.pass(worldTakeover)
			s.tick(1)
			answer[Lookup](s, 1)
			answer[Dispatch](s, 1)
			s.pass(worldDeadline)
			answer[Read](s, 0)
		}, []wire.Outcome{done, unknown}},
		{"frozen holder dispatches after a takeover", true, func(s script) {
			k := s.newKey()
			s.ask(0, k)
			readClaim(s, 0) // The node freezes with its dispatch under way.
			s.ask(1, k)
			readClaim(s, 1)
			s.pass(worldTakeover)
			s.tick(1)
			answer[Lookup](s, 1)
			answer[Dispatch](s, 1)
			answer[Dispatch](s, 0)
			s.pass(worldDeadline)
			s.tick(0)
		}, []wire.Outcome{done, unknown}},
		{"log fails: refused at once, then goes on", false, func(s script) {
			s.ask(0, s.newKey())
			for range 5 {
				s.lose(s.nodes[0], next[Append](s, 0), false)
				s.pass(300 * time.Millisecond)
				s.tick(0)
				if len(s.told()) > 0 {
					break
				}
			}
			if len(s.told()) != 1 {
				s.t.Error("the first call still waits for the log")
			}
			s.ask(0, s.newKey()) // Refused without an append.
			answer[Append](s, 0) // The release of the first is taken.
			s.pass(time.Second)
			s.ask(0, s.newKey())
			readClaim(s, 0)
			answer[Dispatch](s, 0)
		}, []wire.Outcome{unknown, unknown, done}},
		{"bound key runs while the log is away", false, func(s script) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.ask(0, k)
			s.ask(0, k)
			answer[Dispatch](s, 0)
			s.ask(0, k)
		}, []wire.Outcome{done, done, done}},
		{"bound key whose upstream is not reached", false, func(s script) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.ask(0, k)
			s.lose(s.nodes[0], next[Dispatch](s, 0), false)
			s.ask(0, k)
			answer[Dispatch](s, 0)
		}, []wire.Outcome{notRun, done}},
		{"bound key at another node, before and after its result", false, func(s script) {
			k := Key{"kingston", BindKey(s.uuid7(), "n0", "i1")}
			s.ask(0, k)
			s.ask(1, k)
			answer[Dispatch](s, 0)
			record(s, 0)
			read, _ := s.nodes[1].ledger.Poll(0)
			s.perform(s.nodes[1], read)
			answer[Read](s, 1)
			s.ask(1, k)
		}, []wire.Outcome{unknown, done, done}},
		{"key older than the window", false, func(s script) {
			k := s.newKey()
			s.pass(worldWindow)
			s.ask(0, k)
		}, []wire.Outcome{unknown}},
		{"records are dropped before a node has read them", false, func(s script) {
			k := s.newKey()
			s.ask(1, s.newKey())
			readClaim(s, 1)
			answer[Dispatch](s, 1)
			s.ask(0, k)
			readClaim(s, 0)
			answer[Dispatch](s, 0)
			record(s, 0)
			s.pass(5 * time.Second)
			s.drop(len(s.log))
			s.ask(1, k)
			readClaim(s, 1)
			s.ask(1, k)
		}, []wire.Outcome{done, done, unknown, unknown}},
		{"key that is no UUID of version 7", false, func(s script) {
			s.ask(0, Key{"kingston", "invoice-17"})
			s.ask(0, Key{"kingston", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"})
		}, []wire.Outcome{notRun, notRun}},
		{"key that is in the future by one node's clock, after it ran at another", false, func(s script) {
			s.pass(2 * time.Second)
			k := s.newKey()
			s.pass(-time.Second) // The clock of node 0 is behind the caller's.
			s.ask(0, k)
			readClaim(s, 0)
			answer[Dispatch](s, 0)
			s.pass(-time.Second) // That of node 1 is behind node 0's.
			s.ask(1, k)
		}, []wire.Outcome{done, unknown}},
		{"caller leaves before the claim is read", false, func(s script) {
			s.ask(0, s.newKey())
			answer[Append](s, 0)
			s.step(s.nodes[0], Abandon{"a2"})
			answer[Read](s, 0)
		}, []wire.Outcome{unknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := script{newWorld(2, test.fenced), t}
			test.play(s)
			got := s.told()
			if len(got) != len(test.want) {
				t.Fatalf("callers were told %v, want %v", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Errorf("caller %d was told %q, want %q", i, got[i], test.want[i])
				}
			}
			for _, err := range []error{verify.AtMostOnce(&s.history), verify.NotRunDidNotRun(&s.history), verify.OwnWholeAnswer(&s.history)} {
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
}
