package routing

import "time"

// Constants of the regression of a pool's speed.
const (
	sampleDecay     = 0.99 // factor on the weight of earlier requests for each new one
	doublingStreams = 32   // number of mean requests in flight that at least double the time of a token
	minBaseShare    = 0.1  // minimum share of the mean time of a token that does not depend on load
)

// prefillCost is the work of processing one token of a prompt, in generated
// tokens.
const prefillCost = 0.2

// speed models the time that a server of a pool takes for a token of work as
// base + slope * load, fitted by least squares over recent requests. Engines
// process requests in batches: up to some load another request slows the others
// only slightly, so load alone is a poor estimate of waiting time.
type speed struct {
	sumWork, sumLoad, sumTime, sumLoadSquared, sumLoadTime float64 // weighted sums

	base  float64 // seconds per token of work on an idle server
	slope float64 // additional seconds per token of work for each token of load
}

// addSample adds a completed request to the fit: its tokens of work, the tokens
// of load while it ran, and its duration.
func (s *speed) addSample(work, load float64, duration time.Duration) {
	if work <= 0 || duration <= 0 {
		return
	}
	s.sumWork = s.sumWork*sampleDecay + work
	s.sumLoad = s.sumLoad*sampleDecay + work*load
	s.sumTime = s.sumTime*sampleDecay + duration.Seconds()
	s.sumLoadSquared = s.sumLoadSquared*sampleDecay + work*load*load
	s.sumLoadTime = s.sumLoadTime*sampleDecay + duration.Seconds()*load
	s.fit()
}

func (s *speed) fit() {
	meanLoad := s.sumLoad / s.sumWork
	mean := s.sumTime / s.sumWork
	s.slope = 0
	if spread := s.sumLoadSquared/s.sumWork - meanLoad*meanLoad; spread > 0 {
		s.slope = max(0, (s.sumLoadTime/s.sumWork-meanLoad*mean)/spread)
	}
	s.base = mean - s.slope*meanLoad
	if minBase := minBaseShare * mean; s.base < minBase {
		s.base = minBase
		s.slope = (mean - minBase) / meanLoad
	}
}

// expected returns the seconds that some work takes at a load, zero if no request has
// completed yet.
func (s *speed) expected(work, load float64) float64 {
	if s.sumWork == 0 {
		return 0
	}
	return work * (s.base + s.slope*load)
}

// effectiveSlope returns the fitted slope, but at least the slope at which
// doublingStreams mean requests double the time of a token, so that a less
// loaded server always costs less.
func (s *speed) effectiveSlope(tokensPerStream float64) float64 {
	return max(s.slope, s.base/(doublingStreams*max(1, tokensPerStream)))
}
