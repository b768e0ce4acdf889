// Package ports holds the interfaces between the service and external systems,
// expressed in the core's types. Each external system has one adapter folder.
//
// Every method returns errors of package errkind. A method that changes state
// returns errkind.OutcomeUnknown when no answer arrived and the change may have
// taken effect.
package ports

import (
	"context"
	"time"

	"fescuespar/internal/core"
)

// TableService is the platform's transactional table service.
type TableService interface {
	// Read returns one row for each key, in the same order and from one
	// consistent snapshot. Absent rows have version zero. Errors: StoreUnavailable.
	Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error)
	// Scan returns up to limit rows of a table whose id starts with prefix and
	// sorts after the given id, in order. Errors: StoreUnavailable.
	Scan(ctx context.Context, table core.TableName, prefix, after string, limit int) ([]core.Row, error)
	// Commit applies a transaction. Errors: StoreUnavailable when it certainly
	// had no effect, OutcomeUnknown otherwise.
	Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error)
}

// ObjectStore stores bodies that are too large for rows. Objects are immutable:
// a key is only ever written with the same body, so Put may be retried.
type ObjectStore interface {
	// Put stores an object. Errors: BadRequest when the key already has a
	// different body, TooLarge, StoreUnavailable, OutcomeUnknown.
	Put(ctx context.Context, key core.ObjectKey, body []byte) error
	// Get returns an object's body. Errors: NotFound, StoreUnavailable.
	Get(ctx context.Context, key core.ObjectKey) ([]byte, error)
	// Delete removes an object. It is not an error if there is none.
	Delete(ctx context.Context, key core.ObjectKey) error
	// List returns up to limit keys that start with prefix and sort after the
	// given key, in order.
	List(ctx context.Context, prefix, after core.ObjectKey, limit int) ([]core.ObjectKey, error)
}

// BodyCodec encodes configurations and batches for the object store.
type BodyCodec interface {
	EncodeConfiguration(core.Configuration) ([]byte, error)
	DecodeConfiguration([]byte) (core.Configuration, error)
	EncodeBatch(core.Batch) ([]byte, error)
	DecodeBatch([]byte) (core.Batch, error)
}

// JobBodyCodec encodes submitted jobs, results that are too long for a row, and
// checkpoints for the object store.
type JobBodyCodec interface {
	EncodeJob(core.Job) ([]byte, error)
	DecodeJob([]byte) (core.Job, error)
	EncodeResult(core.ItemResult) ([]byte, error)
	DecodeResult([]byte) (core.ItemResult, error)
	EncodeCheckpoint(core.Checkpoint) ([]byte, error)
	DecodeCheckpoint([]byte) (core.Checkpoint, error)
}

// VMList is the platform's list of VMs, which may be out of date.
type VMList interface {
	// VMs returns all live and leaving VMs. Errors: StoreUnavailable.
	VMs(ctx context.Context) ([]core.VM, error)
}

// ChunkSink receives the chunks of a stream in order. An error stops the stream.
type ChunkSink func(core.Chunk) error

// Engine is a model engine on a backend server.
//
// Errors of streams: ServerRefused when the request was certainly not run
// (connection refused, or refused by the engine), ServerFailed when the stream
// was cut, Canceled and Timeout from the context, UnknownRequest when Resume
// finds no such stream, BadRequest when no engine can run the request.
type Engine interface {
	// Generate runs one attempt and passes its chunks to the sink until the
	// explicit end mark.
	Generate(ctx context.Context, server core.VM, request core.GenerateRequest, sink ChunkSink) (core.StreamEnd, error)
	// Resume passes the chunks of a stream to the sink, from a token offset of
	// the answer on.
	Resume(ctx context.Context, server core.VM, stream string, offset int, sink ChunkSink) (core.StreamEnd, error)
	// Cancel ends a stream. It is not an error if the stream is unknown.
	Cancel(ctx context.Context, server core.VM, stream string) error
	// Status returns the engine's report and its cache events from the cursor on.
	Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error)
	// Order sends an order. It returns once the engine has accepted the order,
	// which may take effect later; Status reports when it has. Errors: Fenced,
	// ServerRefused, OutcomeUnknown.
	Order(ctx context.Context, server core.VM, order core.Order) error
}

// PlainService is a plain service on a backend server.
type PlainService interface {
	// Call sends a call once, without retries. Errors: ServerRefused when it
	// certainly was not run, ServerFailed or Timeout when it may have been.
	Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error)
	// Probe checks whether the server accepts connections, without sending a
	// request. Errors: ServerRefused when it does not, Timeout.
	Probe(ctx context.Context, server core.VM) error
}

// Scorer is a scoring service. Scoring is idempotent.
type Scorer interface {
	// Score returns the sample's score. Errors: ServerRefused, ServerFailed, Timeout.
	Score(ctx context.Context, server core.VM, sample core.Sample) (float64, error)
}

// Peers sends messages to other entry processes, identified by their peer
// addresses. Errors: PeerUnreachable, and any kind that the peer answers with.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the peer's answer.
	Heartbeat(ctx context.Context, address string, heartbeat core.Heartbeat) (core.Heartbeat, error)
	// Configuration fetches the newest configuration that the peer has applied.
	Configuration(ctx context.Context, address string) (core.Configuration, error)
	// Batch forwards a trainer's request to the process that coordinates the
	// deployment.
	Batch(ctx context.Context, address string, request core.BatchRequest) (core.Batch, error)
	// Answer fetches the rest of an answer. The peer waits a short time for more
	// tokens.
	Answer(ctx context.Context, address string, request core.AnswerRequest) (core.AnswerPart, error)
	// VMListChanges fetches the changes of the VM list.
	VMListChanges(ctx context.Context, address string, request core.VMListChangesRequest) (core.VMListChanges, error)
}

// PeerHandler is the receiving side of Peers, implemented by the application.
type PeerHandler interface {
	HandleHeartbeat(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error)
	HandleConfiguration(ctx context.Context) (core.Configuration, error)
	HandleBatch(ctx context.Context, request core.BatchRequest) (core.Batch, error)
	HandleAnswer(ctx context.Context, request core.AnswerRequest) (core.AnswerPart, error)
	HandleVMListChanges(ctx context.Context, request core.VMListChangesRequest) (core.VMListChanges, error)
}

// Certificate is this process's certificate.
type Certificate interface {
	// State returns how long the certificate is valid and whether changed files
	// have been loaded.
	State() core.KeysState
}

// Clock returns the current time. Its times carry a monotonic reading, so that
// their differences are not affected by changes of the wall clock.
type Clock interface {
	Now() time.Time
}

// TimeOfDay returns a VM's time of day. It may jump, in either direction; its times carry
// no monotonic reading.
type TimeOfDay interface {
	TimeOfDay() time.Time
}
