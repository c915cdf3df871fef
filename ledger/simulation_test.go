package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"teaselplank/verify"
	"teaselplank/wire"
)

// A simulation is several ledgers that share one log and one upstream. Every append,
// read, dispatch and lookup is pending until the test applies it, delivers its answer
// or loses either.
type simulation struct {
	now    time.Time
	fenced bool
	nodes  []*simNode
	log    []wire.Record
	// first is the offset of the first record in log.
	first   int64
	history verify.History
	// delayed are operations that may still be applied although no node waits for
	// their answer.
	delayed    []func()
	executions map[string]*execution
	keys       []Key
	count      int
	// crashed are the attempts whose node has crashed.
	crashed map[string]bool
	// mayStayUnknown are the keys whose outcome may stay unknown.
	mayStayUnknown map[string]bool
	// droppedEarly is true once records were dropped before the end of the log's
	// retention.
	droppedEarly bool
}

// An execution is the upstream's state of a key.
type execution struct {
	minNumber int64
	output    string
	seen      bool
}

type simNode struct {
	name        string
	incarnation int
	ledger      *Ledger
	paused      bool
	pending     []operation
	attempts    map[string]Submit
}

// An operation is an effect that a node has emitted and that is not answered yet.
type operation struct {
	effect Effect
	// applied is true once the effect was applied; answer is then set.
	applied bool
	answer  Event
}

const (
	simWindow   = time.Minute
	simDeadline = 2 * time.Second
	simTakeover = 500 * time.Millisecond
)

func newSimulation(nodes int, fenced bool) *simulation {
	sim := &simulation{
		now: time.Unix(1_800_000_000, 0), fenced: fenced,
		executions: make(map[string]*execution), crashed: make(map[string]bool), mayStayUnknown: make(map[string]bool),
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i)}
		sim.start(n)
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

func (sim *simulation) start(n *simNode) {
	n.incarnation++
	config := DefaultConfig()
	config.Node, config.Incarnation = n.name, fmt.Sprint("i", n.incarnation)
	config.Shards, config.Window, config.MaxSkew = 1, simWindow, time.Second
	config.Retention = simWindow + 2*time.Second
	config.TakeoverAfter = simTakeover
	n.ledger = New(config)
	n.attempts = make(map[string]Submit)
	n.paused = false
}

