package core

// DeploymentName is the name of a rollout deployment or a plain service
// deployment.
type DeploymentName string

// ModelName is the name of a base model that engines load.
type ModelName string

// AdapterName is the name of an adapter applied to a model; empty means none.
type AdapterName string

// WeightVersion is the version number of the weights of one deployment; larger
// is newer. Zero means that no version is known.
type WeightVersion uint64

// CallerName is the name of an authenticated caller.
type CallerName string

// ServerID identifies a backend server.
type ServerID string

// VMID identifies an entry VM.
type VMID string

// ZoneName is the name of an availability zone.
type ZoneName string

// RegionName is the name of a region.
type RegionName string

// RequestID identifies one request of one caller.
type RequestID string

// IdempotencyKey is the key with which a caller marks a request that may run
// only once.
type IdempotencyKey string

// ObjectKey is the key of an object in the object store.
type ObjectKey string

// AttemptID identifies one attempt to commit. It is stored in the rows that the
// attempt wrote, so that a re-read shows whether the attempt took effect.
type AttemptID string

// Fence is a fencing number. It increases whenever a lease changes its
// holder.
type Fence uint64

// Generation is the sequence number of a configuration; each has exactly one
// parent.
type Generation uint64

// Step is the number of a training step of one deployment.
type Step uint64

// Incarnation identifies one start of an entry process; larger is later.
type Incarnation uint64
