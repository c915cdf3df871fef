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

// A stage is several books that read one log, and a reference that has read every
// record, also those that the log has dropped.
type publication struct {
	log       []wire.Record
	first     int64
	reference Book
	// states are the reference's rules by version.
	states  map[int64]map[string]Held
	books   []*Book
	names   []string
	history verify.History
	// pages and snapshots were taken earlier and may turn up late.
	pages     []wire.Page
	snapshots []*Checkpoint
	changes   []*Change
	count     int
}

func newPublication(books int) *publication {
	p := &publication{states: map[int64]map[string]Held{0: {}}}
	for i := range books {
		p.books = append(p.books, new(Book))
		p.names = append(p.names, fmt.Sprint(i))
	}
	return p
}

func (p *publication) append(data []byte) {
	r := wire.Record{Offset: p.first + int64(len(p.log)), Time: time.Unix(int64(p.count), 0), Data: data}
	p.log = append(p.log, r)
	p.reference.Fold(wire.Page{Records: []wire.Record{r}})
	p.states[p.reference.Version()] = p.reference.texts()
}

func (p *publication) appendChange(c *Change) {
	data, err := EncodeChange(c)
	if err != nil {
		panic(err)
	}
	p.append(data)
}

func (p *publication) page(from int64) wire.Page {
	page := wire.Page{First: p.first, End: p.first + int64(len(p.log))}
	for _, r := range p.log {
		if r.Offset >= from && len(page.Records) < 4 {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// edit returns a change of one or two rules as an operator who reads the book
// would make it.
func (p *publication) edit(t *rapid.T, b *Book) *Change {
	p.count++
	c := &Change{ID: fmt.Sprint("c", p.count), Who: "operator", Base: b.Version()}
	texts := b.texts()
	for i := range rapid.IntRange(1, 2).Draw(t, "edits") {
		name := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "name")+i*3)
		old := texts["stage "+name]
		e := Edit{Kind: KindStage, Name: name, Base: old.Version}
		if old.Text == "" || rapid.Bool().Draw(t, "keep") {
			e.Text = fmt.Sprintf("stage %s kind=encoder # change %d", name, p.count)
		}
		c.Edits = append(c.Edits, e)
	}
	if rapid.IntRange(0, 4).Draw(t, "pipeline") == 0 {
		e := Edit{Kind: KindPipeline, Name: "p", Base: texts["pipeline p"].Version}
		e.Text = fmt.Sprintf("pipeline p stages=s0,s1,s2 deadline=1s # change %d", p.count)
		c.Edits = append(c.Edits, e)
	}
	return c
}

// check applies the properties: no node goes back, and the rules of every node
// are those of its version, whichever way it came by them.
func (p *publication) check(t *rapid.T) {
	for i, b := range p.books {
		p.history.InForce(time.Time{}, p.names[i], b.Version())
		if got, want := b.texts(), p.states[b.Version()]; !reflect.DeepEqual(got, want) {
			t.Fatalf("book %d has at version %d the rules %v, want %v", i, b.Version(), got, want)
		}
	}
	if err := verify.NeverReverts(&p.history); err != nil {
		t.Fatal(err)
	}
}

func (p *publication) actions() map[string]func(*rapid.T) {
	index := func(t *rapid.T) int { return rapid.IntRange(0, len(p.books)-1).Draw(t, "book") }
	book := func(t *rapid.T) *Book { return p.books[index(t)] }
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			c := p.edit(t, book(t))
			p.changes = append(p.changes, c)
			p.appendChange(c)
		},
		"publish again": func(t *rapid.T) {
			if len(p.changes) == 0 {
				t.Skip("nothing was published")
			}
			p.appendChange(rapid.SampledFrom(p.changes).Draw(t, "change"))
		},
		"read": func(t *rapid.T) {
			b := book(t)
			page := p.page(b.Next())
			p.pages = append(p.pages, page)
			b.Fold(page)
		},
		"old page": func(t *rapid.T) {
			if len(p.pages) == 0 {
				t.Skip("no page was read")
			}
			book(t).Fold(rapid.SampledFrom(p.pages).Draw(t, "page"))
		},
		"snapshot": func(t *rapid.T) {
			if c := book(t).Snapshot(); c != nil {
				p.snapshots = append(p.snapshots, c)
			}
		},
		"adopt": func(t *rapid.T) {
			if len(p.snapshots) == 0 {
				t.Skip("no snapshot was taken")
			}
			book(t).Adopt(rapid.SampledFrom(p.snapshots).Draw(t, "snapshot"))
		},
		"checkpoint": func(t *rapid.T) {
			if len(p.snapshots) == 0 {
				t.Skip("no snapshot was taken")
			}
			data, err := EncodeCheckpoint(rapid.SampledFrom(p.snapshots).Draw(t, "snapshot"))
			if err != nil {
				t.Fatal(err)
			}
			p.append(data)
		},
		"replace node": func(t *rapid.T) {
			i := index(t)
			p.count++
			p.books[i], p.names[i] = new(Book), fmt.Sprintf("%d-%d", i, p.count)
		},
		"drop records": func(t *rapid.T) {
			count := rapid.IntRange(0, len(p.log)).Draw(t, "count")
			p.log, p.first = p.log[count:], p.first+int64(count)
		},
		"garbage": func(*rapid.T) { p.append([]byte("not a record")) },
		"":        p.check,
	}
}

