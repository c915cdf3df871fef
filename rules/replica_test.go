package rules

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselplank/verify"
	"teaselplank/wire"
)

func TestMain(m *testing.M) {
	verify.Main(m, map[string]string{"rapid.checks": "3000", "rapid.steps": "50"})
}

// A simulation is several replicas that read one log, and a reference replica that has
// read every record, including those that the log has dropped.
type simulation struct {
	log       []wire.Record
	first     int64
	reference Replica
	// rulesByVersion holds the rules of the reference at each version.
	rulesByVersion map[int64]map[string]VersionedRule
	replicas       []*Replica
	names          []string
	history        verify.History
	// pages and checkpoints were taken earlier and may be delivered late.
	pages       []wire.Page
	checkpoints []*Checkpoint
	changes     []*Change
	counter     int
}

func newSimulation(replicas int) *simulation {
	s := &simulation{rulesByVersion: map[int64]map[string]VersionedRule{0: {}}}
	for i := range replicas {
		s.replicas = append(s.replicas, new(Replica))
		s.names = append(s.names, fmt.Sprint(i))
	}
	return s
}

func (s *simulation) append(data []byte) {
	rec := wire.Record{Offset: s.first + int64(len(s.log)), Time: time.Unix(int64(s.counter), 0), Data: data}
	s.log = append(s.log, rec)
	s.reference.Fold(wire.Page{Records: []wire.Record{rec}})
	s.rulesByVersion[s.reference.Version()] = s.reference.rulesByID()
}

func (s *simulation) appendChange(c *Change) {
	data, err := EncodeChange(c)
	if err != nil {
		panic(err)
	}
	s.append(data)
}

func (s *simulation) page(from int64) wire.Page {
	page := wire.Page{First: s.first, End: s.first + int64(len(s.log))}
	for _, rec := range s.log {
		if rec.Offset >= from && len(page.Records) < 4 {
			page.Records = append(page.Records, rec)
		}
	}
	return page
}

// newChange returns a change that edits one or two rules, and at times a pipeline, as
// made by an operator who reads the rules from r.
func (s *simulation) newChange(t *rapid.T, r *Replica) *Change {
	s.counter++
	c := &Change{ID: fmt.Sprint("c", s.counter), Who: "operator", Base: r.Version()}
	texts := r.rulesByID()
	for i := range rapid.IntRange(1, 2).Draw(t, "edits") {
		name := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "name")+i*3)
		old := texts["stage "+name]
		e := Edit{Kind: KindStage, Name: name, Base: old.Version}
		if old.Text == "" || rapid.Bool().Draw(t, "keep") {
			e.Text = fmt.Sprintf("stage %s kind=encoder # change %d", name, s.counter)
		}
		c.Edits = append(c.Edits, e)
	}
	if rapid.IntRange(0, 4).Draw(t, "pipeline") == 0 {
		e := Edit{Kind: KindPipeline, Name: "p", Base: texts["pipeline p"].Version}
		e.Text = fmt.Sprintf("pipeline p stages=s0,s1,s2 deadline=1s # change %d", s.counter)
		c.Edits = append(c.Edits, e)
	}
	return c
}

// checkInvariants checks that the version of no replica decreases, and that the rules
// of every replica are those of its version, whether it read or adopted them.
func (s *simulation) checkInvariants(t *rapid.T) {
	for i, r := range s.replicas {
		s.history.VersionInForce(time.Time{}, s.names[i], r.Version())
		if got, want := r.rulesByID(), s.rulesByVersion[r.Version()]; !reflect.DeepEqual(got, want) {
			t.Fatalf("replica %d at version %d has rules %v, want %v", i, r.Version(), got, want)
		}
	}
	if err := verify.NeverReverts(&s.history); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	index := func(t *rapid.T) int { return rapid.IntRange(0, len(s.replicas)-1).Draw(t, "replica") }
	replica := func(t *rapid.T) *Replica { return s.replicas[index(t)] }
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			c := s.newChange(t, replica(t))
			s.changes = append(s.changes, c)
			s.appendChange(c)
		},
		"publish again": func(t *rapid.T) {
			if len(s.changes) == 0 {
				t.Skip("no change has been published")
			}
			s.appendChange(rapid.SampledFrom(s.changes).Draw(t, "change"))
		},
		"read": func(t *rapid.T) {
			r := replica(t)
			page := s.page(r.Next())
			s.pages = append(s.pages, page)
			r.Fold(page)
		},
		"old page": func(t *rapid.T) {
			if len(s.pages) == 0 {
				t.Skip("no page has been read")
			}
			replica(t).Fold(rapid.SampledFrom(s.pages).Draw(t, "page"))
		},
		"snapshot": func(t *rapid.T) {
			if c := replica(t).Snapshot(); c != nil {
				s.checkpoints = append(s.checkpoints, c)
			}
		},
		"adopt": func(t *rapid.T) {
			if len(s.checkpoints) == 0 {
				t.Skip("no checkpoint has been taken")
			}
			replica(t).Adopt(rapid.SampledFrom(s.checkpoints).Draw(t, "snapshot"))
		},
		"checkpoint": func(t *rapid.T) {
			if len(s.checkpoints) == 0 {
				t.Skip("no checkpoint has been taken")
			}
			data, err := EncodeCheckpoint(rapid.SampledFrom(s.checkpoints).Draw(t, "snapshot"))
			if err != nil {
				t.Fatal(err)
			}
			s.append(data)
		},
		"replace node": func(t *rapid.T) {
			i := index(t)
			s.counter++
			s.replicas[i], s.names[i] = new(Replica), fmt.Sprintf("%d-%d", i, s.counter)
		},
		"drop records": func(t *rapid.T) {
			count := rapid.IntRange(0, len(s.log)).Draw(t, "count")
			s.log, s.first = s.log[count:], s.first+int64(count)
		},
		"garbage": func(*rapid.T) { s.append([]byte("not a record")) },
		"":        s.checkInvariants,
	}
}

