package routing

import (
	"time"

	"fescuespar/internal/core"
)

// Candidate is what filters and scorers see of one server at the time of a
// decision.
type Candidate struct {
	VM       *core.VM
	Holds    bool               // the server holds the adapter, or has not reported yet
	Version  core.WeightVersion // of the adapter; zero when not known
	Lag      uint64             // versions behind the newest of the adapter in the pool
	Ejected  bool
	Weight   float64       // share of the usual work that it may get, above 0 and up to 1
	Streams  int           // this process's requests in flight there
	Warm     bool          // a connection to it is probably kept
	Load     float64       // estimated tokens of prompts and answers before the request
	Base     float64       // seconds for a token of work on an idle server
	Slope    float64       // further seconds for each token of load
	Cached   float64       // expected tokens of the prompt that are cached
	Remote   bool          // in another region than the asking entry VM
	LinkOpen bool          // the link's share has room for the request
	Pushback time.Duration // for which it is to get less work after a refusal

	server *server
	cost   float64 // seconds, set when the candidate is scored
}

// Filter drops candidates. Keep is called for each candidate in no stated
// order and must not change its arguments or keep them. It takes constant time.
type Filter interface {
	Keep(candidate *Candidate, query *Query) bool
}

// Scorer gives a candidate a cost in seconds of waiting, zero or more; the
// costs of all scorers add up. Score must not change its arguments or keep
// them. It takes constant time.
type Scorer interface {
	Score(candidate *Candidate, query *Query) float64
}
