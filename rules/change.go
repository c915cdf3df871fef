package rules

import (
	"fmt"
	"slices"
)

// An Edit changes, adds or removes one rule.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the version of the rule that the operator edited; 0 means
	// that the rule did not exist.
	Base int64 `json:"base"`
	// Text is the rule's new line; empty removes it.
	Text string `json:"text,omitempty"`
}

// A Change is a published set of edits that are accepted or refused together.
type Change struct {
	// ID is chosen by the publisher and makes repeated appends idempotent.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the version of the whole book that the operator read.
	Base  int64  `json:"base"`
	Edits []Edit `json:"edits"`
}

// A Verdict says what became of a change.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Version is the place of the change in the log: its offset and 1.
	Version int64 `json:"version"`
	// Reason names why the change was refused.
	Reason string `json:"reason,omitempty"`
	// Conflicts are the rules that had been changed since, as they stand.
	Conflicts []Held `json:"conflicts,omitempty"`
}

// A Held is a rule in force together with its version, that of the last accepted
// change that touched it.
type Held struct {
	Text    string `json:"text"`
	Version int64  `json:"version"`
}

// Verdict returns what became of a change.
func (b *Book) Verdict(id string) (Verdict, bool) { return b.verdicts.Get(id) }

// foldChange accepts a change when every rule that it touches still has the
// version it was edited from and the resulting set is consistent.
func (b *Book) foldChange(version int64, c *Change) {
	if _, seen := b.verdicts.Get(c.ID); seen {
		return
	}
	v := Verdict{ID: c.ID, Version: version}
	lines, set, err := b.apply(version, c, &v)
	if err != nil {
		v.Reason = err.Error()
	} else {
		v.Accepted = true
		b.accept(version, c, lines, set)
	}
	b.verdicts.Limit = keptVerdicts
	b.verdicts.Put(c.ID, v)
}

func (b *Book) accept(version int64, c *Change, lines map[ID]held, set *Set) {
	b.lines, b.set, b.version = lines, set, version
	if b.removed == nil {
		b.removed = make(map[ID]int64)
	}
	for _, e := range c.Edits {
		if e.Text == "" {
			b.removed[ID{e.Kind, e.Name}] = version
		} else {
			delete(b.removed, ID{e.Kind, e.Name})
		}
	}
	b.forgetRemovals()
	b.remember()
}

// forgetRemovals keeps the removals bounded by raising the floor.
func (b *Book) forgetRemovals() {
	if len(b.removed) <= keptRemovals {
		return
	}
	versions := make([]int64, 0, len(b.removed))
	for _, v := range b.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	b.floor = versions[len(versions)/2]
	for id, v := range b.removed {
		if v <= b.floor {
			delete(b.removed, id)
		}
	}
}

func (b *Book) apply(version int64, c *Change, v *Verdict) (map[ID]held, *Set, error) {
	if len(c.Edits) == 0 {
		return nil, nil, fmt.Errorf("change %q has no edits", c.ID)
	}
	for _, e := range c.Edits {
		id := ID{e.Kind, e.Name}
		if b.versionOf(id) != e.Base || b.removedSince(id, c.Base) {
			v.Conflicts = append(v.Conflicts, Held{b.textOf(id), b.versionOf(id)})
		}
	}
	if len(v.Conflicts) > 0 {
		return nil, nil, fmt.Errorf("%d rules have changed since they were read", len(v.Conflicts))
	}
	lines := make(map[ID]held, len(b.lines)+len(c.Edits))
	for id, h := range b.lines {
		lines[id] = h
	}
	for _, e := range c.Edits {
		if err := applyEdit(lines, version, e); err != nil {
			return nil, nil, err
		}
	}
	set, err := Compile(sortedLines(lines))
	if err != nil {
		return nil, nil, fmt.Errorf("rules after the change: %w", err)
	}
	return lines, set, nil
}

func applyEdit(lines map[ID]held, version int64, e Edit) error {
	id := ID{e.Kind, e.Name}
	if e.Text == "" {
		if _, ok := lines[id]; !ok {
			return fmt.Errorf("rule %q does not exist", id)
		}
		delete(lines, id)
		return nil
	}
	l, err := ParseLine(e.Text)
	if err != nil {
		return fmt.Errorf("rule %q: %w", id, err)
	}
	if l.ID != id {
		return fmt.Errorf("edit of rule %q has the text of rule %q", id, l.ID)
	}
	lines[id] = held{l, version}
	return nil
}

// removedSince reports whether the rule is absent and may have been removed
// after the given version of the book. Without it, a late repeat of the change
// that added a rule would bring the rule back after its removal.
func (b *Book) removedSince(id ID, version int64) bool {
	if _, exists := b.lines[id]; exists {
		return false
	}
	return version < b.floor || b.removed[id] > version
}

// versionOf returns the version of a rule: of its last change or, for a rule
// that does not exist, 0.
func (b *Book) versionOf(id ID) int64 { return b.lines[id].version }

func (b *Book) textOf(id ID) string {
	if h, ok := b.lines[id]; ok {
		return h.line.Text
	}
	return fmt.Sprintf("# rule %q was removed at version %d", id, b.removed[id])
}
