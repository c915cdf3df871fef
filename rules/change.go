package rules

import (
	"fmt"
	"slices"
)

// An Edit changes, adds or removes one rule.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the version of the rule that the operator edited, or 0 if the rule did
	// not exist.
	Base int64 `json:"base"`
	// Text is the new line of the rule. An empty Text removes the rule.
	Text string `json:"text,omitempty"`
}

// A Change is a published set of edits that is accepted or refused as a whole.
type Change struct {
	// ID is chosen by the publisher and makes retries of the append idempotent.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the version of the whole rule set that the operator read.
	Base  int64  `json:"base"`
	Edits []Edit `json:"edits"`
}

// A Verdict is the result of a change.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Version is the offset of the change in the log plus 1.
	Version int64 `json:"version"`
	// Reason states why the change was refused.
	Reason string `json:"reason,omitempty"`
	// Conflicts holds the current form of the rules that changed since they were read.
	Conflicts []VersionedRule `json:"conflicts,omitempty"`
}

// A VersionedRule is a rule in force and its version: the version of the last accepted
// change to the rule.
type VersionedRule struct {
	Text    string `json:"text"`
	Version int64  `json:"version"`
}

// Verdict returns the verdict on a change, and whether one is retained.
func (r *Replica) Verdict(id string) (Verdict, bool) { return r.verdicts.Get(id) }

// foldChange accepts a change if every rule it edits still has the version it was
// edited from and the resulting set is consistent.
func (r *Replica) foldChange(version int64, c *Change) {
	if _, seen := r.verdicts.Get(c.ID); seen {
		return
	}
	v := Verdict{ID: c.ID, Version: version}
	lines, set, err := r.apply(version, c, &v)
	if err != nil {
		v.Reason = err.Error()
	} else {
		v.Accepted = true
		r.commit(version, c, lines, set)
	}
	r.verdicts.Limit = maxVerdicts
	r.verdicts.Put(c.ID, v)
}

func (r *Replica) commit(version int64, c *Change, lines map[ID]versionedLine, set *Set) {
	r.lines, r.set, r.version = lines, set, version
	if r.removed == nil {
		r.removed = make(map[ID]int64)
	}
	for _, e := range c.Edits {
		if e.Text == "" {
			r.removed[ID{e.Kind, e.Name}] = version
		} else {
			delete(r.removed, ID{e.Kind, e.Name})
		}
	}
	r.pruneRemovals()
	r.storeVersion()
}

// pruneRemovals limits the number of retained removals by raising removalFloor.
func (r *Replica) pruneRemovals() {
	if len(r.removed) <= maxRemovals {
		return
	}
	versions := make([]int64, 0, len(r.removed))
	for _, v := range r.removed {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	r.removalFloor = versions[len(versions)/2]
	for id, v := range r.removed {
		if v <= r.removalFloor {
			delete(r.removed, id)
		}
	}
}

func (r *Replica) apply(version int64, c *Change, v *Verdict) (map[ID]versionedLine, *Set, error) {
	if len(c.Edits) == 0 {
		return nil, nil, fmt.Errorf("change %q has no edits", c.ID)
	}
	for _, e := range c.Edits {
		id := ID{e.Kind, e.Name}
		if r.ruleVersion(id) != e.Base || r.removedSince(id, c.Base) {
			v.Conflicts = append(v.Conflicts, VersionedRule{r.ruleText(id), r.ruleVersion(id)})
		}
	}
	if len(v.Conflicts) > 0 {
		return nil, nil, fmt.Errorf("%d rules have changed since they were read", len(v.Conflicts))
	}
	lines := make(map[ID]versionedLine, len(r.lines)+len(c.Edits))
	for id, l := range r.lines {
		lines[id] = l
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

func applyEdit(lines map[ID]versionedLine, version int64, e Edit) error {
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
	lines[id] = versionedLine{l, version}
	return nil
}

// removedSince reports whether the rule is absent and may have been removed after the
// given version of the rule set. Without this check, a late retry of the change that
// added a rule would restore the rule after its removal.
func (r *Replica) removedSince(id ID, version int64) bool {
	if _, exists := r.lines[id]; exists {
		return false
	}
	return version < r.removalFloor || r.removed[id] > version
}

// ruleVersion returns the version of the last change to a rule, or 0 if the rule does
// not exist.
func (r *Replica) ruleVersion(id ID) int64 { return r.lines[id].version }

func (r *Replica) ruleText(id ID) string {
	if l, ok := r.lines[id]; ok {
		return l.line.Text
	}
	return fmt.Sprintf("# rule %q was removed at version %d", id, r.removed[id])
}