// settle publishes a checkpoint if some book can, and lets all books read.
func (p *publication) settle(t *rapid.T) {
	data, err := EncodeCheckpoint(p.reference.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	p.append(data)
	for _, b := range p.books {
		for range 100 {
			b.Fold(p.page(b.Next()))
		}
		p.check(t)
		if b.Version() != p.reference.Version() || !b.Synced() {
			t.Fatalf("book has version %d after it has read all, want %d", b.Version(), p.reference.Version())
		}
		if b.Next() != p.reference.Next() {
			t.Fatalf("book is at %d, want %d", b.Next(), p.reference.Next())
		}
	}
}

func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPublication(3)
		t.Repeat(p.actions())
		p.check(t)
		p.settle(t)
	})
}

// fold folds changes one after the other into a new book.
func fold(changes ...*Change) *Book {
	b := new(Book)
	for i, c := range changes {
		data, err := EncodeChange(c)
		if err != nil {
			panic(err)
		}
		b.Fold(wire.Page{Records: []wire.Record{{Offset: int64(i), Data: data}}})
	}
	return b
}

func stageEdit(name string, base int64, comment string) Edit {
	return Edit{Kind: KindStage, Name: name, Base: base, Text: "stage " + name + " kind=encoder # " + comment}
}

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
		{"first", []*Change{add}, "add", true, 1},
		{"same rule from the same version", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("a", 0, "second")}}}, "b", false, 1},
		{"same rule from the new version", []*Change{add, {ID: "b", Base: 1, Edits: []Edit{stageEdit("a", 1, "second")}}}, "b", true, 2},
		{"other rule from an old version", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("b", 0, "second")}}}, "b", true, 2},
		{"one of two edits lost", []*Change{add, {ID: "b", Base: 0, Edits: []Edit{stageEdit("b", 0, "x"), stageEdit("a", 0, "y")}}}, "b", false, 1},
		{"repeated append", []*Change{add, add}, "add", true, 1},
		{"removed rule is not brought back by a late repeat", []*Change{add, remove, {ID: "late", Base: 0, Edits: add.Edits}}, "late", false, 2},
		{"removed rule added anew", []*Change{add, remove, {ID: "c", Base: 2, Edits: []Edit{stageEdit("a", 0, "again")}}}, "c", true, 3},
		{"refers to a rule removed meanwhile", []*Change{add, remove, {ID: "p", Base: 1, Edits: []Edit{pipeline}}}, "p", false, 2},
		{"removes a rule in use", []*Change{add, {ID: "p", Base: 1, Edits: []Edit{pipeline}}, {ID: "r", Base: 2, Edits: remove.Edits}}, "r", false, 2},
		{"no edits", []*Change{{ID: "none"}}, "none", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := fold(test.changes...)
			v, ok := b.Verdict(test.id)
			if !ok || v.Accepted != test.want {
				t.Errorf("verdict is %+v, want accepted %v", v, test.want)
			}
			if !v.Accepted && v.Reason == "" {
				t.Errorf("refusal has no reason: %+v", v)
			}
			if b.Version() != test.version {
				t.Errorf("version is %d, want %d", b.Version(), test.version)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	b := fold(&Change{ID: "x", Edits: []Edit{stageEdit("a", 0, "1"), stageEdit("b", 0, "1")}})
	text := Format(b.Version(), b.texts())
	if base, ok := Base(text); !ok || base != 1 {
		t.Errorf("base is %d, %v", base, ok)
	}
	edited := "# version: 1\nstage a kind=encoder # 1\nstage c kind=retriever # new\n"
	lines, err := Parse("f", edited)
	if err != nil {
		t.Fatal(err)
	}
	edits := Diff(b.texts(), lines)
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
