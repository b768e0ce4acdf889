package outlier

import "time"

// Policy holds the limits of one pool.
type Policy struct {
	ConsecutiveFailures int           // failures in a row that eject
	MinResults          int           // results before a server is compared with its peers
	MinPeers            int           // servers with results in PeerWindow that make a median
	PeerWindow          time.Duration // age up to which a peer's last result counts
	SuccessFactor       float64       // ejects below this multiple of the median success rate
	LatencyFactor       float64       // ejects above this multiple of the median time per token
	LatencyFloor        time.Duration // time per token that is never an outlier
	MaxEjectedShare     float64       // of a pool, rounded up; never the whole pool
	BaseEjection        time.Duration // first ejection; each further one doubles it
	MaxEjection         time.Duration
	Jitter              float64       // largest share added to an ejection's length
	Forgive             time.Duration // time in service that takes back one doubling
	Ramp                time.Duration // time over which a returning server regains its weight
	Unreachable         time.Duration // time without news after which an unreachable server is tried again
	RestartGrace        time.Duration // failures after a crash by a killing request don't lengthen ejections
	SagLatency          float64       // multiple of the usual median time per token that is a sag
	SagSuccess          float64       // multiple of the usual median success rate that is a sag
	SagOnset            time.Duration // ejections this recent end when a sag is found
	Baseline            time.Duration // time constant of the usual medians
}

// DefaultPolicy returns the limits that the service uses.
func DefaultPolicy() Policy {
	return Policy{
		ConsecutiveFailures: 3,
		MinResults:          10,
		MinPeers:            3,
		PeerWindow:          30 * time.Second,
		SuccessFactor:       0.6,
		LatencyFactor:       3,
		LatencyFloor:        2 * time.Millisecond,
		MaxEjectedShare:     0.3,
		BaseEjection:        5 * time.Second,
		MaxEjection:         2 * time.Minute,
		Jitter:              0.2,
		Forgive:             2 * time.Minute,
		Ramp:                20 * time.Second,
		Unreachable:         10 * time.Second,
		RestartGrace:        30 * time.Second,
		SagLatency:          1.5,
		SagSuccess:          0.8,
		SagOnset:            10 * time.Second,
		Baseline:            2 * time.Minute,
	}
}
