package poison

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// refresh derives the groups from the suspects if these have changed.
func (d *Detector) refresh() {
	if !d.stale {
		return
	}
	d.stale, d.groups = false, nil
	d.byPart = make(map[string][][]string)
	alike := d.alike()
	for _, set := range alike {
		if d.explained(set[0], alike) {
			continue
		}
		for _, g := range d.byRequest(set) {
			slices.Sort(g)
			d.groups = append(d.groups, g)
			d.byPart[g[0]] = append(d.byPart[g[0]], g)
		}
	}
	slices.SortFunc(d.groups, slices.Compare)
}

// apartWeight is the weight from which requests that cannot be told apart are held back each by
// itself: two more processes have ended than suffice to suspect them.
const apartWeight = poisonWeight + 2*Begun

// byRequest returns what of a set of parts with the same cases one request can have. No request
// has several digests, so a set with several holds nothing back until its weight is large.
func (d *Detector) byRequest(set []string) [][]string {
	byDigest := make(map[string][]string)
	var parts []string
	for _, part := range set {
		if digest := digestOf(part); digest != "" {
			byDigest[digest] = append(byDigest[digest], part)
			continue
		}
		parts = append(parts, part)
	}
	switch {
	case len(byDigest) <= 1:
		return [][]string{set}
	case d.suspects[set[0]].weight < apartWeight:
		return nil
	}
	var groups [][]string
	for _, whole := range byDigest {
		groups = append(groups, append(whole, parts...))
	}
	return groups
}

// alike returns the poisonous parts in sets of those that have the same cases.
func (d *Detector) alike() [][]string {
	byCases := make(map[string][]string)
	for part, s := range d.suspects {
		if s.poisonous() {
			cases := s.describe()
			byCases[cases] = append(byCases[cases], part)
		}
	}
	return slices.Collect(maps.Values(byCases))
}

// describe returns a text that is the same for parts with the same cases.
func (s *suspect) describe() string {
	var cases []string
	for p, w := range s.cases {
		cases = append(cases, fmt.Sprintf("%q/%d/%d", p.ID, p.Born, w))
	}
	slices.Sort(cases)
	return strings.Join(cases, " ")
}

// explained reports whether one of the sets of parts has all cases of a part and more, or, for
// a whole request, several of them that have more cases each.
func (d *Detector) explained(part string, alike [][]string) bool {
	s := d.suspects[part]
	explains := func(others []string) bool {
		o := d.suspects[others[0]]
		return o != s && coversAll(o.cases, s.cases) && !coversAll(s.cases, o.cases)
	}
	return slices.ContainsFunc(alike, explains) || isWhole(part) && d.explainedTogether(s, alike)
}

// explainedTogether reports whether each process of a suspect has a case of a heavier one.
func (d *Detector) explainedTogether(s *suspect, alike [][]string) bool {
	for p := range s.cases {
		isHeavier := func(others []string) bool {
			o := d.suspects[others[0]]
			return o.weight > s.weight && o.cases[p] > Refuted
		}
		if !slices.ContainsFunc(alike, isHeavier) {
			return false
		}
	}
	return true
}

// coversAll reports whether a has all cases of b, none of them with a lower weight.
func coversAll(a, b map[Process]Weight) bool {
	if len(a) < len(b) {
		return false
	}
	for p, w := range b {
		if a[p] < w {
			return false
		}
	}
	return true
}
