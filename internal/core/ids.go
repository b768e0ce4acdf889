package core

// DeploymentName names one rollout deployment or plain service deployment.
type DeploymentName string

// ModelName names a base model that engines load.
type ModelName string

// AdapterName names an adapter on top of a model; empty means none.
type AdapterName string

// WeightVersion numbers the weights of one deployment; larger is newer.
// Zero means that no version is known.
type WeightVersion uint64

// CallerName names an authenticated caller.
type CallerName string

// ServerID identifies a backend server.
type ServerID string

// VMID identifies an entry VM.
type VMID string

// ZoneName names an availability zone.
type ZoneName string

// RegionName names a region.
type RegionName string

// RequestID identifies one request of one caller.
type RequestID string

// IdempotencyKey is the key a caller gives to a request that may run only once.
type IdempotencyKey string

// ObjectKey names an object in the object store.
type ObjectKey string

// AttemptID identifies one attempt to commit; a re-read finds it in the rows
// that the attempt wrote.
type AttemptID string

// Fence is a fencing number. It grows with every change of a lease's holder.
type Fence uint64

// Generation numbers configurations; each one follows exactly one parent.
type Generation uint64

// Step numbers the training steps of one deployment.
type Step uint64

// Incarnation numbers the starts of one entry process; larger is later.
type Incarnation uint64
