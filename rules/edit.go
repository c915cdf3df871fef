package rules

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"teaselplank/wire"
)

const versionHeader = "# version: "

// Format returns the rules as a file whose first line names their version.
func Format(version int64, texts map[string]Held) string {
	lines := make([]string, 0, len(texts))
	for _, h := range texts {
		lines = append(lines, h.Text)
	}
	sort.Strings(lines)
	var out strings.Builder
	fmt.Fprintf(&out, "%s%d\n", versionHeader, version)
	for _, l := range lines {
		out.WriteString(l + "\n")
	}
	return out.String()
}

// Base returns the version that a file was edited from, as its first line
// names it. A file without one was not edited from any version.
func Base(text string) (version int64, ok bool) {
	first, _, _ := strings.Cut(text, "\n")
	number, found := strings.CutPrefix(strings.TrimSpace(first), versionHeader)
	if !found {
		return 0, false
	}
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0, false
	}
	return version, true
}

// Diff returns the edits that lead from the rules of a version to those of a
// file.
func Diff(base map[string]Held, lines []*Line) []Edit {
	var edits []Edit
	named := make(map[string]bool, len(lines))
	for _, l := range lines {
		key := l.ID.String()
		named[key] = true
		old := base[key]
		if old.Text != l.Text {
			edits = append(edits, Edit{Kind: l.ID.Kind, Name: l.ID.Name, Base: old.Version, Text: l.Text})
		}
	}
	for key, old := range base {
		if !named[key] {
			id := parseID(key)
			edits = append(edits, Edit{Kind: id.Kind, Name: id.Name, Base: old.Version})
		}
	}
	sort.Slice(edits, func(i, j int) bool {
		a, b := edits[i], edits[j]
		return ID{a.Kind, a.Name}.String() < ID{b.Kind, b.Name}.String()
	})
	return edits
}

// A LogEntry describes one record of the rules stream for people.
type LogEntry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Who    string    `json:"who,omitempty"`
	// Verdict is "accepted", "refused" with the reason, or "checkpoint".
	Verdict string   `json:"verdict"`
	Edits   []string `json:"edits,omitempty"`
}

// Describe returns what a record says and what became of it according to a book
// that has folded it.
func Describe(b *Book, r wire.Record) (LogEntry, error) {
	e := LogEntry{Offset: r.Offset, Time: r.Time}
	var decoded record
	if err := json.Unmarshal(r.Data, &decoded); err != nil {
		return e, fmt.Errorf("record %d of stream %q: %w", r.Offset, Stream, err)
	}
	if decoded.Change == nil {
		e.Verdict = "checkpoint"
		return e, nil
	}
	e.Who = decoded.Change.Who
	v, known := b.Verdict(decoded.Change.ID)
	switch {
	case !known:
		e.Verdict = "verdict is no longer known"
	case v.Accepted:
		e.Verdict = "accepted"
	default:
		e.Verdict = "refused: " + v.Reason
	}
	for _, edit := range decoded.Change.Edits {
		text := "+ " + edit.Text
		if edit.Text == "" {
			text = "- " + ID{edit.Kind, edit.Name}.String()
		}
		e.Edits = append(e.Edits, text)
	}
	return e, nil
}
