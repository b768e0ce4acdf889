package routing

import (
	"time"

	"fescuespar/internal/core/outlier"
)

// Policy holds the parameters of routing.
type Policy struct {
	RandomCandidates       int           // random candidates from the entry VM's region, and from each other region searched
	InitialTokensPerSecond float64       // of work on an idle server, until measured
	ZoneRoundTrip          time.Duration // to another availability zone of the region
	ConnectionCost         time.Duration // waiting time equivalent to opening a connection
	MaxReportAge           time.Duration // older load reports of engines are ignored
	BytesPerSlot           int           // bytes of requests in flight that a server bears for each of its slots; zero for no bound
	Pace                   bool          // cold and returning servers get their work by package pace, not by the outlier policy's RampUp

	PrefixEntries int           // capacity of the prefix index; a power of two
	DispatchTTL   time.Duration // how long a dispatched prompt counts as cached
	EventTTL      time.Duration // how long a prefix reported by a cache event counts as cached

	Link    LinkPolicy
	Outlier outlier.Policy
}

// LinkPolicy holds the parameters of the link between regions.
type LinkPolicy struct {
	BytesPerSecond float64       // capacity in each direction
	UsableShare    float64       // share of the capacity that routed requests may use
	CostPerByte    float64       // seconds of waiting equivalent to sending one byte over the link
	RoundTrip      time.Duration // to another region
	Burst          time.Duration // maximum time over which unused capacity accumulates
	ReservedShare  float64       // share of the burst that rollouts may not use
}

// DefaultPolicy returns the parameters that the service uses.
func DefaultPolicy() Policy {
	return Policy{
		RandomCandidates:       2,
		InitialTokensPerSecond: 50,
		ZoneRoundTrip:          3 * time.Millisecond,
		MaxReportAge:           30 * time.Second,
		PrefixEntries:          1 << 17,
		DispatchTTL:            2 * time.Minute,
		EventTTL:               10 * time.Minute,
		Link: LinkPolicy{
			BytesPerSecond: 450e6 / 8,
			UsableShare:    0.5,
			CostPerByte:    1e-5,
			RoundTrip:      24 * time.Millisecond,
			Burst:          2 * time.Second,
			ReservedShare:  0.25,
		},
		Outlier: outlier.DefaultPolicy(),
	}
}
