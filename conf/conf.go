// Package conf reads and validates the settings of a node from an INI file. It
// reports all errors of a file at once, each with its file, line, section and key.
// Unknown sections and keys are errors.
package conf

import (
	"fmt"
	"os"
	"time"

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

// checkRetention checks that the log keeps records for as long as idempotency keys
// are accepted.
func (c *checker) checkRetention(s *Settings) {
	if w, r := s.Core.Ledger.Window+2*s.Core.Ledger.MaxSkew, s.Core.Retention; w > r {
		message := fmt.Sprintf("window plus twice max_skew is %s, which exceeds the log's retention of %s", w, r)
		c.addError("ledger", "window", message)
	}
}
