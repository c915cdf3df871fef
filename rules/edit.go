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

// Format returns the rules as a file whose first line states their version.
func Format(version int64, texts map[string]VersionedRule) string {
	lines := make([]string, 0, len(texts))
	for _, rule := range texts {
		lines = append(lines, rule.Text)
	}
	sort.Strings(lines)
	var out strings.Builder
	fmt.Fprintf(&out, "%s%d\n", versionHeader, version)
	for _, l := range lines {
		out.WriteString(l + "\n")
	}
	return out.String()
}

// BaseVersion returns the version that a file was edited from, as stated by its first
// line; ok is false if the first line states no version.
func BaseVersion(text string) (version int64, ok bool) {
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

// Diff returns the edits that turn the rules of a version into those of a file.
func Diff(base map[string]VersionedRule, lines []*Line) []Edit {
	var edits []Edit
	inFile := make(map[string]bool, len(lines))
	for _, l := range lines {
		key := l.ID.String()
		inFile[key] = true
		baseRule := base[key]
		if baseRule.Text != l.Text {
			edits = append(edits, Edit{Kind: l.ID.Kind, Name: l.ID.Name, Base: baseRule.Version, Text: l.Text})
		}
	}
	for key, baseRule := range base {
		if !inFile[key] {
			id := parseID(key)
			edits = append(edits, Edit{Kind: id.Kind, Name: id.Name, Base: baseRule.Version})
		}
	}
	sort.Slice(edits, func(i, j int) bool {
		a, b := edits[i], edits[j]
		return ID{a.Kind, a.Name}.String() < ID{b.Kind, b.Name}.String()
	})
	return edits
}

// A LogEntry is a human-readable description of a record of the rules stream.
type LogEntry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Who    string    `json:"who,omitempty"`
	// Verdict is "accepted", "refused" with the reason, or "checkpoint". It says so
	// if the verdict on a change is no longer known.
	Verdict string   `json:"verdict"`
	Edits   []string `json:"edits,omitempty"`
}

// Describe returns the description of a record, with the verdict of a replica that has
// folded it.
func Describe(r *Replica, rec wire.Record) (LogEntry, error) {
	e := LogEntry{Offset: rec.Offset, Time: rec.Time}
	var decoded record
	if err := json.Unmarshal(rec.Data, &decoded); err != nil {
		return e, fmt.Errorf("record %d of stream %q: %w", rec.Offset, Stream, err)
	}
	if decoded.Change == nil {
		e.Verdict = "checkpoint"
		return e, nil
	}
	e.Who = decoded.Change.Who
	v, known := r.Verdict(decoded.Change.ID)
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
