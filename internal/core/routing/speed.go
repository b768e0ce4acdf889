package routing

import "time"

// Constants of the fit of a pool's speed.
const (
	speedMemory = 0.99 // share of the earlier requests' weight that a further one leaves
	fullStreams = 32   // a load of so many mean requests at most doubles the time of a token when none is measured
	leastShare  = 0.1  // least share of the mean time of a token that is not due to load
)

// prefillCost is the work of processing a prompt's token, in generated tokens.
const prefillCost = 0.2

// speed fits the time that a server of a pool takes for a token of work to
// base + slope * load, by least squares over recent requests. Engines batch:
// up to some load a further request slows the others by little, so load alone
// says little about waiting.
type speed struct {
	weight, load, took, loadLoad, loadTook float64 // weighted sums

	base  float64 // seconds for a token of work on an idle server
	slope float64 // further seconds for each token of load
}

// add takes in a request: tokens of work, tokens of load during it, and the
// time it took.
func (s *speed) add(work, load float64, took time.Duration) {
	if work <= 0 || took <= 0 {
		return
	}
	s.weight = s.weight*speedMemory + work
	s.load = s.load*speedMemory + work*load
	s.took = s.took*speedMemory + took.Seconds()
	s.loadLoad = s.loadLoad*speedMemory + work*load*load
	s.loadTook = s.loadTook*speedMemory + took.Seconds()*load
	s.fit()
}

func (s *speed) fit() {
	meanLoad := s.load / s.weight
	mean := s.took / s.weight
	s.slope = 0
	if spread := s.loadLoad/s.weight - meanLoad*meanLoad; spread > 0 {
		s.slope = max(0, (s.loadTook/s.weight-meanLoad*mean)/spread)
	}
	s.base = mean - s.slope*meanLoad
	if least := leastShare * mean; s.base < least {
		s.base = least
		s.slope = (mean - least) / meanLoad
	}
}

// slopeFor returns the slope, or what the pool's mean request gives when the
// measured one is smaller: a less loaded server is always somewhat better.
func (s *speed) slopeFor(tokensPerStream float64) float64 {
	return max(s.slope, s.base/(fullStreams*max(1, tokensPerStream)))
}
