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

// A world is several ledgers that share one log and one upstream. Every append,
// read, dispatch and lookup waits until the test lets it take effect, lets its
// answer arrive or loses either.
type world struct {
	now     time.Time
	fenced  bool
	nodes   []*worldNode
	log     []wire.Record
	first   int64
	history verify.History
	// loose are operations that may still take effect although nobody waits
	// for their answer any more.
	loose []func()
	runs  map[string]*run
	keys  []Key
	count int
	// gone are the attempts whose node has crashed.
	gone map[string]bool
	// stuck are the keys whose outcome may stay unknown.
	stuck map[string]bool
	// early is true once records were dropped before their time.
	early bool
}

// A run is what the upstream knows of a key.
type run struct {
	bar    int64
	output string
	seen   bool
}

type worldNode struct {
	name        string
	incarnation int
	ledger      *Ledger
	paused      bool
	pending     []operation
	attempts    map[string]Submit
}

// An operation is an effect under way. Without a node it has nobody to answer.
type operation struct {
	effect Effect
	// done is true once it has taken effect; answer is then set.
	done   bool
	answer Event
}

const (
	worldWindow   = time.Minute
	worldDeadline = 2 * time.Second
	worldTakeover = 500 * time.Millisecond
)

func newWorld(nodes int, fenced bool) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), fenced: fenced,
		runs: make(map[string]*run), gone: make(map[string]bool), stuck: make(map[string]bool),
	}
	for i := range nodes {
		n := &worldNode{name: fmt.Sprintf("n%d", i)}
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) start(n *worldNode) {
	n.incarnation++
	config := DefaultConfig()
	config.Node, config.Incarnation = n.name, fmt.Sprint("i", n.incarnation)
	config.Shards, config.Window, config.MaxSkew = 1, worldWindow, time.Second
	config.Retention = worldWindow + 2*time.Second
	config.TakeoverAfter = worldTakeover
	n.ledger = New(config)
	n.attempts = make(map[string]Submit)
	n.paused = false
}

