package routing

import (
	"time"

	"fescuespar/internal/core/outlier"
)

// Policy holds the constants of routing.
type Policy struct {
	Draws      int           // servers drawn at random from the caller's region
	Speed      float64       // tokens of work a second on an idle server, until measured
	ZoneTrip   time.Duration // round trip to another availability zone of the region
	Connect    time.Duration // waiting that is as dear as a new connection
	ReportLife time.Duration // age from which an engine's report of load no longer counts

	PrefixEntries  int           // bound of the prefix index; a power of two
	DispatchMemory time.Duration // how long a dispatch is taken for a cached prefix
	EventMemory    time.Duration // how long a cache event is believed

	Link    LinkPolicy
	Outlier outlier.Policy
}

// LinkPolicy holds the constants of the link between regions.
type LinkPolicy struct {
	Capacity      float64       // bytes a second each way
	Share         float64       // of the capacity that routed requests may use
	SecondsByByte float64       // waiting that is as dear as one byte across the link
	Trip          time.Duration // round trip to another region
	Burst         time.Duration // time for which unused share is kept
	Reserve       float64       // share of the burst that only people's requests may use
}

// DefaultPolicy returns the constants that the service uses.
func DefaultPolicy() Policy {
	return Policy{
		Draws:          2,
		Speed:          50,
		ZoneTrip:       3 * time.Millisecond,
		ReportLife:     30 * time.Second,
		PrefixEntries:  1 << 17,
		DispatchMemory: 2 * time.Minute,
		EventMemory:    10 * time.Minute,
		Link: LinkPolicy{
			Capacity:      450e6 / 8,
			Share:         0.5,
			SecondsByByte: 1e-5,
			Trip:          24 * time.Millisecond,
			Burst:         2 * time.Second,
			Reserve:       0.25,
		},
		Outlier: outlier.DefaultPolicy(),
	}
}
