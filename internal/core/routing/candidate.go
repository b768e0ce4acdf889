package routing

import (
	"time"

	"fescuespar/internal/core"
)

// Candidate describes one server to filters and scorers at the time of a
// decision.
type Candidate struct {
	VM                *core.VM
	HoldsAdapter      bool               // the server holds the adapter, or has not reported yet
	Version           core.WeightVersion // of the adapter; zero when unknown
	VersionLag        uint64             // number of versions behind the pool's newest version of the adapter
	Ejected           bool
	Weight            float64       // share of its normal load that it may receive, above 0 and up to 1
	OwnStreams        int           // this process's requests in flight on the server
	BytesInFlight     int           // of this process's requests on the server
	HasIdleConnection bool          // an idle connection to the server probably exists
	LoadTokens        float64       // estimated tokens in flight, prompts and answers, without this request
	SecondsPerToken   float64       // on an idle server
	LoadSlope         float64       // additional seconds per token of work for each token of load
	CachedTokens      float64       // expected cached tokens of the prompt
	Remote            bool          // in a different region than the requesting entry VM
	LinkAvailable     bool          // this process's share of the link has capacity for the request
	RateLimited       bool          // the server advertises a rate limit
	RateTokens        float64       // requests that this process may send now under that limit
	RateAdvance       float64       // interactive requests that it may send in advance
	Pushback          time.Duration // remaining time for which it receives less work after a refusal
	PaceShare         float64       // share of its usual work that it gets, above 0 and up to 1; 1 also if its pace does not filter
	PaceDraw          float64       // random number from 0 to 1, the same for all candidates of a decision

	server *server
	cost   float64 // seconds; set when the candidate is scored
}

// Filter rejects candidates. Accepts is called once for each candidate, in no
// particular order. It must run in constant time and must neither modify nor
// retain its arguments.
type Filter interface {
	Accepts(candidate *Candidate, query *Query) bool
}

// Scorer assigns a candidate a cost in seconds of waiting, zero or more; the
// costs of all scorers are summed. Score must run in constant time and must
// neither modify nor retain its arguments.
type Scorer interface {
	Score(candidate *Candidate, query *Query) float64
}
