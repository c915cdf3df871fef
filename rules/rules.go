// Package rules holds the operators' rules: their grammar, the typed rule set
// that the rest of the system reads, and the book that folds published changes
// from the platform's log into the version in force.
//
// A rules file has one rule a line. A rule is a kind, a name and attributes,
// and ends with a comment that names who asked for it:
//
//	stage    encode  kind=encoder                               # Marlene, Kingston counter
//	pipeline drafts  stages=encode,retrieve,generate deadline=5s # Marlene, Kingston counter
//	service  filing  repeat=never deadline=3s                    # court liaison desk
//	account  kingston weight=4 token=sha256:9f86d08188...        # franchise office
//
// Blank lines and lines that hold only a comment are passed over.
package rules

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// MaxFile bounds a rules file in bytes, and MaxLine one line of it.
const (
	MaxFile = 4 << 20
	MaxLine = 4096
)

// Kind is the first word of a rule.
type Kind string

// The kinds of rules.
const (
	KindPipeline Kind = "pipeline"
	KindStage    Kind = "stage"
	KindService  Kind = "service"
	KindAccount  Kind = "account"
	KindModel    Kind = "model"
	KindPolicy   Kind = "policy"
)

// StageKind says what a stage's upstreams do.
type StageKind string

// The kinds of stages.
const (
	Encoder   StageKind = "encoder"
	Retriever StageKind = "retriever"
	Reranker  StageKind = "reranker"
	Generator StageKind = "generator"
)

// A Stage is a step that pipelines may contain. Its upstreams are the hosts
// whose pool has the stage's name.
type Stage struct {
	Name string
	Kind StageKind
	// Model is the name of a model rule; it is empty for stages without.
	Model string
	// Hedge allows a second attempt beside a slow first one.
	Hedge bool
}

// A Pipeline is a chain of three to six stages under one deadline.
type Pipeline struct {
	Name string
	// Stages are all defined in the same Set.
	Stages []Stage
	// Deadline is positive and bounds the whole request.
	Deadline time.Duration
	// Tokens bounds what its generators produce; it is positive.
	Tokens int
}

// A Service is a plain service that the system routes calls to.
type Service struct {
	Name string
	// Once is true when a call must run at most once.
	Once bool
	// Fenced is true when the upstream refuses a call that carries an
	// older fencing number than one that it has seen for the same key.
	Fenced bool
	// Lookup is true when the upstream can tell the status of a key.
	Lookup   bool
	Deadline time.Duration
}

// An Account is a client account.
type Account struct {
	Name string
	// Weight is the account's share relative to the others'; it is positive.
	Weight int
	// Token is the lower-case hexadecimal SHA-256 of the account's credential.
	Token string
}

// A Model is what the engines of the stages that name it should have loaded.
type Model struct {
	Name    string
	Version string
	Adapter string
	// Fenced is true when the engines refuse orders with old numbers.
	Fenced bool
}

// A Policy sets how the system trades attainment for cost.
type Policy struct {
	Name string
	// Retry is the share of a stage's first attempts that may be added by
	// retries and hedges, in per cent.
	Retry int
	// Hedge switches hedging on for the stages that allow it.
	Hedge bool
	// Admission switches account shares on.
	Admission bool
}

// DefaultPolicy is in force where no rule "policy default" is.
var DefaultPolicy = Policy{Name: "default", Retry: 10, Hedge: true, Admission: true}

// A Set is a consistent set of rules. It must not be changed after Compile.
type Set struct {
	Pipelines map[string]*Pipeline
	Stages    map[string]*Stage
	Services  map[string]*Service
	Accounts  map[string]*Account
	Models    map[string]*Model
	Policy    Policy
	// tokens maps a credential's hash to its account.
	tokens map[string]*Account
}

// AccountByToken returns the account whose credential has the given SHA-256.
func (s *Set) AccountByToken(hash string) (*Account, bool) {
	a, ok := s.tokens[hash]
	return a, ok
}

// ID identifies a rule within a set: its kind and name.
type ID struct {
	Kind Kind
	Name string
}

// String returns the rule's kind and name as the file has them.
func (id ID) String() string { return string(id.Kind) + " " + id.Name }

// A Line is one parsed line: a rule whose attributes are valid on their own.
type Line struct {
	ID ID
	// Text is the canonical form of the line: single spaces, one comment.
	Text string
	// Who is the text of the comment; it is never empty.
	Who string
	// Pos is the place of the rule in its file.
	Pos Position
	// attrs holds the values by attribute, all checked against the schema.
	attrs map[string]attr
}

// A Position is a place in a rules file; Line and Column count from 1, and
// Column counts bytes.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// An Error is one fault of a rules file.
type Error struct {
	Pos     Position
	Message string
}

// Error returns the position and the message.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errors are all the faults of a file, in the order of their places.
type Errors []*Error

// Error returns one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) sorted() Errors {
	sort.SliceStable(e, func(i, j int) bool {
		if e[i].Pos.Line != e[j].Pos.Line {
			return e[i].Pos.Line < e[j].Pos.Line
		}
		return e[i].Pos.Column < e[j].Pos.Column
	})
	return e
}

// errorOrNil returns e as an error, or nil when there is no fault in it.
func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e.sorted()
}