// uuid7 returns a UUID of version 7 that is issued at the simulation's time.
func (sim *simulation) uuid7() string {
	sim.count++
	var u uuid.UUID
	ms := uint64(sim.now.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	u[14], u[15] = byte(sim.count>>8), byte(sim.count)
	return u.String()
}

func (sim *simulation) step(n *simNode, e Event) {
	for _, effect := range n.ledger.Step(sim.now, e) {
		sim.perform(n, effect)
	}
}

func (sim *simulation) perform(n *simNode, effect Effect) {
	if a, ok := effect.(Answer); ok {
		s := n.attempts[a.Attempt]
		sim.history.Answered(sim.now, a.Attempt, s.Key.ID, a.Outcome, a.Result.Output)
		return
	}
	n.pending = append(n.pending, operation{effect: effect})
}

func output(digest string) string { return "receipt of " + digest }

// submit submits a call of a key to a node.
func (sim *simulation) submit(n *simNode, k Key, digest string) {
	sim.count++
	s := Submit{
		Attempt: fmt.Sprintf("a%d", sim.count), Key: k, Service: "filing", Digest: digest,
		Fenced: sim.fenced, Deadline: sim.now.Add(simDeadline),
	}
	n.attempts[s.Attempt] = s
	sim.history.Requested(sim.now, s.Attempt, k.ID, digest, output(digest))
	sim.step(n, s)
}

// execute runs a call on the upstream, unless its fencing number is refused.
func (sim *simulation) execute(s Submit, number int64) (string, bool) {
	ex := sim.executions[s.Key.ID]
	if ex == nil {
		ex = &execution{}
		sim.executions[s.Key.ID] = ex
	}
	if sim.fenced && number < ex.minNumber {
		return "", false
	}
	sim.history.Executed(sim.now, s.Attempt, s.Key.ID, s.Digest)
	ex.minNumber, ex.seen, ex.output = max(ex.minNumber, number), true, output(s.Digest)
	return ex.output, true
}

// apply applies an effect of a node and returns the answer to it.
func (sim *simulation) apply(effect Effect, attempts map[string]Submit) Event {
	switch e := effect.(type) {
	case Append:
		data, err := EncodeBatch(e.Entries)
		if err != nil {
			panic(err)
		}
		offset := sim.first + int64(len(sim.log))
		sim.log = append(sim.log, wire.Record{Offset: offset, Time: sim.now, Data: data})
		return Appended{e.Shard, e.Batch, offset}
	case Read:
		return PageRead{e.Shard, sim.page(e.From)}
	case Dispatch:
		s := attempts[e.Attempt]
		text, ok := sim.execute(s, e.Number)
		if !ok {
			return DispatchFinished{Attempt: e.Attempt, Outcome: wire.NotRun}
		}
		return DispatchFinished{Attempt: e.Attempt, Outcome: wire.Done, Result: Result{200, text}}
	case Lookup:
		ex := sim.executions[e.Key.ID]
		if ex == nil {
			ex = &execution{}
			sim.executions[e.Key.ID] = ex
		}
		if e.Number < ex.minNumber {
			return LookupFinished{Attempt: e.Attempt, Failed: true}
		}
		ex.minNumber = e.Number
		return LookupFinished{Attempt: e.Attempt, Status: wire.KeyStatus{Seen: ex.seen, Finished: ex.seen, Output: ex.output}}
	}
	panic(fmt.Sprintf("unknown effect: %T", effect))
}

func (sim *simulation) page(from int64) wire.Page {
	p := wire.Page{First: sim.first, End: sim.first + int64(len(sim.log))}
	for _, r := range sim.log {
		if r.Offset >= from && len(p.Records) < 3 {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// failureEvent returns the event that reports a lost operation or answer to a node.
func failureEvent(effect Effect, reached bool) Event {
	switch e := effect.(type) {
	case Append:
		return AppendFailed{e.Shard, e.Batch}
	case Read:
		return ReadFailed{e.Shard}
	case Dispatch:
		if reached {
			return DispatchFinished{Attempt: e.Attempt, Outcome: wire.Unknown}
		}
		return DispatchFinished{Attempt: e.Attempt, Outcome: wire.NotRun}
	case Lookup:
		return LookupFinished{Attempt: e.Attempt, Failed: true}
	}
	panic(fmt.Sprintf("unknown effect: %T", effect))
}

// removePending removes and returns a pending operation.
func (n *simNode) removePending(i int) operation {
	op := n.pending[i]
	n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
	return op
}

// failOperation loses an operation or its answer. With mayApply set, an operation that
// was not applied may be applied later. Otherwise it is not, and a dispatch is reported
// as not sent.
func (sim *simulation) failOperation(n *simNode, i int, mayApply bool) {
	op := n.removePending(i)
	attempts := n.attempts
	if d, ok := op.effect.(Dispatch); ok && (mayApply || op.applied) {
		sim.mayStayUnknown[attempts[d.Attempt].Key.ID] = true
	}
	if mayApply && !op.applied {
		sim.delayed = append(sim.delayed, func() { sim.apply(op.effect, attempts) })
	}
	sim.step(n, failureEvent(op.effect, mayApply || op.applied))
}

// crash restarts a node. Its pending operations may still be applied.
func (sim *simulation) crash(n *simNode) {
	attempts := n.attempts
	for _, op := range n.pending {
		if !op.applied {
			sim.delayed = append(sim.delayed, func() { sim.apply(op.effect, attempts) })
		}
	}
	for a, s := range attempts {
		sim.crashed[a] = true
		sim.mayStayUnknown[s.Key.ID] = true
	}
	n.pending = nil
	sim.start(n)
}

// drain resumes all nodes, applies all operations and lets time pass, so that every
// attempt is answered.
func (sim *simulation) drain() {
	for _, f := range sim.delayed {
		f()
	}
	sim.delayed = nil
	for range 40 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for _, n := range sim.nodes {
			n.paused = false
			sim.step(n, Tick{})
			if read, ok := n.ledger.Poll(0); ok {
				sim.perform(n, read)
			}
			for len(n.pending) > 0 {
				op := n.removePending(0)
				if !op.applied {
					op.answer = sim.apply(op.effect, n.attempts)
				}
				sim.step(n, op.answer)
			}
		}
	}
}

// check verifies the properties that hold at any time.
func (sim *simulation) check(t *rapid.T) {
	for _, err := range []error{verify.AtMostOnce(&sim.history), verify.NotRunNeverExecuted(&sim.history), verify.CompleteOwnAnswer(&sim.history)} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// actions returns the random actions of the simulation.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	drawActive := func(t *rapid.T) *simNode {
		n := rapid.SampledFrom(sim.nodes).Draw(t, "node")
		if n.paused {
			t.Skip("node is paused")
		}
		return n
	}
	drawPending := func(t *rapid.T, n *simNode) int {
		if len(n.pending) == 0 {
			t.Skip("no operation is pending")
		}
		return rapid.IntRange(0, len(n.pending)-1).Draw(t, "operation")
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			n := drawActive(t)
			k := sim.drawKey(t, n)
			digest := "d-" + k.ID
			if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
				digest = "other"
			}
			sim.submit(n, k, digest)
		},
		"take effect": func(t *rapid.T) {
			n := rapid.SampledFrom(sim.nodes).Draw(t, "node")
			i := drawPending(t, n)
			if op := &n.pending[i]; !op.applied {
				op.answer, op.applied = sim.apply(op.effect, n.attempts), true
			}
		},
		"answer": func(t *rapid.T) {
			n := drawActive(t)
			op := n.removePending(drawPending(t, n))
			if !op.applied {
				op.answer = sim.apply(op.effect, n.attempts)
			}
			sim.step(n, op.answer)
		},
		"lose answer":    func(t *rapid.T) { n := drawActive(t); sim.failOperation(n, drawPending(t, n), true) },
		"lose operation": func(t *rapid.T) { n := drawActive(t); sim.failOperation(n, drawPending(t, n), false) },
		"reapply append": func(t *rapid.T) {
			n := rapid.SampledFrom(sim.nodes).Draw(t, "node")
			if op := n.pending[drawPending(t, n)]; op.applied {
				if a, ok := op.effect.(Append); ok {
					sim.apply(a, nil)
				}
			}
		},
		"late effect": func(t *rapid.T) {
			if len(sim.delayed) == 0 {
				t.Skip("no operation is delayed")
			}
			i := rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "delayed")
			f := sim.delayed[i]
			sim.delayed = append(sim.delayed[:i:i], sim.delayed[i+1:]...)
			f()
		},
		"poll": func(t *rapid.T) {
			n := drawActive(t)
			if read, ok := n.ledger.Poll(0); ok {
				sim.perform(n, read)
			}
		},
		"a caller leaves": func(t *rapid.T) {
			n := drawActive(t)
			for _, a := range sortedKeys(n.attempts) {
				if rapid.Bool().Draw(t, "leave") {
					sim.step(n, Cancel{a})
				}
			}
		},
		"pass time": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, n := range sim.nodes {
				if !n.paused {
					sim.step(n, Tick{})
				}
			}
		},
		"pause":  func(t *rapid.T) { drawActive(t).paused = true },
		"resume": func(t *rapid.T) { rapid.SampledFrom(sim.nodes).Draw(t, "node").paused = false },
		"crash": func(t *rapid.T) {
			if sim.droppedEarly {
				t.Skip("a new node relies on the log's retention")
			}
			sim.crash(rapid.SampledFrom(sim.nodes).Draw(t, "node"))
		},
		"drop early": func(t *rapid.T) {
			for _, n := range sim.nodes {
				if n.ledger.shards[0].next == 0 {
					t.Skip("a new node relies on the log's retention")
				}
			}
			if len(sim.log) > 0 && rapid.IntRange(0, 3).Draw(t, "early") == 0 {
				sim.droppedEarly = true
				sim.log, sim.first = sim.log[1:], sim.first+1
			}
		},
		"drop records": func(t *rapid.T) {
			for len(sim.log) > 0 && sim.now.Sub(sim.log[0].Time) > simWindow+2*time.Second {
				sim.log, sim.first = sim.log[1:], sim.first+1
			}
		},
		"long pause": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "long") == 0 {
				sim.now = sim.now.Add(simWindow * 3 / 4)
			}
		},
		"": sim.check,
	}
}

