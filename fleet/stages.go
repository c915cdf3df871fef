package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// A RouteError says why some or all requests of a route cannot be served.
type RouteError struct {
	Route  string
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Route, e.Reason) }

// InvalidRoutesError lists the routes of a configuration that are not valid. The rest of the
// configuration is.
type InvalidRoutesError struct{ Routes []*RouteError }

// Error implements error.
func (e *InvalidRoutesError) Error() string {
	texts := make([]string, len(e.Routes))
	for i, r := range e.Routes {
		texts[i] = r.Error()
	}
	return strings.Join(texts, "; ")
}

// Check returns an *InvalidRoutesError if the configuration has routes that are not valid.
func (c *Config) Check() error {
	var invalid []*RouteError
	for i := range c.Routes {
		if reason := c.Routes[i].fault(); reason != "" {
			invalid = append(invalid, &RouteError{Route: c.Routes[i].Name, Reason: reason})
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	return &InvalidRoutesError{Routes: invalid}
}

// fault returns why some or all requests of the route cannot be served, or an empty text.
func (r *Route) fault() string {
	if !r.Kind.IsKnown() {
		return fmt.Sprintf("unknown type %q", r.Kind)
	}
	order := r.StageOrder(func(int) bool { return true })
	if len(order) < len(r.Stages) {
		return fmt.Sprintf("%d of %d stages can never run, as they depend on themselves or on a stage that does not exist", len(r.Stages)-len(order), len(r.Stages))
	}
	return ""
}

// StageOrder returns the requested stages in an order in which each follows those whose results
// it needs. It leaves out the stages that can never run, since they depend on themselves or on
// a stage that the route does not have. A stage that is not requested is omitted: others do not
// wait for it.
func (r *Route) StageOrder(requested func(stage int) bool) []int {
	s := stageSorter{stages: r.Stages, requested: requested, states: make([]sortState, len(r.Stages))}
	for i := range r.Stages {
		s.visit(i)
	}
	return s.order
}

// A sortState is what a stageSorter knows of a stage.
type sortState int

const (
	unvisited sortState = iota
	// blocked is the state of a stage while those that it needs are visited, and of one that can
	// never run.
	blocked
	sorted
)

// A stageSorter sorts stages topologically by a depth-first search.
type stageSorter struct {
	stages    []Stage
	requested func(stage int) bool
	// states has the state of each stage, and order the stages that are sorted.
	states []sortState
	order  []int
}

// visit adds a stage to the order, after those that it needs, and reports whether stages that need
// its results can run.
func (s *stageSorter) visit(stage int) bool {
	switch {
	case stage < 0 || stage >= len(s.stages):
		return false
	case !s.requested(stage):
		return true
	case s.states[stage] != unvisited:
		return s.states[stage] == sorted
	}
	s.states[stage] = blocked
	for _, predecessor := range s.stages[stage].After {
		if !s.visit(predecessor) {
			return false
		}
	}
	s.states[stage] = sorted
	s.order = append(s.order, stage)
	return true
}

// Downstream returns for each stage of the route whether it depends on a given one, directly or
// through other stages.
func (r *Route) Downstream(stage int) []bool {
	downstream := make([]bool, len(r.Stages))
	isFound := func(i int) bool { return i == stage || i >= 0 && i < len(downstream) && downstream[i] }
	for changed := true; changed; {
		changed = false
		for i, s := range r.Stages {
			if !downstream[i] && slices.ContainsFunc(s.After, isFound) {
				downstream[i], changed = true, true
			}
		}
	}
	return downstream
}
