package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// A Key names a call that must run at most once. It belongs to one account.
type Key struct {
	Account string `json:"account"`
	ID      string `json:"key"`
}

// IssueTime returns the time at which a key was issued. The UUID of version 7 contains
// it.
func IssueTime(id string) (time.Time, error) {
	first, _, _ := strings.Cut(id, ".")
	u, err := uuid.Parse(first)
	if err != nil {
		return time.Time{}, fmt.Errorf("key %q: %w", id, err)
	}
	if u.Version() != 7 {
		return time.Time{}, fmt.Errorf("key %q has version %d, not 7", id, u.Version())
	}
	seconds, nanos := u.Time().UnixTime()
	return time.Unix(seconds, nanos), nil
}

// BindKey returns the key that binds id, a UUID of version 7, to an incarnation of a
// node.
func BindKey(id, node, incarnation string) string {
	return id + "." + incarnation + "." + node
}

// Issuer returns the node and the incarnation that issued a key, or ok false
// for a key that is not bound to a node.
func Issuer(id string) (node, incarnation string, ok bool) {
	_, rest, bound := strings.Cut(id, ".")
	if !bound {
		return "", "", false
	}
	incarnation, node, ok = strings.Cut(rest, ".")
	return node, incarnation, ok && node != "" && incarnation != ""
}

// Shard returns the index of the key's shard, given the number of shards.
func (k Key) Shard(shards int) int {
	return int(xxhash.Sum64String(k.Account+"\x00"+k.ID) % uint64(shards))
}

// Digest identifies the service and the body of a call.
func Digest(service string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(service + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// checkKey returns the reason to refuse a key, or an empty reason.
func (l *Ledger) checkKey(now time.Time, s Submit) Reason {
	issued, err := IssueTime(s.Key.ID)
	if err != nil {
		return ReasonBadKey
	}
	if issued.After(now.Add(l.config.MaxSkew)) {
		return ReasonFutureKey
	}
	if !issued.After(now.Add(-l.config.Window)) {
		return ReasonKeyExpired
	}
	if l.mayBeMissing(s.Key) {
		return ReasonKeyExpired
	}
	return ""
}
