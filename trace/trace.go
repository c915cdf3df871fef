// Package trace defines the names of decisions on requests. The message of a
// decision's log lines and the label of its counter have the same text, so that an
// operator can get from a counter to the log lines and back.
package trace

import "log/slog"

// A Decision is a decision on a request or an event observed for it.
type Decision string

// Decisions of the host that received the request from the client.
const (
	// Admitted means that the request was accepted for processing.
	Admitted Decision = "admitted"
	// Sent means that the request was sent to an upstream, AttemptFailed that the
	// attempt failed, and Retried that the request is to be sent once more.
	Sent          Decision = "send"
	AttemptFailed Decision = "attempt failed"
	Retried       Decision = "repeat"
	// AttemptStalled means that an upstream has been silent for longer than usual,
	// AttemptContinued that it sent something after that, and Awaited that the request
	// waits for it because no other attempt could take its place.
	AttemptStalled   Decision = "attempt stalled"
	AttemptContinued Decision = "attempt continued"
	Awaited          Decision = "awaited"
	// StreamResumed means that the client resumes a stream that an earlier request began.
	StreamResumed Decision = "resume"
	// OriginUnrecorded means that a stream has begun and its version could not be recorded.
	OriginUnrecorded Decision = "version unrecorded"
	// StageDone and StageFailed are the outcomes of one stage.
	StageDone   Decision = "stage done"
	StageFailed Decision = "stage failed"
	// HeldBack means that the request is kept from upstreams, since a part of it
	// crashes them.
	HeldBack Decision = "held back"
	// AnswerBegan means that the first part of an answer arrived.
	AnswerBegan Decision = "answer began"
	// The final decisions: Answered means that the upstream's answer was complete,
	// Replied that the host itself answered, AnswerAborted that the answer broke off
	// in the middle, and ClientLeft that the client disconnected.
	Answered      Decision = "answered"
	Replied       Decision = "reply"
	AnswerAborted Decision = "cut"
	ClientLeft    Decision = "left"
)

// Decisions of the host that owns the stages, and of a host that calls the owner.
const (
	StageAdmitted Decision = "stage admitted"
	StageRefused  Decision = "stage refused"
	OwnerFailed   Decision = "owner failed"
)

// All returns all decisions.
func All() []Decision {
	return []Decision{
		Admitted, Sent, AttemptFailed, Retried, AttemptStalled, AttemptContinued, Awaited, StreamResumed, OriginUnrecorded, HeldBack, StageDone, StageFailed, AnswerBegan, Answered, Replied, AnswerAborted, ClientLeft,
		StageAdmitted, StageRefused, OwnerFailed,
	}
}

// IsFinal reports whether the decision is the last one on its request.
func (d Decision) IsFinal() bool {
	return d == Answered || d == Replied || d == AnswerAborted || d == ClientLeft
}

// Level returns the log level of the decision's lines. Routine decisions have the debug
// level, whose lines are dropped first when the log is overloaded.
func (d Decision) Level() slog.Level {
	switch d {
	case Admitted, Sent, HeldBack, StageDone, AnswerBegan, Answered, StageAdmitted:
		return slog.LevelDebug
	}
	return slog.LevelInfo
}
