// Package conf reads the settings of a node from an INI file and checks them as
// a whole: every fault is found at once, with its file, line, section and key.
// Unknown sections and keys are faults.
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

// Settings are the checked settings of a node.
type Settings struct {
	// Node and Zone name the node.
	Node string
	Zone string
	// Callers, Peers and Operators are the addresses to listen at: an IP
	// address and a port. Peers is also what other nodes are told.
	Callers   string
	Peers     string
	Operators string
	// Platform is the URL of the platform's services.
	Platform        string
	PlatformTimeout time.Duration
	// PeerToken and OperatorToken are the credentials of the two listeners.
	PeerToken     string
	OperatorToken string
	// LogFormat is "text" or "json".
	LogFormat string
	// DrainLag is how long a node that was asked to stop goes on taking what
	// the balancer still sends.
	DrainLag time.Duration
	// DrainLimit bounds how long it waits for what is under way.
	DrainLimit time.Duration
	// MaxBody bounds a caller's body in bytes.
	MaxBody int64
	// MaxCalls bounds the calls under way.
	MaxCalls int
	// Core holds the bounds of the node's reducer.
	Core core.Config
}

// A Fault is one fault of a settings file.
type Fault struct {
	File string
	// Line is 0 for a key that is missing.
	Line    int
	Section string
	Key     string
	Message string
}

// Error returns the place and the message.
func (f *Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	name := "[" + f.Section + "]"
	if f.Key != "" {
		name += " " + f.Key
	}
	return place + ": " + name + ": " + f.Message
}

// Faults are all the faults of a file.
type Faults []*Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// maxFile bounds a settings file in bytes.
const maxFile = 1 << 20

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse checks the text of a settings file.
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
	if err := c.result(); err != nil {
		return nil, err
	}
	s.finish()
	return s, nil
}

// finish passes what several parts need on to them.
func (s *Settings) finish() {
	s.Core.Member.Self.ID = s.Node
	s.Core.Member.Self.Zone = s.Zone
	s.Core.Member.Self.Addr = s.Peers
	s.Core.Ledger.Node = s.Node
	s.Core.Ledger.Retention = s.Core.Retention
	s.Core.Route.Node = s.Node
	s.Core.Route.Zone = s.Zone
}

// place is a key within a section.
type place struct{ section, key string }

// findLines returns the line of each section, under an empty key, and of each
// key. Of a key that stands twice it returns the first line.
func findLines(text string) map[place]int {
	lines := make(map[place]int)
	section := ""
	for i, raw := range strings.Split(text, "\n") {
		l := strings.TrimSpace(raw)
		if strings.HasPrefix(l, "[") && strings.HasSuffix(l, "]") {
			section = strings.TrimSpace(l[1 : len(l)-1])
			lines[place{section, ""}] = i + 1
			continue
		}
		key, _, ok := strings.Cut(l, "=")
		if !ok || strings.HasPrefix(l, "#") || strings.HasPrefix(l, ";") {
			continue
		}
		p := place{section, strings.TrimSpace(key)}
		if lines[p] == 0 {
			lines[p] = i + 1
		}
	}
	return lines
}

// A setting is one known key and how its value is taken in.
type setting struct {
	section  string
	key      string
	required bool
	take     func(value string) error
}

// A checker collects the faults of a file.
type checker struct {
	file   string
	lines  map[place]int
	parsed *ini.File
	faults Faults
}

// newChecker parses the text of a settings file.
func newChecker(file string, data []byte) (*checker, error) {
	if len(data) > maxFile {
		return nil, Faults{{File: file, Message: fmt.Sprintf("file has %d bytes, more than %d", len(data), maxFile)}}
	}
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, Faults{{File: file, Message: err.Error()}}
	}
	return &checker{file: file, lines: findLines(string(data)), parsed: parsed}, nil
}

// result returns all faults in the order of their lines, or nil.
func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	return c.faults
}

func (c *checker) fault(section, key, message string) {
	c.faults = append(c.faults, &Fault{c.file, c.lines[place{section, key}], section, key, message})
}

// check takes in the settings and finds the sections and keys that do not exist.
func (c *checker) check(settings []setting) {
	known := make(map[place]bool)
	sections := make(map[string]bool)
	for _, one := range settings {
		known[place{one.section, one.key}] = true
		sections[one.section] = true
		c.take(one)
	}
	for _, section := range c.parsed.Sections() {
		if !sections[section.Name()] && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			c.fault(section.Name(), "", "section does not exist")
			continue
		}
		for _, key := range section.Keys() {
			if !known[place{section.Name(), key.Name()}] {
				c.fault(section.Name(), key.Name(), "key does not exist")
			}
		}
	}
}

// checkRetention compares the window of idempotency keys with what the log keeps.
func (c *checker) checkRetention(s *Settings) {
	if w, r := s.Core.Ledger.Window+2*s.Core.Ledger.MaxSkew, s.Core.Retention; w > r {
		message := fmt.Sprintf("window and twice max_skew are %s, more than the log's retention of %s", w, r)
		c.fault("ledger", "window", message)
	}
}

func (c *checker) take(one setting) {
	section, err := c.parsed.GetSection(one.section)
	if err != nil || !section.HasKey(one.key) {
		if one.required {
			c.fault(one.section, one.key, "key is missing")
		}
		return
	}
	value := section.Key(one.key).String()
	if err := one.take(value); err != nil {
		c.fault(one.section, one.key, err.Error())
	}
}

func text(to *string) func(string) error {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("value is empty")
		}
		*to = value
		return nil
	}
}

func oneOf(to *string, choices ...string) func(string) error {
	return func(value string) error {
		for _, c := range choices {
			if value == c {
				*to = value
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

func address(to *string) func(string) error {
	return func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an IP address and a port", value)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return fmt.Errorf("port %q is not in 1 to 65535", port)
		}
		*to = value
		return nil
	}
}

func addresses(to *[]string) func(string) error {
	return func(value string) error {
		for _, part := range strings.Split(value, ",") {
			var one string
			if err := address(&one)(strings.TrimSpace(part)); err != nil {
				return err
			}
			*to = append(*to, one)
		}
		return nil
	}
}

func link(to *string) func(string) error {
	return func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("%q is not a URL of scheme http or https", value)
		}
		*to = strings.TrimSuffix(value, "/")
		return nil
	}
}

func duration(to *time.Duration, low, high time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 2s", value)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is not in %s to %s", d, low, high)
		}
		*to = d
		return nil
	}
}

func number(to *int, low, high int) func(string) error {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is not in %d to %d", n, low, high)
		}
		*to = n
		return nil
	}
}

// units are the suffixes of sizes; a size has one of them.
var units = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

func size(to *int64, low, high int64) func(string) error {
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
				return fmt.Errorf("%s is not in %d to %d bytes", value, low, high)
			}
			*to = n * u.bytes
			return nil
		}
		return fmt.Errorf("%q is not a size such as 64KiB", value)
	}
}
