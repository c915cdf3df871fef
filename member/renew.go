package member

import (
	"encoding/binary"

	"github.com/google/uuid"
)

// Incarnations sort by the time when their processes started, by the clocks of their machines. If such
// a clock is set back between two starts of a node, other nodes would take the second process for the
// older one, and ignore it until they forget the first. A node that learns of an incarnation of itself
// that sorts after its own therefore takes a later one.

// renew takes an incarnation that sorts after one that another node knows of this node, unless its own
// does already.
func (g *Group) renew(known string) {
	if known <= g.self.Incarnation {
		return
	}
	if later, ok := laterIncarnation(known, g.self.Incarnation); ok {
		g.self.Incarnation = later
		g.emit(Changed{})
	}
}

// laterIncarnation returns an incarnation that sorts after a known one and differs from one process to
// another, as own does. Both must be version 7 UUIDs, which begin with 48 bits of milliseconds.
func laterIncarnation(known, own string) (later string, ok bool) {
	k, err := uuid.Parse(known)
	if err != nil {
		return "", false
	}
	o, err := uuid.Parse(own)
	if err != nil {
		return "", false
	}
	const timeBits = 48
	stamp := binary.BigEndian.Uint64(k[:8]) >> (64 - timeBits)
	rest := binary.BigEndian.Uint64(o[:8]) & (1<<(64-timeBits) - 1)
	binary.BigEndian.PutUint64(o[:8], (stamp+1)<<(64-timeBits)|rest)
	later = o.String()
	return later, later > known
}
