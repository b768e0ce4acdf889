package core

import "time"

// Deployment is one operators' file: what serves which callers and how.
type Deployment struct {
	Name     DeploymentName
	Kind     ServerKind // KindEngine or KindPlain
	Service  string     // model or plain service, matched with VM.Service
	Adapter  AdapterName
	Class    Class
	Callers  []CallerName
	Limits   Limits
	Once     []OncePattern // calls that may never run twice
	Rollout  *Rollout      // nil when no trainer uses the deployment
	Fencing  bool          // its engines check fencing numbers
	Versions VersionPolicy
}

// Coordinated reports whether one process at a time, the holder of the
// deployment's lease, makes samples or gives its engines orders.
func (d *Deployment) Coordinated() bool { return d.Rollout != nil || d.Versions.Pinned != 0 }

// Limits bounds a deployment's requests over all entry VMs together.
type Limits struct {
	Concurrent     int           // requests in flight
	QueueLength    int           // requests waiting
	QueueTimeout   time.Duration // longest wait before a truthful refusal
	RequestTimeout time.Duration // longest run of one request
}

// OncePattern matches calls of a plain service that are not idempotent.
type OncePattern struct {
	Method     string
	PathPrefix string
}

// VersionPolicy says which weights a deployment serves.
type VersionPolicy struct {
	Pinned WeightVersion // zero follows the newest that the trainer published
}

// Rollout says how samples are made for the deployment's trainer.
type Rollout struct {
	Trainer        CallerName
	Scorer         string    // scoring service, matched with VM.Service
	Prompts        ObjectKey // object with one prompt a line
	GroupSize      int       // samples of one prompt
	GroupsPerStep  int
	MaxTokens      int
	StalenessBound uint64  // versions a sample may lag behind its trainer
	IdleWeight     float64 // weight of trainer idle time against staleness, 0 to 1
}

// Configuration is one accepted generation. Its content never changes.
type Configuration struct {
	Generation  Generation
	Parent      Generation
	Operator    string
	Deployments []Deployment
}

// Find returns the deployment of that name, or nil.
func (c *Configuration) Find(name DeploymentName) *Deployment {
	for i := range c.Deployments {
		if c.Deployments[i].Name == name {
			return &c.Deployments[i]
		}
	}
	return nil
}
