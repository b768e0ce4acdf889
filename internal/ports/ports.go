// Package ports holds the interfaces through which the service meets the
// outside, in the core's types. Each outside thing has one adapter folder.
//
// Every method returns errors of package errkind. A method that changes
// something returns errkind.OutcomeUnknown when the change may have taken
// effect although no answer arrived.
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
	// Commit applies a transaction. Errors: StoreUnavailable when it surely had
	// no effect, OutcomeUnknown otherwise.
	Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error)
}

// ObjectStore holds bodies that are too large for rows. Objects are never
// changed: a key is written with one content only, so Put may be repeated.
type ObjectStore interface {
	// Put stores an object. Errors: BadRequest when the key holds another body,
	// TooLarge, StoreUnavailable, OutcomeUnknown.
	Put(ctx context.Context, key core.ObjectKey, body []byte) error
	// Get returns an object's body. Errors: NotFound, StoreUnavailable.
	Get(ctx context.Context, key core.ObjectKey) ([]byte, error)
	// Delete removes an object; an absent one is no error.
	Delete(ctx context.Context, key core.ObjectKey) error
	// List returns up to limit keys with the prefix that sort after the given one.
	List(ctx context.Context, prefix, after core.ObjectKey, limit int) ([]core.ObjectKey, error)
}

// Bodies encodes what is kept in the object store.
type Bodies interface {
	EncodeConfiguration(core.Configuration) ([]byte, error)
	DecodeConfiguration([]byte) (core.Configuration, error)
	EncodeBatch(core.Batch) ([]byte, error)
	DecodeBatch([]byte) (core.Batch, error)
}

// JobBodies encodes submitted jobs, results that are too long for a row, and
// checkpoints.
type JobBodies interface {
	EncodeJob(core.Job) ([]byte, error)
	DecodeJob([]byte) (core.Job, error)
	EncodeResult(core.ItemResult) ([]byte, error)
	DecodeResult([]byte) (core.ItemResult, error)
	EncodeCheckpoint(core.Checkpoint) ([]byte, error)
	DecodeCheckpoint([]byte) (core.Checkpoint, error)
}

// VMList is the platform's list of VMs, which lags.
type VMList interface {
	// VMs returns all live and leaving VMs. Errors: StoreUnavailable.
	VMs(ctx context.Context) ([]core.VM, error)
}

// ChunkSink takes the chunks of a stream in order. An error stops the stream.
type ChunkSink func(core.Chunk) error

// Engine is a model engine on a backend server.
//
// Errors of streams: ServerRefused when the engine proved that the request was
// not run (connection refused, or its own refusal), ServerFailed when the
// stream was cut, Canceled and Timeout from the context, UnknownRequest when
// Resume finds no such stream, BadRequest when no engine can run the request.
type Engine interface {
	// Generate runs one attempt and feeds its chunks to the sink until the
	// explicit end mark.
	Generate(ctx context.Context, server core.VM, request core.GenerateRequest, sink ChunkSink) (core.StreamEnd, error)
	// Resume feeds the rest of a stream from a token offset of the answer.
	Resume(ctx context.Context, server core.VM, stream string, offset int, sink ChunkSink) (core.StreamEnd, error)
	// Cancel ends a stream; an unknown stream is no error.
	Cancel(ctx context.Context, server core.VM, stream string) error
	// Status returns the engine's report and its cache events since a cursor.
	Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error)
	// Order gives an order. It returns when the engine accepted it, which is
	// not when it has taken effect: Status tells that. Errors: Fenced,
	// ServerRefused, OutcomeUnknown.
	Order(ctx context.Context, server core.VM, order core.Order) error
}

// PlainService is a plain service on a backend server.
type PlainService interface {
	// Call sends one call once. Errors: ServerRefused when it surely did not
	// run, ServerFailed or Timeout when it may have.
	Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error)
	// Probe finds out whether the server takes connections, and asks it nothing.
	// Errors: ServerRefused when it does not, Timeout.
	Probe(ctx context.Context, server core.VM) error
}

// Scorer is a scoring service. Scoring is idempotent.
type Scorer interface {
	// Score returns the sample's score. Errors: ServerRefused, ServerFailed, Timeout.
	Score(ctx context.Context, server core.VM, sample core.Sample) (float64, error)
}

// Peers sends messages to other entry processes, named by their peer address.
// Errors: PeerUnreachable, and whatever kind the peer answered with.
type Peers interface {
	Heartbeat(ctx context.Context, address string, beat core.Heartbeat) (core.Heartbeat, error)
	// Configuration fetches the newest configuration that the peer applied.
	Configuration(ctx context.Context, address string) (core.Configuration, error)
	// Batch relays a trainer's request to the process that coordinates its deployment.
	Batch(ctx context.Context, address string, request core.BatchRequest) (core.Batch, error)
	// Answer fetches the rest of an answer, waiting a short time for more of it.
	Answer(ctx context.Context, address string, request core.AnswerRequest) (core.AnswerPart, error)
	// VMNews asks what changed in the VM list.
	VMNews(ctx context.Context, address string, request core.VMNewsRequest) (core.VMNews, error)
}

// PeerHandler is the receiving side of Peers, implemented by the application.
type PeerHandler interface {
	HandleHeartbeat(ctx context.Context, beat core.Heartbeat) (core.Heartbeat, error)
	HandleConfiguration(ctx context.Context) (core.Configuration, error)
	HandleBatch(ctx context.Context, request core.BatchRequest) (core.Batch, error)
	HandleAnswer(ctx context.Context, request core.AnswerRequest) (core.AnswerPart, error)
	HandleVMNews(ctx context.Context, request core.VMNewsRequest) (core.VMNews, error)
}

// Keys is this process's certificate.
type Keys interface {
	// State returns how long the certificate is valid and whether changed files
	// are in use.
	State() core.KeysState
}

// Clock tells the time. Differences between its times are monotonic.
type Clock interface {
	Now() time.Time
}
