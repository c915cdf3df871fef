// Package rules defines the operators' rules: their grammar, the typed rule set that
// the rest of the system reads, and the Replica that folds published changes from the
// platform's log into the version in force.
//
// A rules file has one rule a line. A rule is a kind, a name and attributes,
// and ends with a comment that names who requested it:
//
//	stage    encode  kind=encoder                               # Marlene, Kingston counter
//	pipeline drafts  stages=encode,retrieve,generate deadline=5s # Marlene, Kingston counter
//	service  filing  repeat=never deadline=3s                    # court liaison desk
//	account  kingston weight=4 token=sha256:9f86d08188...        # franchise office
//
// Blank lines and lines with only a comment are ignored.
package rules

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// MaxFileBytes limits the size of a rules file, and MaxLineBytes that of one line.
const (
	MaxFileBytes = 4 << 20
	MaxLineBytes = 4096
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

// StageKind is the task of a stage's upstreams.
type StageKind string

// The kinds of stages.
const (
	Encoder   StageKind = "encoder"
	Retriever StageKind = "retriever"
	Reranker  StageKind = "reranker"
	Generator StageKind = "generator"
)

// A Stage is a processing step of pipelines. Its upstreams are the hosts whose pool
// has the name of the stage.
type Stage struct {
	Name string
	Kind StageKind
	// Model is the name of a model rule, or empty if the stage has no model.
	Model string
	// Hedge allows a hedged attempt while a slow first attempt is in flight.
	Hedge bool
}

// A Pipeline is a chain of three to six stages with one deadline.
type Pipeline struct {
	Name string
	// Stages are copies of stages of the same Set.
	Stages []Stage
	// Deadline is positive and covers the whole request.
	Deadline time.Duration
	// MaxTokens limits the tokens that the generators produce; it is positive.
	MaxTokens int
}

// A Service is a plain service that the system routes calls to.
type Service struct {
	Name string
	// AtMostOnce is true if a call must run at most once.
	AtMostOnce bool
	// Fenced is true if the upstream refuses a call whose fencing number is lower
	// than one it has seen for the same key.
	Fenced bool
	// Lookup is true if the upstream can report the status of a key.
	Lookup   bool
	Deadline time.Duration
}

// An Account is a client account.
type Account struct {
	Name string
	// Weight is the account's share relative to other accounts; it is positive.
	Weight int
	// Token is the lower-case hexadecimal SHA-256 of the account's credential.
	Token string
}

// A Model is a model that the engines of its stages should have loaded.
type Model struct {
	Name    string
	Version string
	Adapter string
	// Fenced is true if the engines refuse orders with old fencing numbers.
	Fenced bool
}

// A Policy sets how the system trades attainment for cost.
type Policy struct {
	Name string
	// RetryPercent is the maximum number of retries and hedges of a stage, as a
	// percentage of its first attempts.
	RetryPercent int
	// Hedge enables hedging for the stages that allow it.
	Hedge bool
	// Admission enables account shares.
	Admission bool
}

// DefaultPolicy applies if there is no rule "policy default".
var DefaultPolicy = Policy{Name: "default", RetryPercent: 10, Hedge: true, Admission: true}

// A Set is a consistent set of rules. It must not be changed after Compile.
type Set struct {
	Pipelines map[string]*Pipeline
	Stages    map[string]*Stage
	Services  map[string]*Service
	Accounts  map[string]*Account
	Models    map[string]*Model
	Policy    Policy
	// accountsByToken is keyed by the SHA-256 of the account's credential.
	accountsByToken map[string]*Account
}

// AccountByToken returns the account whose credential has the given SHA-256.
func (s *Set) AccountByToken(hash string) (*Account, bool) {
	a, ok := s.accountsByToken[hash]
	return a, ok
}

// ID identifies a rule within a set: its kind and name.
type ID struct {
	Kind Kind
	Name string
}

// String returns the kind and name in the form used in rules files.
func (id ID) String() string { return string(id.Kind) + " " + id.Name }

// A Line is one parsed line: a rule whose attributes are valid on their own.
type Line struct {
	ID ID
	// Text is the canonical form of the line: single spaces, one comment.
	Text string
	// Who is the text of the comment; it is never empty.
	Who string
	// Pos is the position of the rule in its file.
	Pos Position
	// attrs holds the attributes by name, validated against the schema.
	attrs map[string]attr
}

// A Position is a position in a rules file. Line and Column start at 1; Column
// counts bytes.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// An Error is an error at a position in a rules file.
type Error struct {
	Pos     Position
	Message string
}

// Error returns the position and the message.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Message }

// Errors holds all errors of a file, sorted by position.
type Errors []*Error

// Error returns the errors, one per line.
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

// errorOrNil returns e sorted by position, or nil if it is empty.
func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e.sorted()
}