// uuid7 returns a UUID of version 7 made at the world's time.
func (w *world) uuid7() string {
	w.count++
	var u uuid.UUID
	ms := uint64(w.now.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	u[14], u[15] = byte(w.count>>8), byte(w.count)
	return u.String()
}

func (w *world) step(n *worldNode, e Event) {
	for _, effect := range n.ledger.Step(w.now, e) {
		w.perform(n, effect)
	}
}

func (w *world) perform(n *worldNode, effect Effect) {
	if a, ok := effect.(Answer); ok {
		s := n.attempts[a.Attempt]
		w.history.Answered(w.now, a.Attempt, s.Key.ID, a.Outcome, a.Result.Output)
		return
	}
	n.pending = append(n.pending, operation{effect: effect})
}

func output(digest string) string { return "receipt of " + digest }

// submit asks a node for a key.
func (w *world) submit(n *worldNode, k Key, digest string) {
	w.count++
	s := Submit{
		Attempt: fmt.Sprintf("a%d", w.count), Key: k, Service: "filing", Digest: digest,
		Fenced: w.fenced, Deadline: w.now.Add(worldDeadline),
	}
	n.attempts[s.Attempt] = s
	w.history.Asked(w.now, s.Attempt, k.ID, digest, output(digest))
	w.step(n, s)
}

// execute runs a call at the upstream, unless its number is refused.
func (w *world) execute(s Submit, number int64) (string, bool) {
	r := w.runs[s.Key.ID]
	if r == nil {
		r = &run{}
		w.runs[s.Key.ID] = r
	}
	if w.fenced && number < r.bar {
		return "", false
	}
	w.history.Executed(w.now, s.Attempt, s.Key.ID, s.Digest)
	r.bar, r.seen, r.output = max(r.bar, number), true, output(s.Digest)
	return r.output, true
}

// takeEffect lets an operation of a node take effect and returns its answer.
func (w *world) takeEffect(effect Effect, attempts map[string]Submit) Event {
	switch e := effect.(type) {
	case Append:
		data, err := EncodeBatch(e.Entries)
		if err != nil {
			panic(err)
		}
		offset := w.first + int64(len(w.log))
		w.log = append(w.log, wire.Record{Offset: offset, Time: w.now, Data: data})
		return Appended{e.Shard, e.Batch, offset}
	case Read:
		return Folded{e.Shard, w.page(e.From)}
	case Dispatch:
		s := attempts[e.Attempt]
		text, ok := w.execute(s, e.Number)
		if !ok {
			return Finished{Attempt: e.Attempt, Outcome: wire.NotRun}
		}
		return Finished{Attempt: e.Attempt, Outcome: wire.Done, Result: Result{200, text}}
	case Lookup:
		r := w.runs[e.Key.ID]
		if r == nil {
			r = &run{}
			w.runs[e.Key.ID] = r
		}
		if e.Number < r.bar {
			return LookedUp{Attempt: e.Attempt, Failed: true}
		}
		r.bar = e.Number
		return LookedUp{Attempt: e.Attempt, Status: wire.ServiceStatus{Seen: r.seen, Finished: r.seen, Output: r.output}}
	}
	panic(fmt.Sprintf("no such effect: %T", effect))
}

func (w *world) page(from int64) wire.Page {
	p := wire.Page{First: w.first, End: w.first + int64(len(w.log))}
	for _, r := range w.log {
		if r.Offset >= from && len(p.Records) < 3 {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// failure returns what a node is told of an operation whose answer is lost.
func failure(effect Effect, reached bool) Event {
	switch e := effect.(type) {
	case Append:
		return AppendFailed{e.Shard, e.Batch}
	case Read:
		return ReadFailed{e.Shard}
	case Dispatch:
		if reached {
			return Finished{Attempt: e.Attempt, Outcome: wire.Unknown}
		}
		return Finished{Attempt: e.Attempt, Outcome: wire.NotRun}
	case Lookup:
		return LookedUp{Attempt: e.Attempt, Failed: true}
	}
	panic(fmt.Sprintf("no such effect: %T", effect))
}

// take removes a pending operation.
func (n *worldNode) take(i int) operation {
	op := n.pending[i]
	n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
	return op
}

// lose loses an operation or its answer. What has not taken effect may do so
// later, except a dispatch that is reported as not sent.
func (w *world) lose(n *worldNode, i int, later bool) {
	op := n.take(i)
	attempts := n.attempts
	if d, ok := op.effect.(Dispatch); ok && (later || op.done) {
		w.stuck[attempts[d.Attempt].Key.ID] = true
	}
	if later && !op.done {
		w.loose = append(w.loose, func() { w.takeEffect(op.effect, attempts) })
	}
	w.step(n, failure(op.effect, later || op.done))
}

// crash restarts a node. What it had under way may still take effect.
func (w *world) crash(n *worldNode) {
	attempts := n.attempts
	for _, op := range n.pending {
		if !op.done {
			w.loose = append(w.loose, func() { w.takeEffect(op.effect, attempts) })
		}
	}
	for a, s := range attempts {
		w.gone[a] = true
		w.stuck[s.Key.ID] = true
	}
	n.pending = nil
	w.start(n)
}

// settle lets everything take effect and time pass until all is answered.
func (w *world) settle() {
	for _, f := range w.loose {
		f()
	}
	w.loose = nil
	for range 40 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, n := range w.nodes {
			n.paused = false
			w.step(n, Tick{})
			if read, ok := n.ledger.Poll(0); ok {
				w.perform(n, read)
			}
			for len(n.pending) > 0 {
				op := n.take(0)
				if !op.done {
					op.answer = w.takeEffect(op.effect, n.attempts)
				}
				w.step(n, op.answer)
			}
		}
	}
}

// check applies the properties.
func (w *world) check(t *rapid.T) {
	for _, err := range []error{verify.AtMostOnce(&w.history), verify.NotRunDidNotRun(&w.history), verify.OwnWholeAnswer(&w.history)} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// actions returns what may happen to the world at any moment.
func (w *world) actions() map[string]func(*rapid.T) {
	awake := func(t *rapid.T) *worldNode {
		n := rapid.SampledFrom(w.nodes).Draw(t, "node")
		if n.paused {
			t.Skip("node is paused")
		}
		return n
	}
	pending := func(t *rapid.T, n *worldNode) int {
		if len(n.pending) == 0 {
			t.Skip("nothing is under way")
		}
		return rapid.IntRange(0, len(n.pending)-1).Draw(t, "operation")
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			n := awake(t)
			k := w.key(t, n)
			digest := "d-" + k.ID
			if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
				digest = "other"
			}
			w.submit(n, k, digest)
		},
		"take effect": func(t *rapid.T) {
			n := rapid.SampledFrom(w.nodes).Draw(t, "node")
			i := pending(t, n)
			if op := &n.pending[i]; !op.done {
				op.answer, op.done = w.takeEffect(op.effect, n.attempts), true
			}
		},
		"answer": func(t *rapid.T) {
			n := awake(t)
			op := n.take(pending(t, n))
			if !op.done {
				op.answer = w.takeEffect(op.effect, n.attempts)
			}
			w.step(n, op.answer)
		},
		"lose answer":    func(t *rapid.T) { n := awake(t); w.lose(n, pending(t, n), true) },
		"lose operation": func(t *rapid.T) { n := awake(t); w.lose(n, pending(t, n), false) },
		"repeat append": func(t *rapid.T) {
			n := rapid.SampledFrom(w.nodes).Draw(t, "node")
			if op := n.pending[pending(t, n)]; op.done {
				if a, ok := op.effect.(Append); ok {
					w.takeEffect(a, nil)
				}
			}
		},
		"late effect": func(t *rapid.T) {
			if len(w.loose) == 0 {
				t.Skip("nothing is loose")
			}
			i := rapid.IntRange(0, len(w.loose)-1).Draw(t, "loose")
			f := w.loose[i]
			w.loose = append(w.loose[:i:i], w.loose[i+1:]...)
			f()
		},
		"poll": func(t *rapid.T) {
			n := awake(t)
			if read, ok := n.ledger.Poll(0); ok {
				w.perform(n, read)
			}
		},
		"abandon": func(t *rapid.T) {
			n := awake(t)
			for _, a := range sortedKeys(n.attempts) {
				if rapid.Bool().Draw(t, "leave") {
					w.step(n, Abandon{a})
				}
			}
		},
		"pass time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, n := range w.nodes {
				if !n.paused {
					w.step(n, Tick{})
				}
			}
		},
		"pause":  func(t *rapid.T) { awake(t).paused = true },
		"resume": func(t *rapid.T) { rapid.SampledFrom(w.nodes).Draw(t, "node").paused = false },
		"crash": func(t *rapid.T) {
			if w.early {
				t.Skip("a new node relies on the log's retention")
			}
			w.crash(rapid.SampledFrom(w.nodes).Draw(t, "node"))
		},
		"drop early": func(t *rapid.T) {
			for _, n := range w.nodes {
				if n.ledger.shards[0].next == 0 {
					t.Skip("a new node relies on the log's retention")
				}
			}
			if len(w.log) > 0 && rapid.IntRange(0, 3).Draw(t, "early") == 0 {
				w.early = true
				w.log, w.first = w.log[1:], w.first+1
			}
		},
		"drop records": func(t *rapid.T) {
			for len(w.log) > 0 && w.now.Sub(w.log[0].Time) > worldWindow+2*time.Second {
				w.log, w.first = w.log[1:], w.first+1
			}
		},
		"long pause": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "long") == 0 {
				w.now = w.now.Add(worldWindow * 3 / 4)
			}
		},
		"": w.check,
	}
}

