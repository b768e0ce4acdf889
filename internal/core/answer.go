package core

import "time"

// AnswerSource says which attempt at which server produced the newest tokens
// of an answer.
type AnswerSource struct {
	Server  ServerID
	Attempt string // unique over all entry processes
}

// ResumePoint says what a caller already has of an answer and where it came from.
type ResumePoint struct {
	Offset int // tokens that the caller has
	Source AnswerSource
}

// AddressList tells a caller which entry VMs to use.
type AddressList struct {
	Addresses []string      // host:port, best first
	Keep      time.Duration // how long the caller may keep the list
}

// Status is what operators are shown.
type Status struct {
	Generation  Generation
	Members     []Member
	Deployments []DeploymentStatus
	Warnings    []Warning
}

// DeploymentStatus is one deployment's part of the status.
type DeploymentStatus struct {
	Name    DeploymentName
	Version WeightVersion // newest version that the trainer published
	Step    Step          // newest step with a fixed batch, as far as known here
	Queue   int           // requests waiting here for the deployment's limits
	Running int           // samples in progress here
	Owner   VMID          // holder of the deployment's lease, as far as known here
}
