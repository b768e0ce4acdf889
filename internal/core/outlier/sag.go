package outlier

import (
	"math"
	"slices"
	"time"
)

// reason says for what a server was ejected.
type reason int

// The reasons.
const (
	forFailing reason = iota + 1
	forSlowness
)

// sag says in which ways a whole pool is worse than usual.
type sag struct {
	failing bool
	slow    bool
}

// covers reports whether the sag accounts for what a server would be ejected
// for. While all are slow, as under the highest load, one that fails still
// stands out.
func (s sag) covers(why reason) bool {
	return why == forFailing && s.failing || why == forSlowness && s.slow
}

// medians computes the medians over the servers with a recent result, ejected
// ones included: in a sag those ejected at its onset belong to the picture.
func (p *Pool) medians(now time.Time) medians {
	success := p.median(now, func(s *Server) float64 { return s.success })
	if math.IsNaN(success) {
		return medians{}
	}
	perToken := p.median(now, func(s *Server) float64 { return s.perToken })
	return medians{success: success, perToken: perToken, ok: true}
}

// median returns NaN when too few servers had recent results.
func (p *Pool) median(now time.Time, value func(*Server) float64) float64 {
	p.scratch = p.scratch[:0]
	for _, server := range p.servers {
		if server.results > 0 && server.unreachable.IsZero() && now.Sub(server.lastResult) <= p.policy.PeerWindow {
			p.scratch = append(p.scratch, value(server))
		}
	}
	if len(p.scratch) < max(1, p.policy.MinPeers) {
		return math.NaN()
	}
	slices.Sort(p.scratch)
	return p.scratch[len(p.scratch)/2]
}

// findSag compares the medians with the usual ones. At the onset of a sag the
// recent ejections for the same reason end: they were its first signs, not
// outliers.
func (p *Pool) findSag(current medians, now time.Time) {
	was := p.sag
	p.sag = sag{}
	if current.ok && p.usual.ok {
		p.sag = p.sagOf(current)
	}
	onset := sag{failing: p.sag.failing && !was.failing, slow: p.sag.slow && !was.slow}
	for _, server := range p.servers {
		if server.ejected && onset.covers(server.why) && now.Sub(server.ejectedAt) <= p.policy.SagOnset {
			server.ejections = max(0, server.ejections-1)
			p.restore(server, now)
			server.returnedAt = time.Time{}
		}
	}
}

func (p *Pool) sagOf(current medians) sag {
	return sag{
		failing: current.success < p.policy.SagSuccess*p.usual.success,
		slow:    current.perToken > p.policy.SagLatency*p.usual.perToken,
	}
}

// learnUsual moves the usual medians slowly towards the current ones, also in a
// sag: a change that lasts becomes usual.
func (p *Pool) learnUsual(current medians, now time.Time) {
	if !current.ok {
		return
	}
	if !p.usual.ok {
		p.usual = current
		return
	}
	share := 1 - math.Exp(-now.Sub(p.swept).Seconds()/p.policy.Baseline.Seconds())
	p.usual.success += share * (current.success - p.usual.success)
	p.usual.perToken += share * (current.perToken - p.usual.perToken)
}
