package core

import "time"

// Class is the scheduling class of a request.
type Class int

// The classes, most urgent first.
const (
	ClassControl Class = iota // the service's own steps
	ClassPeople               // families, volunteers and libraries who wait for an answer
	ClassRollout              // samples for trainers
	ClassCount   = iota
)

// String returns the class's name as used in settings and metrics.
func (c Class) String() string {
	switch c {
	case ClassControl:
		return "control"
	case ClassPeople:
		return "people"
	default:
		return "rollout"
	}
}

// CompletionRequest is a caller's or rollout's request for generated tokens.
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

// Chunk is a piece of a stream. Offset counts tokens from the start of the
// answer, so a receiver can tell a gap or a repeat.
type Chunk struct {
	Offset  int // index of the first token of this chunk
	Tokens  []string
	Version WeightVersion // weights that produced exactly these tokens
}

// FinishReason says why a stream ended. Empty means that it has not ended.
type FinishReason string

// The reasons for which an engine ends a stream.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// GenerateRequest asks one engine to run one attempt of a request. Prefix holds
// tokens that earlier attempts already produced; the engine continues after them.
type GenerateRequest struct {
	Stream    string // identifies the attempt at the engine, for resume and cancel
	Model     ModelName
	Adapter   AdapterName
	Prompt    string
	Prefix    []string
	MaxTokens int // tokens of the whole answer, prefix included
	Priority  int // larger goes first
	Seed      int64
}

// StreamEnd is an engine's explicit end mark.
type StreamEnd struct {
	Finish FinishReason
	Tokens int // tokens of the whole answer, prefix included
}

// PlainRequest is a call of a plain service.
type PlainRequest struct {
	ID         RequestID
	Caller     CallerName
	Deployment DeploymentName
	Method     string
	Path       string
	Header     map[string]string
	Body       []byte
	Key        IdempotencyKey // empty when the call may be repeated
	Deadline   time.Time
}

// PlainResponse is a plain service's answer.
type PlainResponse struct {
	Status int
	Header map[string]string
	Body   []byte
}
