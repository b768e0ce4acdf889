package core

import "time"

// Deployment is the content of one deployment file written by operators: which
// service handles which callers, and with what limits.
type Deployment struct {
	Name          DeploymentName
	Kind          ServerKind // KindEngine or KindPlain
	Service       string     // model or plain service, compared with VM.Service
	Adapter       AdapterName
	Class         Class
	Callers       []CallerName
	Limits        Limits
	NonIdempotent []CallPattern // calls that must not run more than once
	Rollout       *Rollout      // nil if no trainer uses the deployment
	Fencing       bool          // its engines reject orders with an old fencing number
	Versions      VersionPolicy
}

// Coordinated reports whether the deployment has a coordinator: a single
// process, the holder of its lease, that generates samples or sends orders to
// its engines.
func (d *Deployment) Coordinated() bool { return d.Rollout != nil || d.Versions.Pinned != 0 }

// Limits bounds a deployment's requests across all entry VMs.
type Limits struct {
	Concurrent     int           // requests in flight
	QueueLength    int           // queued requests
	QueueTimeout   time.Duration // longest time in the queue before a request is rejected
	RequestTimeout time.Duration // longest execution time of one request
}

// CallPattern matches calls of a plain service that are not idempotent.
type CallPattern struct {
	Method     string
	PathPrefix string
}

// VersionPolicy selects the weights that a deployment serves.
type VersionPolicy struct {
	Pinned WeightVersion // zero for the newest version that the trainer published
}

// Rollout configures sample generation for the deployment's trainer.
type Rollout struct {
	Trainer        CallerName
	Scorer         string    // scoring service, compared with VM.Service
	Prompts        ObjectKey // object with one prompt per line
	GroupSize      int       // samples per prompt
	GroupsPerStep  int
	MaxTokens      int
	StalenessBound uint64  // number of versions that a sample may lag behind its trainer
	IdleWeight     float64 // weight of trainer idle time relative to staleness, 0 to 1
}

// Configuration is one accepted generation of the configuration. It is immutable.
type Configuration struct {
	Generation  Generation
	Parent      Generation
	Operator    string
	Deployments []Deployment
}

// Find returns the deployment with the given name, or nil.
func (c *Configuration) Find(name DeploymentName) *Deployment {
	for i := range c.Deployments {
		if c.Deployments[i].Name == name {
			return &c.Deployments[i]
		}
	}
	return nil
}
