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

// An engine accepts orders and refuses lower fencing numbers.
type engine struct {
	number int64
	// orders are the numbers of the accepted orders.
	orders []int64
}

func (e *engine) acceptOrder(number int64) {
	if number >= e.number {
		e.number = number
		e.orders = append(e.orders, number)
	}
}

// A process reads the log and gives orders while it holds the lease.
type process struct {
	holder *Holder
	table  *Table
	// staleNumber is the number that the process held when it was paused.
	staleNumber int64
}

type simulation struct {
	now       time.Time
	log       []wire.Record
	processes []*process
	engine    engine
	// inFlight are claims whose append is in flight.
	inFlight []Claim
}

func (sim *simulation) append(t *rapid.T, c Claim) {
	data, err := Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	sim.log = append(sim.log, wire.Record{Offset: int64(len(sim.log)), Time: sim.now, Data: data})
}

// check verifies that the numbers which the engine accepts never decrease, and that at
// most one process holds the lease, whatever each has read.
func (sim *simulation) check(t *rapid.T) {
	for i := 1; i < len(sim.engine.orders); i++ {
		if sim.engine.orders[i] < sim.engine.orders[i-1] {
			t.Fatalf("engine accepted number %d after %d", sim.engine.orders[i], sim.engine.orders[i-1])
		}
	}
	holders := make(map[int64]string)
	count := 0
	for _, p := range sim.processes {
		n := p.holder.Number(sim.now, p.table)
		if n == 0 {
			continue
		}
		if other, dup := holders[n]; dup {
			t.Fatalf("processes %s and %s both hold number %d", other, p.holder.process, n)
		}
		holders[n] = p.holder.process
		count++
	}
	if count > 1 {
		t.Fatalf("%d processes hold the lease at the same time: %v", count, holders)
	}
}

// TestLease guards against two holders of a lease at the same time and against a lease
// that stays free, in random histories with delayed and duplicate appends and paused
// processes.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: time.Unix(1_800_000_000, 0)}
		for i := range 3 {
			sim.processes = append(sim.processes, &process{holder: NewHolder("zone-a", fmt.Sprint("p", i)), table: new(Table)})
		}
		drawProcess := func(t *rapid.T) *process { return rapid.SampledFrom(sim.processes).Draw(t, "process") }
		read := func(p *process) {
			p.table.Fold(wire.Page{End: int64(len(sim.log)), Records: sim.log[p.table.NextOffset():]})
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				p := drawProcess(t)
				if c, ok := p.holder.NextClaim(sim.now, p.table, rapid.IntRange(0, 5).Draw(t, "want") > 0); ok {
					sim.inFlight = append(sim.inFlight, c)
				}
			},
			"append": func(t *rapid.T) {
				if len(sim.inFlight) == 0 {
					t.Skip("nothing to append")
				}
				i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "claim")
				sim.append(t, sim.inFlight[i])
				if rapid.Bool().Draw(t, "once") {
					sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
				}
			},
			"read":  func(t *rapid.T) { read(drawProcess(t)) },
			"pause": func(t *rapid.T) { p := drawProcess(t); p.staleNumber = p.holder.Number(sim.now, p.table) },
			"order": func(t *rapid.T) {
				p := drawProcess(t)
				if n := p.holder.Number(sim.now, p.table); n > 0 {
					sim.engine.acceptOrder(n)
				}
			},
			"order of a resumed process": func(t *rapid.T) {
				if p := drawProcess(t); p.staleNumber > 0 {
					sim.engine.acceptOrder(p.staleNumber)
				}
			},
			"pass time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": sim.check,
		})
		sim.inFlight = nil
		sim.now = sim.now.Add(2 * Term)
		for range 3 {
			for _, p := range sim.processes {
				read(p)
				if c, ok := p.holder.NextClaim(sim.now, p.table, true); ok {
					sim.append(t, c)
				}
			}
		}
		for _, p := range sim.processes {
			read(p)
		}
		held := 0
		for _, p := range sim.processes {
			if p.holder.Number(sim.now, p.table) > 0 {
				held++
			}
		}
		if held != 1 {
			t.Fatalf("%d processes hold the lease at the end, want 1", held)
		}
	})
}

// TestDroppedRecords guards against a second holder after records were dropped unread: a
// lease granted in them may still be valid.
func TestDroppedRecords(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	claim := func(offset int64, at time.Time, holder string) wire.Record {
		data, err := Encode(Claim{Name: "zone-a", Holder: holder})
		if err != nil {
			t.Fatal(err)
		}
		return wire.Record{Offset: offset, Time: at, Data: data}
	}
	table := new(Table)
	table.Fold(wire.Page{First: 7, Records: []wire.Record{claim(7, at, "p1"), claim(8, at.Add(Term), "p2")}})
	g, ok := table.Grant("zone-a")
	if !ok || g.Holder != "p2" || g.Number != 9 {
		t.Errorf("grant is %+v, %v; want number 9 of p2: a claim less than a term after dropped records gets no lease", g, ok)
	}
}
