package rules

import (
	"fmt"
	"strings"
)

// Parse returns the rules of a file in file order, or all of its errors as Errors.
// It validates each line separately; Compile validates the lines together.
func Parse(file, text string) ([]*Line, error) {
	var errs Errors
	if len(text) > MaxFileBytes {
		pos := Position{File: file, Line: 1, Column: 1}
		return nil, Errors{{pos, fmt.Sprintf("file has %d bytes, more than %d", len(text), MaxFileBytes)}}
	}
	var lines []*Line
	first := make(map[ID]Position)
	for i, raw := range strings.Split(text, "\n") {
		l, lineErrs := parseLine(Position{File: file, Line: i + 1, Column: 1}, strings.TrimSuffix(raw, "\r"))
		errs = append(errs, lineErrs...)
		if l == nil {
			continue
		}
		if previous, duplicate := first[l.ID]; duplicate {
			errs = append(errs, &Error{l.Pos, fmt.Sprintf("rule %q is already defined at %s", l.ID, previous)})
			continue
		}
		first[l.ID] = l.Pos
		lines = append(lines, l)
	}
	if err := errs.errorOrNil(); err != nil {
		return nil, err
	}
	return lines, nil
}

// ParseLine parses a single rule, such as the text of an Edit.
func ParseLine(text string) (*Line, error) {
	l, errs := parseLine(Position{File: "change", Line: 1, Column: 1}, text)
	if err := errs.errorOrNil(); err != nil {
		return nil, err
	}
	if l == nil || strings.ContainsAny(text, "\n\r") {
		return nil, fmt.Errorf("text %q is not one rule", text)
	}
	return l, nil
}

// A word is a sequence of bytes without white space, with its column.
type word struct {
	text   string
	column int
}

func splitWords(text string) []word {
	var words []word
	start := -1
	for i := 0; i <= len(text); i++ {
		space := i == len(text) || text[i] == ' ' || text[i] == '\t'
		if space && start >= 0 {
			words = append(words, word{text[start:i], start + 1})
			start = -1
		}
		if !space && start < 0 {
			start = i
		}
	}
	return words
}

// parseLine returns the rule of one line, or nil for a line without a rule.
func parseLine(pos Position, raw string) (*Line, Errors) {
	at := func(column int) Position {
		return Position{File: pos.File, Line: pos.Line, Column: column}
	}
	if len(raw) > MaxLineBytes {
		return nil, Errors{{at(1), fmt.Sprintf("line has %d bytes, more than %d", len(raw), MaxLineBytes)}}
	}
	body, comment, hasComment := strings.Cut(raw, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return nil, nil
	}
	var errs Errors
	who := strings.Join(strings.Fields(comment), " ")
	if who == "" {
		column := len(raw) + 1
		if hasComment {
			column = len(body) + 1
		}
		errs = append(errs, &Error{at(column), "rule has no comment that names who asked for it"})
	}
	kind := Kind(words[0].text)
	specs, known := schema[kind]
	if !known {
		message := fmt.Sprintf("kind of rule %q does not exist", words[0].text)
		return nil, append(errs, &Error{at(words[0].column), message})
	}
	if len(words) < 2 {
		message := fmt.Sprintf("rule of kind %q has no name", kind)
		return nil, append(errs, &Error{at(words[0].column), message})
	}
	if err := checkName(words[1].text); err != nil {
		errs = append(errs, &Error{at(words[1].column), err.Error()})
	}
	l := &Line{ID: ID{kind, words[1].text}, Who: who, Pos: at(words[0].column)}
	var attrErrs Errors
	l.attrs, attrErrs = parseAttrs(kind, specs, words[2:], at)
	errs = append(errs, attrErrs...)
	for _, s := range specs {
		if _, ok := l.attrs[s.name]; s.required && !ok {
			message := fmt.Sprintf("rule %q has no attribute %q", l.ID, s.name)
			errs = append(errs, &Error{at(words[0].column), message})
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	l.Text = canonical(words, who)
	return l, nil
}

func parseAttrs(kind Kind, specs []attrSpec, words []word, at func(int) Position) (map[string]attr, Errors) {
	var errs Errors
	attrs := make(map[string]attr, len(words))
	for _, w := range words {
		name, value, ok := strings.Cut(w.text, "=")
		if !ok {
			errs = append(errs, &Error{at(w.column), fmt.Sprintf("%q is not of the form name=value", w.text)})
			continue
		}
		s, known := findAttrSpec(specs, name)
		if !known {
			message := fmt.Sprintf("attribute %q does not exist for kind %q", name, kind)
			errs = append(errs, &Error{at(w.column), message})
			continue
		}
		if _, duplicate := attrs[name]; duplicate {
			errs = append(errs, &Error{at(w.column), fmt.Sprintf("attribute %q is given twice", name)})
			continue
		}
		attrs[name] = attr{value, at(w.column)}
		if err := s.check(value); err != nil {
			column := w.column + len(name) + 1
			errs = append(errs, &Error{at(column), fmt.Sprintf("attribute %q: %v", name, err)})
		}
	}
	return attrs, errs
}

func findAttrSpec(specs []attrSpec, name string) (attrSpec, bool) {
	for _, s := range specs {
		if s.name == name {
			return s, true
		}
	}
	return attrSpec{}, false
}

func canonical(words []word, who string) string {
	texts := make([]string, len(words))
	for i, w := range words {
		texts[i] = w.text
	}
	return strings.Join(texts, " ") + " # " + who
}
