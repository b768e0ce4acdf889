package polling

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// Poll is a poll to send to an engine now.
type Poll struct {
	VM     core.VM
	Cursor uint64 // next cache event of the engine to read
}

// engine is the state of an engine that may be polled.
type engine struct {
	vm       core.VM
	rank     uint64 // rendezvous rank for this process; a lower rank comes first
	polled   bool
	inFlight bool
	cursor   uint64
	nextPoll time.Time // time of the next poll, zero for immediately
}

// service is the polling state of a service's engines.
type service struct {
	engines                []*engine
	polled                 []*engine
	coordinatedDeployments int       // number of its deployments coordinated by this process
	coordinatedSince       time.Time // when coordinatedDeployments last changed
	fasterUntil            time.Time // engines are polled at Policy.MinInterval until then
}

// serviceKind determines which engines of a service are polled.
type serviceKind int

const (
	pollAll         serviceKind = iota // all, because there are few
	pollSample                         // a sample
	pollCoordinated                    // all, because this process coordinates a deployment of the service
	kindCount       = iota
)

func (p *Plan) kindOf(s *service) serviceKind {
	switch {
	case s.coordinatedDeployments > 0:
		return pollCoordinated
	case len(s.engines) > p.policy.CompleteUpTo:
		return pollSample
	default:
		return pollAll
	}
}

// Plan schedules the polls of one entry process.
type Plan struct {
	policy    Policy
	self      core.VMID
	region    core.RegionName
	processes int // number of entry processes, including this one
	engines   map[core.ServerID]*engine
	services  map[string]*service
}

// NewPlan returns a Plan without engines.
func NewPlan(self core.VMID, region core.RegionName, policy Policy) *Plan {
	return &Plan{
		policy: policy, self: self, region: region, processes: 1,
		engines: make(map[core.ServerID]*engine), services: make(map[string]*service),
	}
}

// SetProcesses sets the number of entry processes, including this one.
func (p *Plan) SetProcesses(processes int) { p.processes = max(1, processes) }

// ApplyVMs replaces the engines with those in a VM list, including engines that
// are shutting down.
func (p *Plan) ApplyVMs(vms []core.VM) {
	listed := make(map[core.ServerID]*engine, len(vms))
	services := make(map[string]*service)
	for _, vm := range vms {
		if vm.Kind != core.KindEngine || listed[vm.ID] != nil {
			continue
		}
		e := p.engines[vm.ID]
		if e == nil {
			e = &engine{rank: rendezvous.Rank(string(p.self), string(vm.ID))}
		}
		e.vm = vm
		listed[vm.ID] = e
		s := services[vm.Service]
		if s == nil {
			s = &service{}
			if previous := p.services[vm.Service]; previous != nil {
				s.coordinatedDeployments, s.coordinatedSince, s.fasterUntil = previous.coordinatedDeployments, previous.coordinatedSince, previous.fasterUntil
			}
			services[vm.Service] = s
		}
		s.engines = append(s.engines, e)
	}
	p.engines, p.services = listed, services
	for _, s := range p.services {
		p.selectPolled(s)
	}
}

// SetCoordinated sets how many deployments of each service this process
// coordinates. It returns whether that changed the set of polled engines. If
// the number has changed for a service, all its engines are due immediately.
func (p *Plan) SetCoordinated(deployments map[string]int, now time.Time) (changed bool) {
	for name, s := range p.services {
		previous := s.coordinatedDeployments
		if previous == deployments[name] {
			continue
		}
		s.coordinatedDeployments, s.coordinatedSince = deployments[name], now
		for _, e := range s.engines {
			e.nextPoll = time.Time{}
		}
		if previous == 0 || s.coordinatedDeployments == 0 {
			p.selectPolled(s)
			changed = true
		}
	}
	return changed
}

// CoordinatedSince returns the time since which this process has coordinated
// the current number of a service's deployments, and false if it coordinates
// none. Reports requested before that time may be outdated.
func (p *Plan) CoordinatedSince(name string) (since time.Time, coordinated bool) {
	s := p.services[name]
	if s == nil {
		return time.Time{}, false
	}
	return s.coordinatedSince, s.coordinatedDeployments > 0
}

