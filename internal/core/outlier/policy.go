package outlier

import "time"

// Policy holds the limits and intervals of one pool.
type Policy struct {
	ConsecutiveFailures   int           // consecutive failures that eject a server
	MinResults            int           // results before a server is compared with its peers
	MinPeers              int           // least number of servers with results in PeerWindow for a median
	PeerWindow            time.Duration // largest age of a peer's last result that counts
	SuccessFactor         float64       // a success rate below this multiple of the median ejects
	LatencyFactor         float64       // a time per token above this multiple of the median ejects
	LatencyFloor          time.Duration // a time per token up to this never ejects
	MaxEjectedShare       float64       // share of a pool, rounded up; at least one server stays
	BaseEjection          time.Duration // length of the first ejection; each further one doubles it
	MaxEjection           time.Duration
	Jitter                float64       // largest share of its length that is added to an ejection
	ForgivenessPeriod     time.Duration // time in service that reverts one doubling
	RampUp                time.Duration // time over which a restored server regains its full weight
	UnreachableRetry      time.Duration // time since the last failed connection after which an unreachable server is tried again
	RestartGrace          time.Duration // time after a crash caused by a request in which failures do not lengthen ejections
	DegradedLatencyFactor float64       // multiple of the baseline time per token above which the pool is degraded
	DegradedSuccessFactor float64       // multiple of the baseline success rate below which the pool is degraded
	DegradationOnset      time.Duration // ejections up to this age end when the pool becomes degraded
	BaselineTimeConstant  time.Duration // time constant of the baseline medians
}

// DefaultPolicy returns the limits used in production.
func DefaultPolicy() Policy {
	return Policy{
		ConsecutiveFailures:   3,
		MinResults:            10,
		MinPeers:              3,
		PeerWindow:            30 * time.Second,
		SuccessFactor:         0.6,
		LatencyFactor:         3,
		LatencyFloor:          2 * time.Millisecond,
		MaxEjectedShare:       0.3,
		BaseEjection:          5 * time.Second,
		MaxEjection:           2 * time.Minute,
		Jitter:                0.2,
		ForgivenessPeriod:     2 * time.Minute,
		RampUp:                20 * time.Second,
		UnreachableRetry:      10 * time.Second,
		RestartGrace:          30 * time.Second,
		DegradedLatencyFactor: 1.5,
		DegradedSuccessFactor: 0.8,
		DegradationOnset:      10 * time.Second,
		BaselineTimeConstant:  2 * time.Minute,
	}
}
