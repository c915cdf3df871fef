package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselplank/verify"
	"teaselplank/wire"
)

func TestMain(m *testing.M) {
	verify.Main(m, map[string]string{"rapid.checks": "3000", "rapid.steps": "80"})
}

// An engine takes orders. One that checks refuses lower fencing numbers.
type engine struct {
	number int64
	// orders are the numbers of the orders that were taken.
	orders []int64
}

func (e *engine) order(number int64) {
	if number >= e.number {
		e.number = number
		e.orders = append(e.orders, number)
	}
}

// A process reads the log and gives orders while it holds the lease.
type process struct {
	holder *Holder
	book   *Book
	// held is a number that the process read before it was paused.
	held int64
}

type world struct {
	now       time.Time
	log       []wire.Record
	processes []*process
	engine    engine
	// loose are claims whose append is under way.
	loose []Claim
}

func (w *world) append(t *rapid.T, c Claim) {
	data, err := Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	w.log = append(w.log, wire.Record{Offset: int64(len(w.log)), Time: w.now, Data: data})
}

// check states that numbers which an engine takes never go back, and that two
// processes that have read all never hold the lease at once.
func (w *world) check(t *rapid.T) {
	for i := 1; i < len(w.engine.orders); i++ {
		if w.engine.orders[i] < w.engine.orders[i-1] {
			t.Fatalf("engine took number %d after %d", w.engine.orders[i], w.engine.orders[i-1])
		}
	}
	holders := make(map[int64]string)
	count := 0
	for _, p := range w.processes {
		n := p.holder.Number(w.now, p.book)
		if n == 0 {
			continue
		}
		if other, taken := holders[n]; taken {
			t.Fatalf("processes %s and %s both hold number %d", other, p.holder.process, n)
		}
		holders[n] = p.holder.process
		count++
	}
	if count > 1 {
		t.Fatalf("%d processes hold the lease at once: %v", count, holders)
	}
}

func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1_800_000_000, 0)}
		for i := range 3 {
			w.processes = append(w.processes, &process{holder: NewHolder("zone-a", fmt.Sprint("p", i)), book: new(Book)})
		}
		pick := func(t *rapid.T) *process { return rapid.SampledFrom(w.processes).Draw(t, "process") }
		read := func(p *process) { p.book.Fold(wire.Page{End: int64(len(w.log)), Records: w.log[p.book.Next():]}) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				p := pick(t)
				if c, ok := p.holder.Next(w.now, p.book, rapid.IntRange(0, 5).Draw(t, "want") > 0); ok {
					w.loose = append(w.loose, c)
				}
			},
			"append": func(t *rapid.T) {
				if len(w.loose) == 0 {
					t.Skip("nothing to append")
				}
				i := rapid.IntRange(0, len(w.loose)-1).Draw(t, "claim")
				w.append(t, w.loose[i])
				if rapid.Bool().Draw(t, "once") {
					w.loose = append(w.loose[:i:i], w.loose[i+1:]...)
				}
			},
			"read":  func(t *rapid.T) { read(pick(t)) },
			"pause": func(t *rapid.T) { p := pick(t); p.held = p.holder.Number(w.now, p.book) },
			"order": func(t *rapid.T) {
				p := pick(t)
				if n := p.holder.Number(w.now, p.book); n > 0 {
					w.engine.order(n)
				}
			},
			"order of a woken process": func(t *rapid.T) {
				if p := pick(t); p.held > 0 {
					w.engine.order(p.held)
				}
			},
			"pass time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": w.check,
		})
		w.loose = nil
		w.now = w.now.Add(2 * Term)
		for range 3 {
			for _, p := range w.processes {
				read(p)
				if c, ok := p.holder.Next(w.now, p.book, true); ok {
					w.append(t, c)
				}
			}
		}
		for _, p := range w.processes {
			read(p)
		}
		held := 0
		for _, p := range w.processes {
			if p.holder.Number(w.now, p.book) > 0 {
				held++
			}
		}
		if held != 1 {
			t.Fatalf("%d processes hold the lease in the end", held)
		}
	})
}

func TestDroppedRecords(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	claim := func(offset int64, at time.Time, holder string) wire.Record {
		data, err := Encode(Claim{Name: "zone-a", Holder: holder})
		if err != nil {
			t.Fatal(err)
		}
		return wire.Record{Offset: offset, Time: at, Data: data}
	}
	b := new(Book)
	b.Fold(wire.Page{First: 7, Records: []wire.Record{claim(7, at, "p1"), claim(8, at.Add(Term), "p2")}})
	g, ok := b.Grant("zone-a")
	if !ok || g.Holder != "p2" || g.Number != 9 {
		t.Errorf("grant is %+v, %v: a claim within a term after dropped records must not count", g, ok)
	}
}