// PollFasterUntil makes the engines of a service due immediately and polls them
// at the shortest interval until the given time. It is for a coordinator that
// waits for its orders to take effect.
func (p *Plan) PollFasterUntil(name string, until time.Time) {
	s := p.services[name]
	if s == nil || until.Before(s.fasterUntil) {
		return
	}
	s.fasterUntil = until
	for _, e := range s.polled {
		e.nextPoll = time.Time{}
	}
}

// selectPolled selects the engines of a service that are polled.
func (p *Plan) selectPolled(s *service) {
	for _, e := range s.engines {
		e.polled = false
	}
	s.polled = s.engines
	if p.kindOf(s) == pollSample {
		s.polled = p.sampleEngines(s.engines)
	}
	for _, e := range s.polled {
		e.polled = true
	}
}

// sampleEngines returns the engines with the lowest ranks: those of the
// process's own region, apart from a minimum number in other regions.
func (p *Plan) sampleEngines(engines []*engine) []*engine {
	var ownRegion, otherRegions []*engine
	for _, e := range engines {
		if e.vm.Region == p.region {
			ownRegion = append(ownRegion, e)
		} else {
			otherRegions = append(otherRegions, e)
		}
	}
	sortByRank(ownRegion)
	sortByRank(otherRegions)
	otherCount := min(len(otherRegions), max(p.policy.MinOtherRegions, p.policy.SampleSize-len(ownRegion)))
	return slices.Concat(ownRegion[:min(len(ownRegion), p.policy.SampleSize-otherCount)], otherRegions[:otherCount])
}

func sortByRank(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm.ID, b.vm.ID))
	})
}

// DuePolls returns the polls to send now. An engine is not due again until
// PollEnded is called for it.
func (p *Plan) DuePolls(now time.Time) []Poll {
	var polls []Poll
	counts := p.polledCounts()
	for _, s := range p.services {
		interval := p.pollInterval(s, counts)
		if now.Before(s.fasterUntil) {
			interval = p.policy.MinInterval
		}
		for _, e := range s.polled {
			if e.inFlight || now.Before(e.nextPoll) {
				continue
			}
			e.inFlight = true
			e.nextPoll = p.nextPollTime(e, now, interval)
			polls = append(polls, Poll{VM: e.vm, Cursor: e.cursor})
		}
	}
	return polls
}

// nextPollTime returns the time of an engine's next poll. At the shortest
// interval the engine is due on every call of DuePolls. Otherwise its first interval
// is shortened according to its rank, to spread the polls over time.
func (p *Plan) nextPollTime(e *engine, now time.Time, interval time.Duration) time.Time {
	if interval <= p.policy.MinInterval {
		return time.Time{}
	}
	if e.nextPoll.IsZero() {
		const slots = 1024
		interval = interval / slots * time.Duration(e.rank%slots)
	}
	return now.Add(interval)
}

// PollEnded records the end of a poll. The cursor is that of the engine's next
// cache event, or zero if the poll failed.
func (p *Plan) PollEnded(id core.ServerID, cursor uint64) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.inFlight = false
	if cursor > 0 {
		e.cursor = cursor
	}
}

// pollInterval returns the time between two polls of one engine of the service.
func (p *Plan) pollInterval(s *service, counts [kindCount]int) time.Duration {
	kind := p.kindOf(s)
	limits := [kindCount]float64{p.policy.CompletePolls, p.policy.SampledPolls, p.policy.CoordinatedPolls}
	interval := p.intervalForLimit(float64(counts[kind]), limits[kind])
	if kind == pollCoordinated {
		return interval
	}
	pollers := float64(p.processes) * float64(len(s.polled)) / float64(len(s.engines))
	return max(interval, p.intervalForLimit(pollers, p.policy.EnginePolls))
}

// intervalForLimit returns the shortest interval at which the polls are within
// the limit.
func (p *Plan) intervalForLimit(polls, limit float64) time.Duration {
	return time.Duration(float64(p.policy.MinInterval) * max(1, polls/limit))
}

// polledCounts returns the number of polled engines by kind of service.
func (p *Plan) polledCounts() (counts [kindCount]int) {
	for _, s := range p.services {
		counts[p.kindOf(s)] += len(s.polled)
	}
	return counts
}

// PolledEngines returns the set of polled engines.
func (p *Plan) PolledEngines() map[core.ServerID]bool {
	polled := make(map[core.ServerID]bool)
	for id, e := range p.engines {
		if e.polled {
			polled[id] = true
		}
	}
	return polled
}
