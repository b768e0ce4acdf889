package core

import "time"

// RouteKind defines whether requests of a route may be repeated and how they are
// answered.
type RouteKind string

// The kinds of route.
const (
	RouteIdempotent RouteKind = "idempotent" // may run more than once
	RouteAtMostOnce RouteKind = "once"       // runs at most once per attempt of the caller
	RouteStream     RouteKind = "stream"     // answered with an event stream
	RouteJobs       RouteKind = "jobs"       // accepts jobs of many items that run later
)

// Route maps requests to services and sets their bounds.
type Route struct {
	Name     string
	Host     string
	Prefix   string // starts and ends with a slash
	Kind     RouteKind
	Services []WeightedService
	Attempts int           // maximum number of backend servers that one request is sent to
	Timeout  time.Duration // maximum time that a request is kept waiting; zero for no limit
	Target   time.Duration // target latency: time within which an answer has its full value
	Priority int           // 0 is most urgent

	AccountExempt bool // requests need no key of a client account

	Resumable     bool          // streams may be continued on another backend server
	SingleVersion bool          // all events of a text must come from one weight version
	ResultsDue    time.Duration // deadline of a job's results, counted from its first submission
	ItemLife      time.Duration // time after a job's submission at which its items may be abandoned
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// ServiceInfo is the description of a service as published by operators.
type ServiceInfo struct {
	Name  string
	Slots int // requests that one engine runs at a time; zero for plain services
}

// CallerLimits bounds the requests that callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one accepted version of all routes and services. It is
// immutable.
type RouteTable struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceInfo
	Limits   CallerLimits
	Accounts Accounts // nil if the deployment has no client accounts
	// AccountNames holds the client accounts by name, also those that have no key.
	AccountNames map[AccountName]*Account
}

// Header maps canonical header names to their values.
type Header map[string][]string

// Get returns the first value of a header, or "".
func (h Header) Get(canonical string) string {
	if values := h[canonical]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// RelayRequest is a request that is forwarded unchanged.
type RelayRequest struct {
	ID         RequestID // id of the caller's attempt; backend servers echo it
	Method     string
	Host       string
	Target     string // path and query as received
	Header     Header // without hop-by-hop headers
	Body       Body
	Model      ModelName   // model of a generation request; empty for other requests
	AtMostOnce bool        // must not run more than once
	Deadline   time.Time   // time at which the caller stops waiting; zero if unknown
	Account    AccountName // account that the request is served for; empty if there is none

	// HasAccounts reports that the deployment has client accounts. Header fields that
	// carry a key or name an account are then not the caller's to set.
	HasAccounts bool
}

// Path returns the target without its query.
func (r *RelayRequest) Path() string {
	for i := range r.Target {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// RelayResponse is the complete response of a backend server.
type RelayResponse struct {
	Status    int
	Header    Header // without hop-by-hop headers
	Body      Body
	Signature string // proof that a backend server produced this response; empty if there is none
	ServerNotice
	Errors  int    // responses with status 500 to all attempts of the request
	Release func() // returns the memory of Body to its budget; nil if it has none

	// SentAfter is the time from the start of the exchange until the whole request was
	// sent, zero if it was not. It is set with an error too.
	SentAfter time.Duration

	// ConnectionAge is how long the connection had been open when the head arrived, zero if
	// that is not known.
	ConnectionAge time.Duration
}

// ServerNotice is the state that a backend server reports in the header of a response.
type ServerNotice struct {
	Leaving   bool    // it shuts down soon and must get no new requests or orders
	Limited   bool    // it advertises a rate limit
	RateLimit float64 // requests a second that it takes from all entry VMs together
	Answered  bool    // the response answers a request, so that the server has no limit unless Limited
}

// Event is one event of an event stream.
type Event struct {
	ID      int // starts at 1, without gaps
	Data    string
	Version WeightVersion // weights that produced the event; zero if unknown
	Raw     []byte        // bytes as sent by the backend server; valid until the sink returns
}

// EventsRequest is a request that is answered with an event stream.
type EventsRequest struct {
	RelayRequest
	After   int           // id of the last event that was already received
	Resumes RequestID     // attempt of the caller that brought the first event, if After is not zero; empty if unknown
	Version WeightVersion // weights that produced that event; zero if unknown or not to be told to the caller

	// FirstEventWithin and LongestGap are the times to the first event and between
	// two events after which the stream counts as stalled. Zero leaves them to the
	// adapter.
	FirstEventWithin, LongestGap time.Duration
}

// ServerEntry is the registration that a backend server writes for itself.
type ServerEntry struct {
	VM            VM
	Models        []ModelVersion // weights that the server holds; empty for plain services
	StartedUnixMs int64          // start time of this incarnation in Unix milliseconds
	ColdFor       time.Duration  // time from the writing of the registration in which the server is still slow after its start
}

// ModelVersion is a version of the weights of one model.
type ModelVersion struct {
	Model   ModelName
	Version WeightVersion
}

// Published is the state that operators and trainers have published.
type Published struct {
	Table    *RouteTable    // nil if none could be read
	Versions []ModelVersion // newest published version of each model
	Stale    bool           // read by another entry process before the platform became unavailable
}

// Registrations is the list of registered backend servers.
type Registrations struct {
	Entries     []ServerEntry // read-only
	ContentHash uint64        // equal values from one client mean equal entries; zero means unknown
	Stale       bool          // read by another entry process before the platform became unavailable
}

// EngineReport is the status that an engine reports of itself.
type EngineReport struct {
	ServerNotice
	Models  []ModelVersion
	Busy    bool   // the engine is executing an order
	Orders  uint64 // number of orders accepted since its start
	Running int    // requests in the running batch
	Waiting int    // requests waiting for a slot
}
