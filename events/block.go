package events

import (
	"bytes"
	"fmt"
)

// A block is what a stream has up to an empty line: an event, or comments.
type block struct {
	isEvent bool
	// id is that of the event.
	id int64
}

// Names of the fields of events.
const (
	fieldID    = "id"
	fieldData  = "data"
	fieldType  = "event"
	fieldRetry = "retry"
)

// errorType is the type of events that report a failure of the upstream.
const errorType = "error"

// parseBlock parses a block without its empty line. Each line of an event must be a comment or
// a field, and each event must have one id, which is a number, and data.
func parseBlock(text []byte) (block, error) {
	var b block
	hasID, hasData := false, false
	for line := range bytes.Lines(text) {
		line = bytes.TrimSuffix(line, []byte("\n"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, err := cutField(line)
		if err != nil {
			return block{}, err
		}
		switch name {
		case fieldRetry:
			continue
		case fieldID:
			if hasID {
				return block{}, fmt.Errorf("%w: event has two ids", ErrInvalid)
			}
			if b.id, err = parseID(value); err != nil {
				return block{}, fmt.Errorf("%w: %w", ErrInvalid, err)
			}
			hasID = true
		case fieldData:
			hasData = true
		case fieldType:
			if value == errorType {
				return block{}, fmt.Errorf("%w: event reports an error", ErrInvalid)
			}
		}
		b.isEvent = true
	}
	if b.isEvent && !(hasID && hasData) {
		return block{}, fmt.Errorf("%w: event lacks an id or data", ErrInvalid)
	}
	return b, nil
}

// checkStart returns an error if the start of a block cannot become an event, such as that of
// a page. The last line may not be whole.
func checkStart(text []byte) error {
	for line := range bytes.Lines(text) {
		line, isWhole := bytes.CutSuffix(line, []byte("\n"))
		name, _, hasName := bytes.Cut(line, []byte(":"))
		isField := len(name) == 0 || isFieldName(name)
		if !isField || isWhole && len(name) > 0 && !hasName {
			return fmt.Errorf("%w: line is not a field", ErrInvalid)
		}
	}
	return nil
}

// cutField splits a line into the name and the value of a field.
func cutField(line []byte) (name, value string, err error) {
	before, after, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isFieldName(before) {
		return "", "", fmt.Errorf("%w: line is not a field", ErrInvalid)
	}
	return string(before), string(bytes.TrimSpace(after)), nil
}

// isFieldName reports whether a name may be that of a field: those of events, and of headers
// that an upstream adds to an event, are in lowercase.
func isFieldName(name []byte) bool {
	for _, c := range name {
		isLower, isDigit := 'a' <= c && c <= 'z', '0' <= c && c <= '9'
		if !isLower && !isDigit && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}
