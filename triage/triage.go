// Package triage reconstructs the history of a request from the logs of entry hosts:
// which host made which decisions, with which attributes, and the first decision after
// which the request could no longer be served.
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

// A Line is one log line about a request.
type Line struct {
	time     time.Time
	source   string
	request  string
	decision trace.Decision
	reason   string
	// attrs holds the other fields by name.
	attrs map[string]any
}

// maxLine is the maximum size of a log line in bytes.
const maxLine = 1 << 20

// Read returns the lines about requests. The last word before a line's JSON, such as
// the name of a host, is its source. A line without such a prefix has the source of
// the line before it, or the given source if there is none. Read skips lines that are
// not JSON.
func Read(r io.Reader, source string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		prefix, rest, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		if name := strings.TrimSpace(string(prefix)); name != "" {
			source = name[strings.LastIndexByte(name, ' ')+1:]
		}
		if l, ok := parse(append([]byte("{"), rest...)); ok {
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
	l := Line{attrs: fields}
	l.request = removeString(fields, "request")
	l.decision = trace.Decision(removeString(fields, "msg"))
	l.reason = removeString(fields, "reason")
	at, err := time.Parse(time.RFC3339Nano, removeString(fields, "time"))
	delete(fields, "level")
	l.time = at
	return l, err == nil && l.request != "" && l.decision != ""
}

// removeString removes a field and returns its value, or "" if it is not a string.
func removeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// ForRequest returns the lines of a request sorted by time.
func ForRequest(lines []Line, request string) []Line {
	var matching []Line
	for _, l := range lines {
		if l.request == request {
			matching = append(matching, l)
		}
	}
	slices.SortStableFunc(matching, func(a, b Line) int { return a.time.Compare(b.time) })
	return matching
}

// failureDecisions holds the decisions that can prevent a request from being served.
// The value is true if a retry can still make the request succeed.
var failureDecisions = map[trace.Decision]bool{
	trace.AttemptFailed: true, trace.OwnerFailed: true,
	trace.StageRefused: false, trace.StageFailed: false, trace.Replied: false, trace.AnswerAborted: false, trace.ClientLeft: false,
}

// FirstCause returns the first decision after which the request could not be served.
// It returns false if the request was served or the lines show no failure, for example
// because its end is missing. An error status that was passed on from an upstream to
// the client is also a cause.
func FirstCause(lines []Line) (Line, bool) {
	if len(lines) == 0 || slices.ContainsFunc(lines, Line.succeeded) {
		return Line{}, false
	}
	for i, l := range lines {
		if l.decision == trace.Answered {
			return l, true
		}
		retryable, failed := failureDecisions[l.decision]
		if failed && (!retryable || !recovered(lines[i+1:])) {
			return l, true
		}
	}
	return Line{}, false
}

// minFailureStatus is the lowest status that counts as a failure.
const minFailureStatus = 400

// succeeded reports whether the line records a successful answer. JSON numbers decode
// as floats. A missing status counts as success.
func (l Line) succeeded() bool {
	status, _ := l.attrs["status"].(float64)
	return l.decision == trace.Answered && status < minFailureStatus
}

// recovered reports whether the request was sent again or an owner admitted its stage.
func recovered(rest []Line) bool {
	return slices.ContainsFunc(rest, func(l Line) bool { return l.decision == trace.Sent || l.decision == trace.StageAdmitted })
}

// String returns the line in the format of the explain command.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.time.Format("15:04:05.000"), l.source, l.decision)
	if l.reason != "" {
		fmt.Fprintf(&b, " (%s)", l.reason)
	}
	for _, name := range slices.Sorted(maps.Keys(l.attrs)) {
		fmt.Fprintf(&b, " %s=%v", name, l.attrs[name])
	}
	return b.String()
}

// A Count is the number of requests that failed for the same cause.
type Count struct {
	// Cause is a decision and its reason.
	Cause string
	Count int
	// Example is one of the requests.
	Example string
}

// Summary counts the failed requests by their first cause, most frequent first.
func Summary(lines []Line) []Count {
	byRequest := make(map[string][]Line)
	for _, l := range lines {
		byRequest[l.request] = append(byRequest[l.request], l)
	}
	counts := make(map[string]*Count)
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		l, failed := FirstCause(ForRequest(byRequest[request], request))
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
