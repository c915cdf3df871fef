// Package check finds errors in a configuration before it is put in force, and lists the changes
// against another one. It does no I/O.
package check

import (
	"fmt"
	"strings"
	"time"

	"teaselplank/fleet"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Invalid entries cannot work.
	Invalid Kind = "error"
	// Unreachable entries can never match or be used.
	Unreachable Kind = "never matches"
	// Contradiction marks settings that exclude each other.
	Contradiction Kind = "contradiction"
)

// A Finding is a problem in a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the entry, such as route "a".
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// A Change is an entry that differs between two configurations.
type Change struct {
	Entry string `json:"entry"`
	// Text is "added", "removed" or the fields that differ.
	Text string `json:"text"`
}

// A Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// Compare checks the new configuration and lists its differences from the old one.
func Compare(old, updated fleet.Config) Report {
	c := &checker{config: updated, services: make(map[string]*fleet.Service), used: make(map[string]bool)}
	if updated.Version <= old.Version {
		c.add(Invalid, "version", "%d is not above %d, so that no host puts the configuration in force", updated.Version, old.Version)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkUse()
	c.checkAccounts()
	c.checkLimits()
	report := Report{Findings: c.findings, Changes: changes(old, updated)}
	if report.Findings == nil {
		report.Findings = []Finding{}
	}
	if report.Changes == nil {
		report.Changes = []Change{}
	}
	return report
}

// A checker collects findings.
type checker struct {
	config   fleet.Config
	services map[string]*fleet.Service
	used     map[string]bool
	findings []Finding
}

func (c *checker) add(kind Kind, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

func (c *checker) checkServices() {
	for i := range c.config.Services {
		s := &c.config.Services[i]
		entry := fmt.Sprintf("service %q", s.Name)
		switch {
		case s.Name == "":
			c.add(Invalid, entry, "the name is empty")
		case c.services[s.Name] != nil:
			c.add(Unreachable, entry, "a later service has the same name")
		}
		if s.Engine && s.Batch != nil {
			c.add(Contradiction, entry, "it is both an engine and a stage service")
		}
		c.services[s.Name] = s
	}
}

func (c *checker) checkRoutes() {
	first := make(map[string]string)
	names := make(map[string]bool)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		entry := fmt.Sprintf("route %q", r.Name)
		if names[r.Name] {
			c.add(Invalid, entry, "another route has the same name")
		}
		names[r.Name] = true
		key := r.Host + r.Prefix
		switch {
		case !strings.HasPrefix(r.Prefix, "/"):
			c.add(Unreachable, entry, "prefix %q does not begin with a slash", r.Prefix)
		case r.Host == "" || strings.Contains(r.Host, ":"):
			c.add(Unreachable, entry, "host name %q is empty or has a port", r.Host)
		case first[key] != "":
			c.add(Unreachable, entry, "%s has the same host name and prefix and comes first", first[key])
		default:
			first[key] = entry
		}
		c.checkTargets(entry, r)
		c.checkStages(entry, r)
		c.checkTimes(entry, r)
	}
}

func (c *checker) checkTargets(entry string, r *fleet.Route) {
	total := 0
	for _, t := range r.Targets {
		c.used[t.Service] = true
		s := c.services[t.Service]
		switch {
		case s == nil:
			c.add(Invalid, entry, "service %q does not exist", t.Service)
		case s.Batch != nil:
			c.add(Invalid, entry, "service %q runs stages and takes no requests", t.Service)
		}
		switch {
		case t.Weight < 0:
			c.add(Invalid, entry, "the weight of service %q is negative", t.Service)
		case t.Weight == 0:
			c.add(Unreachable, entry, "service %q has the weight 0 and gets no requests", t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		c.add(Invalid, entry, "no service has a weight, so that no request is served")
	}
}

func (c *checker) checkStages(entry string, r *fleet.Route) {
	for i, stage := range r.Stages {
		c.used[stage.Service] = true
		s := c.services[stage.Service]
		switch {
		case s == nil:
			c.add(Invalid, entry, "service %q of stage %d does not exist", stage.Service, i)
		case s.Batch == nil:
			c.add(Invalid, entry, "service %q of stage %d runs no stages", stage.Service, i)
		case stage.ResultBytes > s.Batch.ResultMemory:
			c.add(Contradiction, entry, "a result of stage %d has %d bytes, and a worker of %q has memory for %d", i, stage.ResultBytes, stage.Service, s.Batch.ResultMemory)
		}
	}
}

// stageTime returns the time that the stages of a route take at least, one after the other
// where one needs the results of another.
func (c *checker) stageTime(r *fleet.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	var last time.Duration
	for _, i := range r.StageOrder(func(int) bool { return true }) {
		stage := r.Stages[i]
		for _, before := range stage.After {
			ends[i] = max(ends[i], ends[before])
		}
		if s := c.services[stage.Service]; s != nil && s.Batch != nil {
			ends[i] += s.Batch.CallTime + s.Batch.PieceTime
		}
		last = max(last, ends[i])
	}
	return last
}

func (c *checker) checkTimes(entry string, r *fleet.Route) {
	stages := c.stageTime(r)
	switch {
	case r.Timeout <= 0:
		c.add(Invalid, entry, "without a timeout no request is in time")
	case stages >= r.Timeout:
		c.add(Contradiction, entry, "the stages take %s at least, and the timeout is %s", stages, r.Timeout)
	case r.Objective > r.Timeout:
		c.add(Contradiction, entry, "the objective of %s is longer than the timeout of %s", r.Objective, r.Timeout)
	case r.Objective > 0 && stages >= r.Objective:
		c.add(Contradiction, entry, "the stages take %s at least, and the objective is %s", stages, r.Objective)
	}
	if r.Resumable && r.Kind != fleet.Stream {
		c.add(Contradiction, entry, "only streams can be resumed, and it is of type %q", r.Kind)
	}
	if r.Attempts > 1 && !r.Retryable() {
		c.add(Contradiction, entry, "%d attempts are allowed, and a request may run once", r.Attempts)
	}
	if r.Rank < 0 {
		c.add(Invalid, entry, "the rank %d is negative", r.Rank)
	}
}

func (c *checker) checkUse() {
	for _, s := range c.config.Services {
		if !c.used[s.Name] {
			c.add(Unreachable, fmt.Sprintf("service %q", s.Name), "no route uses it")
		}
	}
}

func (c *checker) checkAccounts() {
	names := make(map[string]bool)
	owners := make(map[string]string)
	for _, a := range c.config.Accounts {
		entry := fmt.Sprintf("account %q", a.Name)
		if a.Name == "" || names[a.Name] {
			c.add(Invalid, entry, "the name is empty or that of another account")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			c.add(Unreachable, entry, "it has no API keys")
		}
		for i, key := range a.Keys {
			// Keys are secret and not printed.
			if owner, ok := owners[key]; ok {
				c.add(Contradiction, entry, "API key %d belongs to %s, too", i, owner)
			}
			if key == "" {
				c.add(Unreachable, entry, "API key %d is empty", i)
			}
			owners[key] = entry
		}
		if a.Rank != nil && *a.Rank < 0 {
			c.add(Invalid, entry, "the rank %d is negative", *a.Rank)
		}
	}
}

func (c *checker) checkLimits() {
	l := c.config.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 {
		c.add(Invalid, "limits", "a number of bytes is negative")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Contradiction, "limits", "a head may take %s, and a connection may be idle for %s", l.HeaderTimeout, l.IdleTimeout)
	}
}
