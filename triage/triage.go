// Package triage puts the log lines of entry hosts together into the story of a
// request: which host decided what, on which inputs, and the first decision after
// which the request could not be served any more.
package triage

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"teaselplank/trace"
)

// A Line is one log line that is about a request.
type Line struct {
	time     time.Time
	source   string
	request  string
	decision trace.Decision
	reason   string
	// inputs are the other fields, by name.
	inputs map[string]any
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Read returns the lines about requests. What stands before a line's JSON, such as
// the name of a host, is its source; a line without any has the source of the one
// before it, or the given one. Lines that are not JSON are passed over.
func Read(r io.Reader, source string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		before, text, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		if name := strings.TrimSpace(string(before)); name != "" {
			source = name[strings.LastIndexByte(name, ' ')+1:]
		}
		if l, ok := parse(append([]byte("{"), text...)); ok {
			l.source = source
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log of %q: %w", source, err)
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, false
	}
	l := Line{inputs: fields}
	l.request = take(fields, "request")
	l.decision = trace.Decision(take(fields, "msg"))
	l.reason = take(fields, "reason")
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	delete(fields, "level")
	l.time = at
	return l, err == nil && l.request != "" && l.decision != ""
}

// take removes a field of text and returns it.
func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Of returns the lines of a request in the order of their time.
func Of(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.request == request {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.time.Compare(b.time) })
	return own
}

// blames are the decisions that keep a request from being served, and whether one
// alone may be made good by a repeat.
var blames = map[trace.Decision]bool{
	trace.FailedAttempt: true, trace.OwnerFailed: true,
	trace.StageRefused: false, trace.StageFailed: false, trace.Replied: false, trace.CutOff: false, trace.Left: false,
}

// Cause returns the first decision after which the request could not be served, or
// false if it was served or its end is not known. An upstream's failure that was
// passed on is a cause of its own.
func Cause(own []Line) (Line, bool) {
	if len(own) == 0 || slices.ContainsFunc(own, Line.served) {
		return Line{}, false
	}
	for i, l := range own {
		if l.decision == trace.Answered {
			return l, true
		}
		repairable, blamed := blames[l.decision]
		if blamed && (!repairable || !repaired(own[i+1:])) {
			return l, true
		}
	}
	return Line{}, false
}

// firstFailure is the least status of answers that are failures.
const firstFailure = 400

// served reports whether the line says that the request was answered well. Numbers
// of JSON are floats; a line without a status counts as well.
func (l Line) served() bool {
	status, _ := l.inputs["status"].(float64)
	return l.decision == trace.Answered && status < firstFailure
}

// repaired reports whether the request was sent again, or an owner took its stage.
func repaired(rest []Line) bool {
	return slices.ContainsFunc(rest, func(l Line) bool { return l.decision == trace.Sent || l.decision == trace.StageAdmitted })
}

// String returns the line as it is printed.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.time.Format("15:04:05.000"), l.source, l.decision)
	if l.reason != "" {
		fmt.Fprintf(&b, " (%s)", l.reason)
	}
	for _, name := range slices.Sorted(maps.Keys(l.inputs)) {
		fmt.Fprintf(&b, " %s=%v", name, l.inputs[name])
	}
	return b.String()
}

// A Count is the number of requests that failed for a cause.
type Count struct {
	// Cause is a decision and its reason.
	Cause string
	Count int
	// Example is one of the requests.
	Example string
}

// Summary counts the failed requests by their first cause, the most frequent first.
func Summary(lines []Line) []Count {
	byRequest := make(map[string][]Line)
	for _, l := range lines {
		byRequest[l.request] = append(byRequest[l.request], l)
	}
	counts := make(map[string]*Count)
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		l, failed := Cause(Of(byRequest[request], request))
		if !failed {
			continue
		}
		name := string(l.decision)
		if l.reason != "" {
			name += ": " + l.reason
		}
		if counts[name] == nil {
			counts[name] = &Count{Cause: name, Example: request}
		}
		counts[name].Count++
	}
	var list []Count
	for _, c := range counts {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Cause, b.Cause))
	})
	return list
}
