package ports

import (
	"context"
	"time"

	"fescuespar/internal/core"
)

// Relay is what front ends drive that pass requests on unchanged.
type Relay interface {
	// Forward passes a request to a backend server and returns its whole
	// response. Errors are truthful refusals; ServerFailed, Timeout and
	// Canceled when it may have run.
	Forward(ctx context.Context, request core.RelayRequest) (core.RelayResponse, error)
	// ForwardEvents passes a request on whose answer is a series of events and
	// feeds the response to the sink as it arrives.
	// The response returned is a backend server's that is no success; its
	// status is zero when the sink got the stream.
	ForwardEvents(ctx context.Context, request core.EventsRequest, sink EventSink) (core.RelayResponse, error)
	// RouteOf returns the route of a request. Errors: Starting before any route
	// table is known, NotFound.
	RouteOf(host, path string) (core.Route, error)
	// Limits returns what callers may send.
	Limits() core.CallerLimits
	// EntryAddresses returns the addresses that callers in a place are to use.
	EntryAddresses(zone core.ZoneName, region core.RegionName) core.AddressList
	// Ready reports whether this process takes requests.
	Ready() bool
}

// EventSink takes a stream's head and then its bytes in order. An error stops
// the stream.
type EventSink interface {
	Head(response core.RelayResponse) error
	Event(event core.Event) error
}

// Jobs is what front ends for submitted jobs drive.
type Jobs interface {
	// Submit accepts a job durably; one that was accepted before is accepted
	// again. Errors: those of RouteOf, BadRequest, StoreUnavailable when no
	// part of the job will run, OutcomeUnknown.
	Submit(ctx context.Context, job core.Job) error
	// Results returns results from a position on, waiting for the first one
	// for up to a time. Errors: UnknownRequest when there is no such job,
	// StoreUnavailable.
	Results(ctx context.Context, id core.JobID, from int, wait time.Duration) (core.ResultPage, error)
	// ItemBody returns the body of an item. Errors as Results.
	ItemBody(ctx context.Context, id core.JobID, item core.ItemID) ([]byte, error)
	// EndJob ends a job durably; one that has ended is no error. Errors as
	// Results, OutcomeUnknown.
	EndJob(ctx context.Context, id core.JobID) error
}

// Backend is any backend server that takes relayed requests.
type Backend interface {
	// Exchange sends a request once. Errors: ServerRefused when it surely did
	// not run, ServerFailed, Timeout or Canceled when it may have.
	Exchange(ctx context.Context, server core.VM, request core.RelayRequest) (core.RelayResponse, error)
	// Events runs a request and feeds its head and its events in order to the
	// sink until the stream's end. A response that is no success goes not to
	// the sink but is returned whole. Errors as Exchange, ServerFailed for a
	// stream that was cut, and the sink's own error.
	Events(ctx context.Context, server core.VM, request core.EventsRequest, sink EventSink) (core.RelayResponse, error)
	// Report returns an engine's own report, which lags. Errors: ServerRefused,
	// ServerFailed, Timeout.
	Report(ctx context.Context, server core.VM) (core.EngineReport, error)
	// Order gives an order, as Engine.Order does.
	Order(ctx context.Context, server core.VM, order core.Order) error
}

// Registry is where operators, trainers and backend servers publish what the
// entry processes follow.
type Registry interface {
	// Published returns the newest route table and weight versions. Errors:
	// StoreUnavailable.
	Published(ctx context.Context) (core.Published, error)
	// Servers returns all registered backend servers. Errors: StoreUnavailable.
	Servers(ctx context.Context) (core.Registrations, error)
}
