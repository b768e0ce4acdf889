package ports

import (
	"context"
	"time"

	"fescuespar/internal/core"
)

// Relay is the driving port for front ends that forward requests unchanged.
type Relay interface {
	// Admit returns the route of a request and the account that it is served for,
	// which a front end sets in the requests and jobs that it passes on. It may wait
	// for a newer configuration. Errors: Starting while no route table is known,
	// NotFound, RouteUnconfirmed, Unauthenticated, KeyUnconfirmed; the request was not run.
	Admit(ctx context.Context, host, path string, credentials core.Credentials) (core.Admission, error)
	// Forward sends a request to a backend server and returns the complete
	// response. It returns once the request's body is no longer in use, also when the
	// context has ended. The context must end when the response is no longer in use,
	// which frees its memory. Errors: ServerFailed, Timeout and Canceled when the request may
	// have run; with any other kind it was refused and not run.
	Forward(ctx context.Context, request core.RelayRequest) (core.RelayResponse, error)
	// ForwardEvents sends a request whose response is a stream of events and
	// passes the response to the sink as it arrives. If the backend server's
	// response is not a success, it is returned instead; otherwise the status of
	// the returned response is zero.
	ForwardEvents(ctx context.Context, request core.EventsRequest, sink EventSink) (core.RelayResponse, error)
	// Limits returns the limits for callers' requests.
	Limits() core.CallerLimits
	// EntryAddresses returns the addresses that callers in a zone and region
	// should use.
	EntryAddresses(zone core.ZoneName, region core.RegionName) core.AddressList
	// Ready reports whether this process accepts requests.
	Ready() bool
}

// EventSink receives a stream's response head and then its events in order. An
// error stops the stream.
type EventSink interface {
	Head(response core.RelayResponse) error
	Event(event core.Event) error
}

// Jobs is the driving port for front ends that accept jobs.
type Jobs interface {
	// Submit accepts a job durably for the account that Relay.Admit returned. It may
	// be repeated for the same job. Errors: those of Admit, BadRequest,
	// StoreUnavailable when no part of the job will run, OutcomeUnknown.
	Submit(ctx context.Context, job core.Job) error
	// Results returns results from the position from on. It waits at most the
	// time wait for the first one. Errors: UnknownRequest when there is no such
	// job, those of Admit, StoreUnavailable.
	Results(ctx context.Context, credentials core.Credentials, id core.JobID, from int, wait time.Duration) (core.ResultPage, error)
	// ItemBody returns the body of an item. Errors: those of Results.
	ItemBody(ctx context.Context, credentials core.Credentials, id core.JobID, item core.ItemID) ([]byte, error)
	// EndJob ends a job durably. It is not an error if the job has ended. Errors:
	// those of Results, OutcomeUnknown.
	EndJob(ctx context.Context, credentials core.Credentials, id core.JobID) error
}

// Backend is a backend server that handles relayed requests.
type Backend interface {
	// Exchange sends a request once, without retries. Errors: ServerRefused when
	// it certainly was not run, ServerFailed, Timeout or Canceled when it may
	// have been. The response's ServerNotice is set with an error too. If its Release is
	// not nil, it is called once when the body is no longer in use.
	Exchange(ctx context.Context, server core.VM, request core.RelayRequest) (core.RelayResponse, error)
	// Events sends a request and passes the response head and the events to the
	// sink, in order, until the stream ends. A response that is not a success is
	// returned complete instead of being passed to the sink. Errors: those of
	// Exchange, ServerFailed when the stream was cut, and the sink's error.
	Events(ctx context.Context, server core.VM, request core.EventsRequest, sink EventSink) (core.RelayResponse, error)
	// Probe checks whether the server accepts connections, without sending a request.
	// Errors: ServerRefused, Timeout, Canceled.
	Probe(ctx context.Context, server core.VM) error
	// Report returns an engine's report about itself, which may be out of date.
	// Errors: ServerRefused, ServerFailed, Timeout.
	Report(ctx context.Context, server core.VM) (core.EngineReport, error)
	// Order sends an order, as Engine.Order does. The reply's ServerNotice is
	// set with an error too.
	Order(ctx context.Context, server core.VM, order core.Order) (core.OrderReply, error)
}

// Memory is the memory that a process may hold for its callers.
type Memory interface {
	// Take takes bytes from it until release is called. It returns false if callers
	// hold too much already.
	Take(bytes int64) (release func(), ok bool)
}

// Registry is where operators, trainers and backend servers publish routes,
// weight versions and registrations for the entry processes.
type Registry interface {
	// Published returns the newest route table and weight versions. Errors:
	// StoreUnavailable.
	Published(ctx context.Context) (core.Published, error)
	// Servers returns all registered backend servers. Errors: StoreUnavailable.
	Servers(ctx context.Context) (core.Registrations, error)
}
