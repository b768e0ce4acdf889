package configjson

import "time"

// Status is the answer to GET /v1/status.
type Status struct {
	Generation  uint64             `json:"generation"` // in force at the answering process
	Members     []MemberStatus     `json:"members"`
	Deployments []DeploymentStatus `json:"deployments"`
	Warnings    []Warning          `json:"warnings"`
}

// Warning is a condition that an operator should look into.
type Warning struct {
	Kind    string    `json:"kind"`    // a core.WarningKind
	Subject string    `json:"subject"` // VM, deployment, service or file
	Message string    `json:"message"`
	Since   time.Time `json:"since,omitzero"` // start of the condition, absent when unknown
	Page    string    `json:"page"`           // documentation page that says what to do
	Section string    `json:"section"`        // section of that page
}

// MemberStatus is the status of one entry process.
type MemberStatus struct {
	VM         string `json:"vm"`
	State      string `json:"state"` // as returned by core.MemberState.String
	Generation uint64 `json:"generation"`
	Address    string `json:"address"` // callers' address, host:port
}

// DeploymentStatus is the status of one deployment.
type DeploymentStatus struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`         // weight version served, zero if unknown
	Step    uint64 `json:"step"`            // newest step with a final batch
	Queue   int    `json:"queue"`           // requests queued at the answering process
	Running int    `json:"samples_running"` // samples in progress, zero unless the answering process coordinates the deployment
	Owner   string `json:"owner"`           // VM that coordinates the deployment
}

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	Addresses   []string `json:"addresses"`    // host:port
	KeepSeconds int      `json:"keep_seconds"` // how long a caller may cache the answer
}

// ErrorAnswer is the body of every error answer.
type ErrorAnswer struct {
	Error     ErrorDetail `json:"error"`
	RequestID string      `json:"request_id"`
}

// ErrorDetail is the error in an ErrorAnswer.
type ErrorDetail struct {
	Kind      string `json:"kind"` // an errkind.Kind
	Message   string `json:"message"`
	Ran       string `json:"ran"`
	Retryable bool   `json:"retryable"`
}
