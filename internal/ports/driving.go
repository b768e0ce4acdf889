package ports

import (
	"context"

	"fescuespar/internal/core"
)

// Callers is the driving port for front ends that serve callers.
type Callers interface {
	// NewRequestID returns an id for a request that has none.
	NewRequestID() core.RequestID
	// Complete admits a completion request and starts it. If the caller has used
	// the request id before, it joins that answer. The kind of an error tells
	// truthfully whether the request may have run.
	Complete(ctx context.Context, request core.CompletionRequest, resume *core.ResumePoint) error
	// ReadAnswer waits for tokens from the offset on or for the answer's end.
	ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error)
	// FindAnswer makes an answer that another entry process started readable
	// through ReadAnswer. Errors: UnknownRequest, AnswerIncomplete.
	FindAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, resume *core.ResumePoint) error
	// Call forwards a call to a plain service.
	Call(ctx context.Context, request core.PlainRequest) (core.PlainResponse, error)
	// Addresses returns the entry addresses that the caller should use.
	Addresses(caller core.CallerName) core.AddressList
}

// Trainers is the driving port for front ends that serve trainers.
type Trainers interface {
	// PublishWeights makes a version the newest one of a deployment. Errors:
	// UnknownDeployment, Forbidden, StoreUnavailable, OutcomeUnknown.
	PublishWeights(ctx context.Context, trainer core.CallerName, deployment core.DeploymentName, version core.WeightVersion) error
	// Batch returns the batch of a step, the same one on every call. Errors:
	// UnknownDeployment, Forbidden, BatchNotReady, StepConflict,
	// StoreUnavailable, OutcomeUnknown.
	Batch(ctx context.Context, trainer core.CallerName, request core.BatchRequest) (core.Batch, error)
}

// Operators is the driving port for front ends that serve operators.
type Operators interface {
	// Configuration returns this process's current configuration.
	Configuration() *core.Configuration
	// Publish replaces the configuration of generation base and returns the new
	// generation. Errors:
	// InvalidConfig, GenerationConflict, StoreUnavailable, OutcomeUnknown.
	Publish(ctx context.Context, operator string, base core.Generation, deployments []core.Deployment) (core.Generation, error)
	// Status returns the status of the whole system as this process knows it.
	Status() core.Status
	// State returns this process's state dump, which can be encoded as JSON.
	State() any
}
