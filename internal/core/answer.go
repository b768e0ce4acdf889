package core

import "time"

// AnswerSource identifies the server and the attempt that produced the newest
// tokens of an answer.
type AnswerSource struct {
	Server  ServerID
	Attempt string // unique across all entry processes
}

// ResumePoint is the position from which an answer is resumed, and the source of
// the tokens before it.
type ResumePoint struct {
	Offset int // number of tokens that the caller already has
	Source AnswerSource
}

// AddressList is the list of entry VM addresses returned to a caller.
type AddressList struct {
	Addresses []string      // host:port, in order of preference
	CacheFor  time.Duration // how long the caller may cache the list
}

// Status is the state of the service as shown to operators.
type Status struct {
	Generation  Generation
	Members     []Member
	Deployments []DeploymentStatus
	Warnings    []Warning
}

// DeploymentStatus is the status of one deployment.
type DeploymentStatus struct {
	Name    DeploymentName
	Version WeightVersion // newest version that the trainer published
	Step    Step          // newest step with a fixed batch that this process knows of
	Queue   int           // requests queued in this process because of the deployment's limits
	Running int           // samples in progress in this process
	Owner   VMID          // last known holder of the deployment's lease
}
