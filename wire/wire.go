// Package wire holds the messages that teaselplank exchanges with the
// outside: client accounts, upstreams and the platform. It contains only
// data, header names and limits; every other package speaks of a request's
// outcome, of a stage call or of a host in these terms.
package wire

import "time"

// Header names of the interfaces towards callers and upstreams.
const (
	// HeaderKey names a call that must run at most once. Its value is a
	// UUID of version 7, or one issued by a node (see package ledger).
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome carries the Outcome of every final answer.
	HeaderOutcome = "Teaselplank-Outcome"
	// HeaderRequest carries the request id of every answer.
	HeaderRequest = "Teaselplank-Request"
	// HeaderDeadline is the caller's deadline, a duration such as "5s".
	HeaderDeadline = "Teaselplank-Deadline"
	// HeaderFence carries a fencing number to an upstream.
	HeaderFence = "Fencing-Number"
	// HeaderLeaving is "true" in a reply of an upstream that is leaving.
	HeaderLeaving = "Upstream-Leaving"
)

// MaxBody bounds, in bytes, every request and reply body that a node reads.
const MaxBody = 1 << 20

// Outcome says what is known of a request that was answered.
type Outcome string

// The three outcomes that a caller can be told.
const (
	// Done means that the request ran and the answer is whole.
	Done Outcome = "done"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run. Asking again with the
	// same key is safe and returns the result once it is known.
	Unknown Outcome = "unknown"
)

// PipelineCall is the body of a caller's pipeline request.
type PipelineCall struct {
	// Input is the caller's text.
	Input string `json:"input"`
	// MaxTokens bounds the tokens of the last generation stage; 0 means
	// the pipeline's own bound.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Prefix names a prompt prefix that this call shares with others.
	Prefix string `json:"prefix,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// Answer is the final answer to a caller, also the data of the last
// server-sent event of a stream.
type Answer struct {
	Request string  `json:"request"`
	Outcome Outcome `json:"outcome"`
	// Output is the whole answer when Outcome is Done.
	Output string `json:"output,omitempty"`
	// Tokens counts the generated tokens.
	Tokens int `json:"tokens,omitempty"`
	// Error names the reason of any other outcome.
	Error string `json:"error,omitempty"`
	// Dispatched is false when this attempt sent nothing upstream, also
	// where an earlier attempt of the same key cannot be ruled out.
	Dispatched bool `json:"dispatched"`
	// RetryAfter is in milliseconds and rounded up to seconds in the
	// Retry-After header.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
	// Work is the cost by stage in work units.
	Work map[string]int `json:"work,omitempty"`
}

// StageCall is the body of a call to an encoder, retriever, reranker or model
// engine. The reply echoes Request, Stage and Attempt.
type StageCall struct {
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Attempt int    `json:"attempt"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Input   string `json:"input"`
	Prefix  string `json:"prefix,omitempty"`
	// MaxTokens, for an engine, is the total number of tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// ResumeFrom is the index of the first token that is still wanted.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Priority is higher for work that should be batched earlier.
	Priority int `json:"priority,omitempty"`
}

// StageReply is an upstream's reply to a StageCall that does not stream.
type StageReply struct {
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Attempt int    `json:"attempt"`
	Output  string `json:"output"`
	Work    int    `json:"work"`
	Load    Load   `json:"load"`
}

// Token is one server-sent event of a generation stream. Index counts from 0
// without gaps. The last event has End set and carries no text.
type Token struct {
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text,omitempty"`
	End     bool   `json:"end,omitempty"`
	Work    int    `json:"work,omitempty"`
	Load    *Load  `json:"load,omitempty"`
}

// Load is what an upstream reports of itself. The report lags.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving,omitempty"`
}

// Host is one entry of the platform's host list, which lags.
type Host struct {
	// ID is unique among hosts that are listed at the same time.
	ID string `json:"id"`
	// Incarnation changes whenever the process on the host is replaced.
	Incarnation string `json:"incarnation"`
	// Role is "entry" for a host of the system and "upstream" otherwise.
	Role string `json:"role"`
	// Pool names the stage or service that an upstream serves.
	Pool string `json:"pool,omitempty"`
	Zone string `json:"zone"`
	// Addr is an IP address and port: of the upstream, or of the listener
	// for other nodes of an entry host.
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Record is one record of the platform's log.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Appended is the log's answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Page is the log's answer to a read. First is the oldest retained offset
// and End the offset that the next record will get.
type Page struct {
	First   int64    `json:"first"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Each calls f for the records from an offset on, in order, and returns the offset
// of the first record that it has not passed on. It stops before a gap, so that a
// page which was read from a later offset passes nothing on.
func (p Page) Each(next int64, f func(Record)) int64 {
	for _, r := range p.Records {
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			return next
		}
		f(r)
		next++
	}
	return next
}

// ServiceStatus is a plain service's answer to a status lookup of a key.
type ServiceStatus struct {
	// Seen is true when the service has started to execute the key.
	Seen bool `json:"seen"`
	// Finished is true when Output is the result.
	Finished bool   `json:"finished"`
	Output   string `json:"output,omitempty"`
}

// Order tells a model engine to load a model, adapter or version or to change
// its role. Number is the fencing number of the lease that it is given under.
type Order struct {
	Number  int64  `json:"number"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Loaded is what a model engine has loaded.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}