// drawKey returns a key that was used before or a new one, which may be bound to the
// node.
func (sim *simulation) drawKey(t *rapid.T, n *simNode) Key {
	if len(sim.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "new") > 0 {
		return rapid.SampledFrom(sim.keys).Draw(t, "key")
	}
	id := sim.uuid7()
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		id = BindKey(id, n.name, fmt.Sprint("i", n.incarnation))
	}
	k := Key{"kingston", id}
	sim.keys = append(sim.keys, k)
	return k
}

func sortedKeys(m map[string]Submit) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	for i := range keys {
		for j := i; j > 0 && keys[j] < keys[j-1]; j-- {
			keys[j], keys[j-1] = keys[j-1], keys[j]
		}
	}
	return keys
}

// checkHistories runs random histories and drains each of them.
func checkHistories(t *testing.T, fenced bool) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, fenced)
		t.Repeat(sim.actions())
		sim.drain()
		sim.checkNotBlocked(t)
		sim.check(t)
		crashed := func(a string) bool { return sim.crashed[a] }
		if err := verify.AnsweredByDeadline(&sim.history, simAnswerLimit, crashed); err != nil {
			t.Fatal(err)
		}
		for _, n := range sim.nodes {
			if !n.ledger.Idle() {
				t.Fatalf("node %s is not idle: %+v", n.name, n.ledger.Dump())
			}
		}
	})
}

