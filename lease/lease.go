// Package lease grants leases through the platform's log. By the log's clock, one
// process at a time holds a lease. A holder can be paused past the end of its lease
// without noticing, so every lease has a fencing number, the position of its grant in
// the log, which only increases. A recipient of orders under a lease refuses lower
// numbers if it can; one that cannot gets only idempotent orders that can be repaired
// (see package order).
//
// A Table folds the stream and is in the same state on every node that has folded the
// same records. A Holder decides when its process requests, renews and releases a
// lease. Both are pure: they take the time as an argument and return data.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"teaselplank/wire"
)

// Stream is the name of the log stream that carries the leases.
const Stream = "leases"

// Term is the duration of a lease after its grant or renewal, by the log's clock.
const Term = 15 * time.Second

// Margin is how long before the end of the lease, by its own clock, a holder stops
// acting. It must exceed the clock skew between two nodes plus the delay until a record
// is read.
const Margin = 5 * time.Second

// renewAfter is the time since the last grant or renewal after which a holder renews.
const renewAfter = 5 * time.Second

// A Claim requests, renews or releases a lease.
type Claim struct {
	// Name is the lease that is claimed.
	Name string `json:"name"`
	// Holder is the claiming process: its node and incarnation.
	Holder string `json:"holder"`
	// Number is the fencing number of the lease that is renewed or released; 0
	// requests a new lease.
	Number int64 `json:"number,omitempty"`
	// Release releases the lease.
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

// A Grant is a lease as recorded in the log.
type Grant struct {
	Holder string `json:"holder"`
	// Number is the fencing number. It is greater than that of any earlier
	// grant of the name.
	Number int64 `json:"number"`
	// End is when the lease ends, by the log's clock.
	End time.Time `json:"end"`
}

// A Table holds the grants of the folded stream. Its zero value has folded nothing.
type Table struct {
	next   int64
	grants map[string]Grant
	// grantsFrom is the time from which new leases are granted. It is set when
	// records were dropped before they were read: a lease that was granted in
	// them may last until then.
	grantsFrom time.Time
}

// NextOffset returns the offset of the next record to read.
func (t *Table) NextOffset() int64 { return t.next }

// Grant returns the last grant of a name. It may have ended.
func (t *Table) Grant(name string) (Grant, bool) {
	g, ok := t.grants[name]
	return g, ok
}

// Fold folds a page of the stream. Old and duplicate pages have no effect.
func (t *Table) Fold(page wire.Page) {
	if t.grants == nil {
		t.grants = make(map[string]Grant)
	}
	if page.First > t.next {
		t.next = page.First
		if len(page.Records) > 0 {
			t.grantsFrom = page.Records[0].Time.Add(Term)
		}
	}
	t.next = page.Each(t.next, t.fold)
}

func (t *Table) fold(r wire.Record) {
	var c Claim
	if err := json.Unmarshal(r.Data, &c); err != nil {
		return // Not a claim; every Table ignores it.
	}
	held, known := t.grants[c.Name]
	current := known && held.Holder == c.Holder && held.Number == c.Number
	switch {
	case c.Number == 0:
		free := !known || !r.Time.Before(held.End)
		if free && !r.Time.Before(t.grantsFrom) {
			t.grants[c.Name] = Grant{c.Holder, r.Offset + 1, r.Time.Add(Term)}
		}
	case !current || r.Time.After(held.End):
		// The lease was granted to another process or has ended.
	case c.Release:
		held.End = r.Time
		t.grants[c.Name] = held
	default:
		held.End = r.Time.Add(Term)
		t.grants[c.Name] = held
	}
}

// A Holder decides when one process requests, renews and releases one lease.
type Holder struct {
	name    string
	process string
	// lastClaim is when the last claim was made.
	lastClaim time.Time
	// released is the number of the last lease that was released. The process no
	// longer acts under it, although the log may not show the release yet.
	released int64
}

// NewHolder returns a holder that has no lease.
func NewHolder(name, process string) *Holder { return &Holder{name: name, process: process} }

// minClaimInterval is the minimum time between two claims of a process.
const minClaimInterval = 2 * time.Second

// Number returns the fencing number under which the process may act now, or 0.
func (h *Holder) Number(now time.Time, table *Table) int64 {
	g, ok := table.Grant(h.name)
	if !ok || g.Holder != h.process || g.Number == h.released || !now.Before(g.End.Add(-Margin)) {
		return 0
	}
	return g.Number
}

// NextClaim returns the claim that the process should append now, if any. A process
// that does not want the lease releases it.
func (h *Holder) NextClaim(now time.Time, table *Table, want bool) (Claim, bool) {
	if now.Sub(h.lastClaim) < minClaimInterval {
		return Claim{}, false
	}
	g, ok := table.Grant(h.name)
	holding := ok && g.Holder == h.process && now.Before(g.End)
	c := Claim{Name: h.name, Holder: h.process}
	switch {
	case holding && !want:
		c.Number, c.Release = g.Number, true
		h.released = g.Number
	case holding && g.Number != h.released && now.Sub(g.End.Add(-Term)) >= renewAfter:
		c.Number = g.Number
	case !holding && want && (!ok || !now.Before(g.End)):
	default:
		return Claim{}, false
	}
	h.lastClaim = now
	return c, true
}
