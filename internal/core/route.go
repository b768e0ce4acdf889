package core

import "time"

// RouteKind says how requests of a route may be repeated and answered.
type RouteKind string

// The kinds of route.
const (
	RouteIdempotent RouteKind = "idempotent" // may run more than once
	RouteOnce       RouteKind = "once"       // runs at most once for each attempt of the caller
	RouteStream     RouteKind = "stream"     // answered by a series of events
	RouteJobs       RouteKind = "jobs"       // takes jobs of many items that run later
)

// Route says which requests go to which services, and within what bounds.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     RouteKind
	Services []WeightedService
	Attempts int           // most backend servers that one request may be sent to
	Timeout  time.Duration // longest time that a request is kept waiting; zero for none
	Target   time.Duration // time within which an answer is of full use
	Priority int           // 0 is the most urgent

	Resumable     bool          // streams may go on at another backend server
	SingleVersion bool          // all events of a text come from one weight version
	ResultsDue    time.Duration // of a job, after its first submission
	ItemLife      time.Duration // after a job's submission, from which on an item may be given up
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// ServiceInfo is what operators publish of a service.
type ServiceInfo struct {
	Name  string
	Slots int // requests that one engine runs at a time; zero for plain services
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one accepted version of all routes and services. Its content
// never changes.
type RouteTable struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceInfo
	Limits   CallerLimits
}

// Header holds the fields of a message by canonical name.
type Header map[string][]string

// Get returns a field's first value, or "".
func (h Header) Get(canonical string) string {
	if values := h[canonical]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// RelayRequest is a request that is passed on unchanged.
type RelayRequest struct {
	ID       RequestID // of this attempt of the caller; backend servers echo it
	Method   string
	Host     string
	Target   string // path and query as sent
	Header   Header // without the fields that concern one connection only
	Body     []byte
	Model    ModelName // of a request for tokens; empty for any other
	Once     bool      // must not run twice
	Deadline time.Time // when the caller stops waiting; zero when not told
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

// RelayResponse is a backend server's whole response.
type RelayResponse struct {
	Status    int
	Header    Header // without the fields that concern one connection only
	Body      []byte
	Signature string // proof that a backend server gave this response; empty for none
}

// Event is one event of a stream.
type Event struct {
	ID      int // from 1, without gaps
	Data    string
	Version WeightVersion // weights that made it, zero when not told
	Raw     []byte        // as the backend server sent it; valid until the sink returns
}

// EventsRequest runs a request whose answer is a series of events.
type EventsRequest struct {
	RelayRequest
	After int // number of the last event that is already there
}

// ServerEntry is a backend server's own registration.
type ServerEntry struct {
	VM     VM
	Models []ModelVersion // weights that it holds; empty for plain services
	Born   int64          // start of this incarnation, Unix milliseconds
}

// ModelVersion is the version of one model's weights.
type ModelVersion struct {
	Model   ModelName
	Version WeightVersion
}

// Published is what operators and trainers have published.
type Published struct {
	Table    *RouteTable    // nil when none can be read
	Versions []ModelVersion // newest named version of each model
	Old      bool           // as another entry process read it before the platform went away
}

// Registrations is what backend servers have registered.
type Registrations struct {
	Entries []ServerEntry // must not be changed
	Content uint64        // equal in two answers of one client: they hold the same entries; zero tells nothing
	Old     bool          // as another entry process read it before the platform went away
}

// EngineReport is an engine's own report.
type EngineReport struct {
	Models  []ModelVersion
	Busy    bool   // an order is being carried out
	Orders  uint64 // orders accepted since its start
	Running int    // requests in its batch
	Waiting int    // requests that wait for a slot
}