// checkNotBlocked submits once more every key that may still run. A key whose attempts
// have all ended must not stay blocked.
func (sim *simulation) checkNotBlocked(t *rapid.T) {
	for _, k := range sim.keys {
		_, _, bound := Issuer(k.ID)
		n := sim.nodes[0]
		if bound || sim.mayStayUnknown[k.ID] || sim.droppedEarly || n.ledger.checkKey(sim.now.Add(simDeadline), Submit{Key: k}) != "" {
			continue
		}
		digest := "d-" + k.ID
		if state := n.ledger.shardOf(k).keys[k]; state != nil && state.digest != "" {
			digest = state.digest
		}
		sim.submit(n, k, digest)
		sim.drain()
		if ex := sim.executions[k.ID]; ex == nil || !ex.seen {
			t.Fatalf("key %q does not run although all its attempts have ended", k.ID)
		}
	}
}

// simAnswerLimit is the maximum time to an answer. It exceeds the duration of a history,
// because a node can stay paused during all of its steps.
const simAnswerLimit = time.Hour

// TestAtMostOnce guards against a second execution of a key, a wrong "not run" and a lost
// or foreign answer in random histories with lost messages, pauses and crashes.
func TestAtMostOnce(t *testing.T) { checkHistories(t, false) }

// TestAtMostOnceFenced checks the same for a service with fencing numbers, whose calls
// other nodes may take over.
func TestAtMostOnceFenced(t *testing.T) { checkHistories(t, true) }
