// Package trace names the decisions on requests. A decision has one line in the
// log and one label among the counters, both of the same name, so that an engineer
// gets from a counter to the lines and from a request's lines to the counter.
package trace

import "log/slog"

// A Decision is what was decided on a request or seen of it.
type Decision string

// The decisions of the host that a client sent its request to.
const (
	// Admitted requests are begun.
	Admitted Decision = "admitted"
	// Sent requests are on their way to an upstream, for which Repeated ones
	// are prepared once more after FailedAttempt.
	Sent          Decision = "send"
	FailedAttempt Decision = "attempt failed"
	Repeated      Decision = "repeat"
	// StageDone and StageFailed are ends of one stage.
	StageDone   Decision = "stage done"
	StageFailed Decision = "stage failed"
	// Began is the first part of an answer.
	Began Decision = "answer began"
	// Answered, Replied, CutOff and Left end a request: with the upstream's
	// answer, with one of the host's own, in the middle of an answer, and by its
	// client.
	Answered Decision = "answered"
	Replied  Decision = "reply"
	CutOff   Decision = "cut"
	Left     Decision = "left"
)

// The decisions of the host that owns the stages, and on the way to it.
const (
	StageAdmitted Decision = "stage admitted"
	StageRefused  Decision = "stage refused"
	OwnerFailed   Decision = "owner failed"
)

// All lists the decisions.
func All() []Decision {
	return []Decision{
		Admitted, Sent, FailedAttempt, Repeated, StageDone, StageFailed, Began, Answered, Replied, CutOff, Left,
		StageAdmitted, StageRefused, OwnerFailed,
	}
}

// Ends reports whether a decision is the last on its request.
func (d Decision) Ends() bool { return d == Answered || d == Replied || d == CutOff || d == Left }

// Level returns the level of the decision's lines. What goes as usual is of the
// lowest, and is the first to be left out when there is more than can be written.
func (d Decision) Level() slog.Level {
	switch d {
	case Admitted, Sent, StageDone, Began, Answered, StageAdmitted:
		return slog.LevelDebug
	}
	return slog.LevelInfo
}
