package ports

import (
	"context"

	"fescuespar/internal/core"
)

// Callers is what front ends for callers drive.
type Callers interface {
	// NewRequestID returns an id for a request that came without one.
	NewRequestID() core.RequestID
	// Complete admits a request for tokens and starts it; a request id that the
	// caller has used before joins that answer. Errors are truthful refusals.
	Complete(ctx context.Context, request core.CompletionRequest, resume *core.ResumePoint) error
	// ReadAnswer waits for tokens after the offset or the answer's end.
	ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error)
	// FindAnswer makes an answer that another entry process started readable
	// here. Errors: UnknownRequest, AnswerIncomplete.
	FindAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, resume *core.ResumePoint) error
	// Call passes a call to a plain service.
	Call(ctx context.Context, request core.PlainRequest) (core.PlainResponse, error)
	// Addresses returns the entry addresses that the caller is to use.
	Addresses(caller core.CallerName) core.AddressList
}

// Trainers is what front ends for trainers drive.
type Trainers interface {
	// PublishWeights makes a version the newest of a deployment. Errors:
	// UnknownDeployment, Forbidden, StoreUnavailable, OutcomeUnknown.
	PublishWeights(ctx context.Context, trainer core.CallerName, deployment core.DeploymentName, version core.WeightVersion) error
	// Batch returns the batch of a step, the same one at every call. Errors:
	// UnknownDeployment, Forbidden, BatchNotReady, StepConflict,
	// StoreUnavailable, OutcomeUnknown.
	Batch(ctx context.Context, trainer core.CallerName, request core.BatchRequest) (core.Batch, error)
}

// Operators is what front ends for operators drive.
type Operators interface {
	// Configuration returns the configuration in force in this process.
	Configuration() *core.Configuration
	// Publish replaces the configuration of generation base. Errors:
	// InvalidConfig, GenerationConflict, StoreUnavailable, OutcomeUnknown.
	Publish(ctx context.Context, operator string, base core.Generation, deployments []core.Deployment) (core.Generation, error)
	// Status returns what this process knows of the whole system.
	Status() core.Status
	// State returns the dump of this process's state, ready for JSON.
	State() any
}
