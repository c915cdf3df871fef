// Package conf reads and validates the settings of a node from an INI file. It
// reports all errors of a file at once, each with its file, line, section and key.
// Unknown sections and keys are errors.
package conf

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"teaselplank/core"
)

// Settings holds the validated settings of a node.
type Settings struct {
	// Node and Zone name the node.
	Node string
	Zone string
	// Callers, Peers and Operators are the listen addresses: an IP address
	// and a port. The node also announces Peers to other nodes.
	Callers   string
	Peers     string
	Operators string
	// PlatformURL is the URL of the platform's services.
	PlatformURL     string
	PlatformTimeout time.Duration
	// PeerToken and OperatorToken are the credentials of the peer and operator
	// listeners.
	PeerToken     string
	OperatorToken string
	// LogFormat is "text" or "json".
	LogFormat string
	// DrainLag is how long a node that is shutting down still accepts calls,
	// because the load balancer still sends them.
	DrainLag time.Duration
	// DrainLimit bounds how long a node that is shutting down waits for calls
	// in flight.
	DrainLimit time.Duration
	// MaxBody bounds the body of a caller's request in bytes.
	MaxBody int64
	// MaxCalls bounds the calls in flight.
	MaxCalls int
	// Core is the configuration of the node's reducer.
	Core core.Config
}

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

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse parses and validates the text of a settings file.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{
		PlatformTimeout: 2 * time.Second,
		LogFormat:       "text",
		DrainLag:        2 * time.Second,
		DrainLimit:      time.Minute,
		MaxBody:         1 << 20,
		MaxCalls:        4096,
		Core:            core.DefaultConfig(),
	}
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	c.check(s.schema())
	c.checkRetention(s)
	if err := c.err(); err != nil {
		return nil, err
	}
	s.fillCore()
	return s, nil
}

// fillCore copies the settings that several parts of the reducer need into the
// configuration of each part.
func (s *Settings) fillCore() {
	s.Core.Member.Self.ID = s.Node
	s.Core.Member.Self.Zone = s.Zone
	s.Core.Member.Self.Addr = s.Peers
	s.Core.Ledger.Node = s.Node
	s.Core.Ledger.Retention = s.Core.Retention
	s.Core.Route.Node = s.Node
	s.Core.Route.Zone = s.Zone
}

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

// checkRetention checks that the log keeps records for as long as idempotency keys
// are accepted.
func (c *checker) checkRetention(s *Settings) {
	if w, r := s.Core.Ledger.Window+2*s.Core.Ledger.MaxSkew, s.Core.Retention; w > r {
		message := fmt.Sprintf("window plus twice max_skew is %s, which exceeds the log's retention of %s", w, r)
		c.addError("ledger", "window", message)
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

func nonEmpty(dst *string) func(string) error {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("value is empty")
		}
		*dst = value
		return nil
	}
}

func oneOf(dst *string, choices ...string) func(string) error {
	return func(value string) error {
		for _, c := range choices {
			if value == c {
				*dst = value
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

func address(dst *string) func(string) error {
	return func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an IP address and a port", value)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return fmt.Errorf("port %q is out of range: want 1 to 65535", port)
		}
		*dst = value
		return nil
	}
}

func addresses(dst *[]string) func(string) error {
	return func(value string) error {
		for _, part := range strings.Split(value, ",") {
			var addr string
			if err := address(&addr)(strings.TrimSpace(part)); err != nil {
				return err
			}
			*dst = append(*dst, addr)
		}
		return nil
	}
}

func httpURL(dst *string) func(string) error {
	return func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("%q is not an http or https URL", value)
		}
		*dst = strings.TrimSuffix(value, "/")
		return nil
	}
}

func duration(dst *time.Duration, low, high time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 2s", value)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is out of range: want %s to %s", d, low, high)
		}
		*dst = d
		return nil
	}
}

func integer(dst *int, low, high int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%q is not an integer", value)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is out of range: want %d to %d", n, low, high)
		}
		*dst = n
		return nil
	}
}

// units are the suffixes of sizes. Every size has one.
var units = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

func size(dst *int64, low, high int64) func(string) error {
	return func(value string) error {
		for _, u := range units {
			digits, found := strings.CutSuffix(value, u.suffix)
			if !found {
				continue
			}
			n, err := strconv.ParseInt(digits, 10, 32)
			if err != nil {
				return fmt.Errorf("%q is not a size such as 64KiB", value)
			}
			if n*u.bytes < low || n*u.bytes > high {
				return fmt.Errorf("%s is out of range: want %d to %d bytes", value, low, high)
			}
			*dst = n * u.bytes
			return nil
		}
		return fmt.Errorf("%q is not a size such as 64KiB", value)
	}
}
