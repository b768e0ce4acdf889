package configjson

import "time"

// Status is the answer to GET /v1/status.
type Status struct {
	Generation  uint64             `json:"generation"` // in force at the process that answers
	Members     []MemberStatus     `json:"members"`
	Deployments []DeploymentStatus `json:"deployments"`
	Warnings    []Warning          `json:"warnings"`
}

// Warning is something that an operator should look at.
type Warning struct {
	Kind    string    `json:"kind"`    // as core.WarningKind
	Subject string    `json:"subject"` // VM, deployment, service or file
	Message string    `json:"message"`
	Since   time.Time `json:"since,omitzero"` // absent when that is not known
	Page    string    `json:"page"`           // that says what to do
	Section string    `json:"section"`        // fault on that page
}

// MemberStatus is one entry process in a Status.
type MemberStatus struct {
	VM         string `json:"vm"`
	State      string `json:"state"` // as core.MemberState.String
	Generation uint64 `json:"generation"`
	Address    string `json:"address"` // host:port for callers
}

// DeploymentStatus is one deployment in a Status.
type DeploymentStatus struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`         // weight version served, zero when none is known
	Step    uint64 `json:"step"`            // newest step with a fixed batch
	Queue   int    `json:"queue"`           // requests waiting at the process that answers
	Running int    `json:"samples_running"` // samples in progress, zero unless the process that answers coordinates the deployment
	Owner   string `json:"owner"`           // VM that coordinates the deployment
}

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	Addresses   []string `json:"addresses"`    // host:port
	KeepSeconds int      `json:"keep_seconds"` // how long a caller may keep the answer
}

// ErrorAnswer is the body of every refused request.
type ErrorAnswer struct {
	Error     ErrorDetail `json:"error"`
	RequestID string      `json:"request_id"`
}

// ErrorDetail is the error in an ErrorAnswer.
type ErrorDetail struct {
	Kind      string `json:"kind"` // of package errkind
	Message   string `json:"message"`
	Ran       string `json:"ran"`
	Retryable bool   `json:"retryable"`
}
