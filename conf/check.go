package conf

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// An Error is one error in a settings file.
type Error struct {
	File string
	// Line is 0 for a missing key.
	Line    int
	Section string
	Key     string
	Message string
}

// Error returns the location and the message.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	name := "[" + e.Section + "]"
	if e.Key != "" {
		name += " " + e.Key
	}
	return location + ": " + name + ": " + e.Message
}

// Errors are all errors of a file.
type Errors []*Error

// Error returns one error per line.
func (errs Errors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// A keyPath names a key within a section, or the section itself if key is empty.
type keyPath struct{ section, key string }

// findLines returns the line numbers of all sections and keys. The entry of a section
// has an empty key. A duplicate key has the line of its first occurrence.
func findLines(text string) map[keyPath]int {
	lines := make(map[keyPath]int)
	section := ""
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			lines[keyPath{section, ""}] = i + 1
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		p := keyPath{section, strings.TrimSpace(key)}
		if lines[p] == 0 {
			lines[p] = i + 1
		}
	}
	return lines
}

// A setting is a known key and the function that parses and stores its value.
type setting struct {
	section  string
	key      string
	required bool
	parse    func(value string) error
}

// A checker validates a file and collects its errors.
type checker struct {
	file   string
	lines  map[keyPath]int
	parsed *ini.File
	errors Errors
}

// newChecker parses the text of a settings file.
func newChecker(file string, data []byte) (*checker, error) {
	if len(data) > maxFileBytes {
		return nil, Errors{{File: file, Message: fmt.Sprintf("file size of %d bytes exceeds the limit of %d", len(data), maxFileBytes)}}
	}
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, Errors{{File: file, Message: err.Error()}}
	}
	return &checker{file: file, lines: findLines(string(data)), parsed: parsed}, nil
}

// err returns all errors in the order of their lines, or nil.
func (c *checker) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	sort.SliceStable(c.errors, func(i, j int) bool { return c.errors[i].Line < c.errors[j].Line })
	return c.errors
}

func (c *checker) addError(section, key, message string) {
	c.errors = append(c.errors, &Error{c.file, c.lines[keyPath{section, key}], section, key, message})
}

// check parses and stores the settings and reports unknown sections and keys.
func (c *checker) check(settings []setting) {
	known := make(map[keyPath]bool)
	sections := make(map[string]bool)
	for _, s := range settings {
		known[keyPath{s.section, s.key}] = true
		sections[s.section] = true
		c.apply(s)
	}
	for _, section := range c.parsed.Sections() {
		if !sections[section.Name()] && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			c.addError(section.Name(), "", "section does not exist")
			continue
		}
		for _, key := range section.Keys() {
			if !known[keyPath{section.Name(), key.Name()}] {
				c.addError(section.Name(), key.Name(), "key does not exist")
			}
		}
	}
}

func (c *checker) apply(s setting) {
	section, err := c.parsed.GetSection(s.section)
	if err != nil || !section.HasKey(s.key) {
		if s.required {
			c.addError(s.section, s.key, "key is missing")
		}
		return
	}
	value := section.Key(s.key).String()
	if err := s.parse(value); err != nil {
		c.addError(s.section, s.key, err.Error())
	}
}
