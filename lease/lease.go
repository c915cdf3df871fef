// Package lease grants leases through the platform's log. A lease is held by one
// process at a time as far as the log's own clock tells; since a holder can be
// paused past its end without noticing, every lease has a fencing number, the
// place of its grant in the log, which only grows. Who gets orders under a lease
// refuses lower numbers where it can; where it cannot, only orders that may be
// repeated and repaired are given (see package order).
//
// A Book folds the stream and is in the same state on every node that has folded
// the same records. A Holder decides when its node asks for, renews and gives up
// a lease. Both are pure: they take the time as an argument and return data.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"teaselplank/wire"
)

// Stream is the name of the log stream that carries the leases.
const Stream = "leases"

// Term is how long a lease lasts after its grant or renewal, by the log's clock.
const Term = 15 * time.Second

// Margin is how long before its end, by its own clock, a holder stops to act. It
// must be more than two clocks differ and a record takes to be read.
const Margin = 5 * time.Second

// renewAfter is the age from which a holder renews its lease.
const renewAfter = 5 * time.Second

// A Claim asks for a lease, renews it or gives it up.
type Claim struct {
	// Name is the lease that is claimed.
	Name string `json:"name"`
	// Holder is the claiming process: its node and incarnation.
	Holder string `json:"holder"`
	// Number is the lease that is renewed or given up; 0 asks for a new one.
	Number int64 `json:"number,omitempty"`
	// Release gives the lease up.
	Release bool `json:"release,omitempty"`
}

// Encode returns the log record of a claim.
func Encode(c Claim) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim of lease %q: %w", c.Name, err)
	}
	return data, nil
}

// A Grant is a lease as the log has it.
type Grant struct {
	Holder string `json:"holder"`
	// Number is the fencing number. It is greater than that of any earlier
	// grant of the name.
	Number int64 `json:"number"`
	// End is by the log's clock.
	End time.Time `json:"end"`
}

// A Book folds the stream. The zero value has folded nothing.
type Book struct {
	next   int64
	grants map[string]Grant
	// synced is the time from which claims count when older records were
	// dropped unread: an unknown lease may last until then.
	synced time.Time
}

// Next returns the offset at which reading has to go on.
func (b *Book) Next() int64 { return b.next }

// Grant returns the last grant of a name, which may have ended.
func (b *Book) Grant(name string) (Grant, bool) {
	g, ok := b.grants[name]
	return g, ok
}

// Fold takes in a page of the stream. Old and repeated pages change nothing.
func (b *Book) Fold(page wire.Page) {
	if b.grants == nil {
		b.grants = make(map[string]Grant)
	}
	if page.First > b.next {
		b.next = page.First
		if len(page.Records) > 0 {
			b.synced = page.Records[0].Time.Add(Term)
		}
	}
	b.next = page.Each(b.next, b.fold)
}

func (b *Book) fold(r wire.Record) {
	var c Claim
	if err := json.Unmarshal(r.Data, &c); err != nil {
		return // Not a claim; every book passes it over.
	}
	held, known := b.grants[c.Name]
	current := known && held.Holder == c.Holder && held.Number == c.Number
	switch {
	case c.Number == 0:
		free := !known || !r.Time.Before(held.End)
		if free && !r.Time.Before(b.synced) {
			b.grants[c.Name] = Grant{c.Holder, r.Offset + 1, r.Time.Add(Term)}
		}
	case !current || r.Time.After(held.End):
		// The lease has gone to another process or has ended.
	case c.Release:
		held.End = r.Time
		b.grants[c.Name] = held
	default:
		held.End = r.Time.Add(Term)
		b.grants[c.Name] = held
	}
}

// A Holder decides for one process about one lease.
type Holder struct {
	name    string
	process string
	// asked is when the last claim was made.
	asked time.Time
	// released is the number of the lease that was given up last. It is not
	// acted under any more, although the log may not show it yet.
	released int64
}

// NewHolder returns a holder that has no lease.
func NewHolder(name, process string) *Holder { return &Holder{name: name, process: process} }

// askEvery is the least time between two claims of a process.
const askEvery = 2 * time.Second

// Number returns the fencing number under which the process may act now, or 0.
func (h *Holder) Number(now time.Time, b *Book) int64 {
	g, ok := b.Grant(h.name)
	if !ok || g.Holder != h.process || g.Number == h.released || !now.Before(g.End.Add(-Margin)) {
		return 0
	}
	return g.Number
}

// Next returns the claim that the process should append now, if any. A process
// that wants no lease gives up the one it holds.
func (h *Holder) Next(now time.Time, b *Book, want bool) (Claim, bool) {
	if now.Sub(h.asked) < askEvery {
		return Claim{}, false
	}
	g, ok := b.Grant(h.name)
	mine := ok && g.Holder == h.process && now.Before(g.End)
	c := Claim{Name: h.name, Holder: h.process}
	switch {
	case mine && !want:
		c.Number, c.Release = g.Number, true
		h.released = g.Number
	case mine && g.Number != h.released && now.Sub(g.End.Add(-Term)) >= renewAfter:
		c.Number = g.Number
	case !mine && want && (!ok || !now.Before(g.End)):
	default:
		return Claim{}, false
	}
	h.asked = now
	return c, true
}
