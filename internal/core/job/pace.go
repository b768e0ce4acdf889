package job

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// slowFactor is how many times the median time between events an engine
	// needs to count as slow. The weakest engine of a service (1.3 times the
	// others' time) with a full batch (1.28 times that of a small one) needs less.
	slowFactor = 1.8
	// paceWeight is the weight of the newest interval: about five events tell.
	paceWeight = 0.3
	// paceEvents is how many intervals are needed for a judgement.
	paceEvents = 3
	// paceLife is the age from which on a measurement counts no more, so that a
	// slow engine that gets no work is tried again.
	paceLife = 2 * time.Second
	// pacePeers is how many measured engines make a median.
	pacePeers = 3
)

type pace struct {
	interval time.Duration // smoothed time between events
	events   int
	seen     time.Time
}

// Paces compares the engines of a service by the time between the events of
// their streams, while the streams run. It is not safe for concurrent use.
//
// Load pattern: some engines run several times slower for seconds, and a step
// waits for the runs that are there.
type Paces struct {
	engines map[core.ServerID]*pace
}

// NewPaces returns an empty comparison.
func NewPaces() *Paces { return &Paces{engines: make(map[core.ServerID]*pace)} }

// Observe takes the time between two events of a run.
func (p *Paces) Observe(engine core.ServerID, interval time.Duration, now time.Time) {
	known := p.engines[engine]
	if known == nil || now.Sub(known.seen) > paceLife {
		known = &pace{interval: interval}
		p.engines[engine] = known
	}
	known.interval += time.Duration(paceWeight * float64(interval-known.interval))
	known.events++
	known.seen = now
}

// Slow returns the engines that are slow beside the others, at most half of
// those that were measured lately: a sag of all is no reason to move work.
func (p *Paces) Slow(now time.Time) []core.ServerID {
	var measured []core.ServerID
	for engine, known := range p.engines {
		if now.Sub(known.seen) > paceLife {
			delete(p.engines, engine)
			continue
		}
		if known.events >= paceEvents {
			measured = append(measured, engine)
		}
	}
	if len(measured) < pacePeers {
		return nil
	}
	slices.SortFunc(measured, func(a, b core.ServerID) int {
		return int(p.engines[a].interval - p.engines[b].interval)
	})
	median := p.engines[measured[(len(measured)-1)/2]].interval
	var slow []core.ServerID
	for _, engine := range measured[(len(measured)+1)/2:] {
		if float64(p.engines[engine].interval) > slowFactor*float64(median) {
			slow = append(slow, engine)
		}
	}
	return slow
}
