package core

import "time"

// Class is the scheduling class of a request.
type Class int

// The classes, in decreasing urgency.
const (
	ClassControl     Class = iota // internal requests of the service
	ClassInteractive              // requests that somebody waits for, of families, volunteers and libraries
	ClassRollout                  // samples generated for trainers
	ClassCount       = iota
)

// String returns the name of the class as used in settings and metrics.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassInteractive:
		return "people"
	default:
		return "rollout"
	}
}

// CompletionRequest is a generation request made by a caller or a rollout.
type CompletionRequest struct {
	ID         RequestID
	Caller     CallerName
	Deployment DeploymentName
	Class      Class
	Prompt     string
	MaxTokens  int
	Seed       int64
	Deadline   time.Time
}

// Chunk is a part of a token stream. Offset counts from the start of the answer,
// so that a receiver can detect gaps and duplicates.
type Chunk struct {
	Offset  int // index of the first token of this chunk
	Tokens  []string
	Version WeightVersion // weights that produced all of these tokens
}

// FinishReason is the reason why a stream ended; empty while it has not ended.
type FinishReason string

// The finish reasons that engines report.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// GenerateRequest runs one attempt of a request on one engine. Prefix holds the
// tokens that earlier attempts produced; the engine continues after them.
type GenerateRequest struct {
	Stream    string // identifies the attempt at the engine, for resume and cancel
	Model     ModelName
	Adapter   AdapterName
	Prompt    string
	Prefix    []string
	MaxTokens int // tokens of the whole answer, prefix included
	Priority  int // larger is more urgent
	Seed      int64
}

// StreamEnd is the explicit end-of-stream message of an engine.
type StreamEnd struct {
	Finish FinishReason
	Tokens int // tokens of the whole answer, prefix included
}

// PlainRequest is a call to a plain service.
type PlainRequest struct {
	ID         RequestID
	Caller     CallerName
	Deployment DeploymentName
	Method     string
	Path       string
	Header     map[string]string
	Body       []byte
	Key        IdempotencyKey // empty if the call may be repeated
	Deadline   time.Time
}

// PlainResponse is the response of a plain service.
type PlainResponse struct {
	Status int
	Header map[string]string
	Body   []byte
}