// key returns a key that was used before or a new one, which the node may issue.
func (w *world) key(t *rapid.T, n *worldNode) Key {
	if len(w.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "new") > 0 {
		return rapid.SampledFrom(w.keys).Draw(t, "key")
	}
	id := w.uuid7()
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		id = BindKey(id, n.name, fmt.Sprint("i", n.incarnation))
	}
	k := Key{"kingston", id}
	w.keys = append(w.keys, k)
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

// checkHistories runs random histories and lets each of them settle.
func checkHistories(t *testing.T, fenced bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, fenced)
		t.Repeat(w.actions())
		w.settle()
		w.checkRunsAgain(t)
		w.check(t)
		gone := func(a string) bool { return w.gone[a] }
		if err := verify.AnsweredByDeadline(&w.history, worldSlack, gone); err != nil {
			t.Fatal(err)
		}
		for _, n := range w.nodes {
			if !n.ledger.Idle() {
				t.Fatalf("node %s is not idle: %+v", n.name, n.ledger.Dump())
			}
		}
	})
}

// checkRunsAgain asks once more for every key that may still run. A key whose
// attempts have all given up must not stay blocked.
func (w *world) checkRunsAgain(t *rapid.T) {
	for _, k := range w.keys {
		_, _, bound := Issuer(k.ID)
		n := w.nodes[0]
		if bound || w.stuck[k.ID] || w.early || n.ledger.checkKey(w.now.Add(worldDeadline), Submit{Key: k}) != "" {
			continue
		}
		digest := "d-" + k.ID
		if state := n.ledger.shardOf(k).keys[k]; state != nil && state.digest != "" {
			digest = state.digest
		}
		w.submit(n, k, digest)
		w.settle()
		if r := w.runs[k.ID]; r == nil || !r.seen {
			t.Fatalf("key %q does not run although all its attempts have given up", k.ID)
		}
	}
}

// worldSlack is the longest that an answer may take: a paused node cannot answer,
// and the test lets at most all of its steps pass.
const worldSlack = time.Hour

func TestAtMostOnce(t *testing.T) { checkHistories(t, false) }

func TestAtMostOnceFenced(t *testing.T) { checkHistories(t, true) }
