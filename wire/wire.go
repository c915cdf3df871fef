// Package wire defines the messages that teaselplank exchanges with client accounts,
// upstreams and the platform. It contains only data types, header names and limits. All
// other packages use its types for outcomes of requests, stage calls and hosts.
package wire

import "time"

// Names of the headers that callers and upstreams send or receive.
const (
	// HeaderKey carries the idempotency key of a call that must run at most once:
	// a UUID of version 7, or a key issued by a node (see package ledger).
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome carries the Outcome of every final answer.
	HeaderOutcome = "Teaselplank-Outcome"
	// HeaderRequest carries the request id of every answer.
	HeaderRequest = "Teaselplank-Request"
	// HeaderDeadline carries the caller's deadline as a duration such as "5s".
	HeaderDeadline = "Teaselplank-Deadline"
	// HeaderFence carries a fencing number to an upstream.
	HeaderFence = "Fencing-Number"
	// HeaderLeaving is "true" in a response of an upstream that is leaving.
	HeaderLeaving = "Upstream-Leaving"
)

// MaxBody is the maximum size, in bytes, of a request or response body that a node reads.
const MaxBody = 1 << 20

// Outcome states whether a request that was answered has run.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the request ran and the answer is complete.
	Done Outcome = "done"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run. Retrying with the same key is
	// safe and returns the result once it is known.
	Unknown Outcome = "unknown"
)

// PipelineCall is the body of a caller's pipeline request.
type PipelineCall struct {
	// Input is the caller's text.
	Input string `json:"input"`
	// MaxTokens is the maximum number of tokens of the last generation stage; 0
	// means the limit of the pipeline.
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
	// Output is the complete output if Outcome is Done.
	Output string `json:"output,omitempty"`
	// Tokens counts the generated tokens.
	Tokens int `json:"tokens,omitempty"`
	// Error is the reason for any other outcome.
	Error string `json:"error,omitempty"`
	// Dispatched is true if this attempt sent a call to an upstream. False does not
	// rule out that an earlier attempt with the same key sent one.
	Dispatched bool `json:"dispatched"`
	// RetryAfter is in milliseconds. The Retry-After header carries it rounded up to
	// seconds.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
	// Work is the cost of each stage in work units.
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
	// MaxTokens is, for an engine, the total number of tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// ResumeFrom is the index of the first token to generate.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Priority is higher for work to batch earlier.
	Priority int `json:"priority,omitempty"`
}

// StageReply is the response body of a StageCall that does not stream.
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

// Load is an upstream's report of its load. It may be stale.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving,omitempty"`
}

// Host is an entry of the platform's host list, which may be stale.
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

// AppendReply is the response of the log to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Page is the response of the log to a read. First is the oldest retained offset, and End
// is the offset that the next record will get.
type Page struct {
	First   int64    `json:"first"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Each calls f in order for the records starting at offset next, and returns the offset of
// the first record for which it has not called f. It stops at a gap. If the page starts at
// a later offset, it does not call f at all.
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

// KeyStatus is the response of a plain service to a status lookup of a key.
type KeyStatus struct {
	// Seen is true if the service has started to execute the call of the key.
	Seen bool `json:"seen"`
	// Finished is true if Output is the result.
	Finished bool   `json:"finished"`
	Output   string `json:"output,omitempty"`
}

// Order instructs a model engine to load a model, adapter or version, or to change its
// role. Number is the fencing number of the lease under which the order is issued.
type Order struct {
	Number  int64  `json:"number"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// LoadedModel is the model that an engine has loaded.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}
