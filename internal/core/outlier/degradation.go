package outlier

import (
	"math"
	"slices"
	"time"
)

// reason says why a server was ejected.
type reason int

// Reasons for an ejection.
const (
	reasonFailing reason = iota + 1
	reasonSlow
)

// degradation says in which ways a whole pool is worse than its baseline.
type degradation struct {
	failing bool
	slow    bool
}

// explains reports whether the degradation of the pool accounts for the reason
// of an ejection. While all servers are slow, as under the highest load, a
// failing one is still an outlier.
func (d degradation) explains(cause reason) bool {
	return cause == reasonFailing && d.failing || cause == reasonSlow && d.slow
}

// medians computes the medians over the servers with a recent result, including
// ejected ones: servers ejected at the onset of a degradation are part of it.
func (p *Pool) medians(now time.Time) medians {
	success := p.median(now, func(s *Server) float64 { return s.success })
	if math.IsNaN(success) {
		return medians{}
	}
	perToken := p.median(now, func(s *Server) float64 { return s.perToken })
	return medians{success: success, perToken: perToken, valid: true}
}

// median returns the median of a value over the servers with recent results, or
// NaN if there are too few.
func (p *Pool) median(now time.Time, value func(*Server) float64) float64 {
	p.medianBuffer = p.medianBuffer[:0]
	for _, server := range p.servers {
		if server.resultCount > 0 && server.lastUnreachable.IsZero() && now.Sub(server.lastResult) <= p.policy.PeerWindow {
			p.medianBuffer = append(p.medianBuffer, value(server))
		}
	}
	if len(p.medianBuffer) < max(1, p.policy.MinPeers) {
		return math.NaN()
	}
	slices.Sort(p.medianBuffer)
	return p.medianBuffer[len(p.medianBuffer)/2]
}

// detectDegradation compares the medians with the baseline. At the onset of a
// degradation the recent ejections for the same reason end: they were its first
// signs, not outliers.
func (p *Pool) detectDegradation(current medians, now time.Time) {
	previous := p.degraded
	p.degraded = degradation{}
	if current.valid && p.baseline.valid {
		p.degraded = p.compareWithBaseline(current)
	}
	onset := degradation{failing: p.degraded.failing && !previous.failing, slow: p.degraded.slow && !previous.slow}
	for _, server := range p.servers {
		if server.ejected && onset.explains(server.reason) && now.Sub(server.ejectedAt) <= p.policy.DegradationOnset {
			server.ejections = max(0, server.ejections-1)
			p.restore(server, now)
			server.returnedAt = time.Time{}
		}
	}
}

func (p *Pool) compareWithBaseline(current medians) degradation {
	return degradation{
		failing: current.success < p.policy.DegradedSuccessFactor*p.baseline.success,
		slow:    current.perToken > p.policy.DegradedLatencyFactor*p.baseline.perToken,
	}
}

// updateBaseline moves the baseline slowly towards the current medians, also
// while the pool is degraded: a lasting change becomes the baseline.
func (p *Pool) updateBaseline(current medians, now time.Time) {
	if !current.valid {
		return
	}
	if !p.baseline.valid {
		p.baseline = current
		return
	}
	weight := 1 - math.Exp(-now.Sub(p.lastSweep).Seconds()/p.policy.BaselineTimeConstant.Seconds())
	p.baseline.success += weight * (current.success - p.baseline.success)
	p.baseline.perToken += weight * (current.perToken - p.baseline.perToken)
}