// converge publishes a checkpoint of the reference, lets all replicas read the rest of
// the log and checks that they have reached the state of the reference.
func (s *simulation) converge(t *rapid.T) {
	data, err := EncodeCheckpoint(s.reference.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	s.append(data)
	for _, r := range s.replicas {
		for range 100 {
			r.Fold(s.page(r.Next()))
		}
		s.checkInvariants(t)
		if r.Version() != s.reference.Version() || !r.Synced() {
			t.Fatalf("replica has version %d after reading the whole log, want %d", r.Version(), s.reference.Version())
		}
		if r.Next() != s.reference.Next() {
			t.Fatalf("next offset is %d, want %d", r.Next(), s.reference.Next())
		}
	}
}

// TestNeverReverts guards against a replica that goes back to older rules or differs from
// other replicas at the same version. Pages and checkpoints arrive late or twice, records
// are dropped and malformed, and nodes are replaced.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3)
		t.Repeat(s.actions())
		s.checkInvariants(t)
		s.converge(t)
	})
}

// fold returns a new replica that has folded the changes in order.
func fold(changes ...*Change) *Replica {
	r := new(Replica)
	for i, c := range changes {
		data, err := EncodeChange(c)
		if err != nil {
			panic(err)
		}
		r.Fold(wire.Page{Records: []wire.Record{{Offset: int64(i), Data: data}}})
	}
	return r
}

func stageEdit(name string, base int64, comment string) Edit {
	return Edit{Kind: KindStage, Name: name, Base: base, Text: "stage " + name + " kind=encoder # " + comment}
}

// TestRaces checks that a change is refused if a rule has changed since it was read, and
// that a late retry of a change has no effect.
func TestRaces(t *testing.T) {
	add := &Change{ID: "add", Edits: []Edit{stageEdit("a", 0, "first")}}
	remove := &Change{ID: "remove", Base: 1, Edits: []Edit{{Kind: KindStage, Name: "a", Base: 1}}}
	pipeline := Edit{Kind: KindPipeline, Name: "p", Text: "pipeline p stages=a,a,a deadline=1s # x"}
	tests := []struct {
		name    string
		changes []*Change
		id      string
		want    bool
		version int64
	}{
		{"first change", []*Change{add}, "add", true, 1},
		{"same rule edited from the same version", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("a", 0, "second")}}}, "b", false, 1},
		{"same rule edited from the new version", []*Change{add, {ID: "b", Base: 1, Edits: []Edit{stageEdit("a", 1, "second")}}}, "b", true, 2},
		{"other rule edited from an old version", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("b", 0, "second")}}}, "b", true, 2},
		{"one of two edits conflicts", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("b", 0, "x"), stageEdit("a", 0, "y")}}}, "b", false, 1},
		{"duplicate append", []*Change{add, add}, "add", true, 1},
		{"removed rule is not restored by a late retry", []*Change{add, remove, {ID: "late", Base: 0, Edits: add.Edits}}, "late", false, 2},
		{"removed rule is added again", []*Change{add, remove, {ID: "c", Base: 2, Edits: []Edit{stageEdit("a", 0, "again")}}}, "c", true, 3},
		{"reference to a removed rule", []*Change{add, remove, {ID: "p", Base: 1, Edits: []Edit{pipeline}}}, "p", false, 2},
		{"removal of a rule in use", []*Change{add, {ID: "p", Base: 1, Edits: []Edit{pipeline}}, {ID: "r", Base: 2, Edits: remove.Edits}}, "r", false, 2},
		{"no edits", []*Change{{ID: "none"}}, "none", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := fold(test.changes...)
			v, ok := r.Verdict(test.id)
			if !ok || v.Accepted != test.want {
				t.Errorf("verdict is %+v, want accepted = %v", v, test.want)
			}
			if !v.Accepted && v.Reason == "" {
				t.Errorf("refusal has no reason: %+v", v)
			}
			if r.Version() != test.version {
				t.Errorf("version is %d, want %d", r.Version(), test.version)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	r := fold(&Change{ID: "x", Edits: []Edit{stageEdit("a", 0, "1"), stageEdit("b", 0, "1")}})
	text := Format(r.Version(), r.rulesByID())
	if base, ok := BaseVersion(text); !ok || base != 1 {
		t.Errorf("base version is %d, %v; want 1, true", base, ok)
	}
	edited := "# version: 1\nstage a kind=encoder # 1\nstage c kind=retriever # new\n"
	lines, err := Parse("f", edited)
	if err != nil {
		t.Fatal(err)
	}
	edits := Diff(r.rulesByID(), lines)
	var got []string
	for _, e := range edits {
		data, _ := json.Marshal(e)
		got = append(got, string(data))
	}
	sort.Strings(got)
	want := []string{
		`{"kind":"stage","name":"b","base":1}`,
		`{"kind":"stage","name":"c","base":0,"text":"stage c kind=retriever # new"}`,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("edits are %q, want %q", got, want)
	}
}
