package polling

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

// Poll is one engine to be asked now.
type Poll struct {
	VM     core.VM
	Cursor uint64 // of the engine's cache events
}

// engine is one engine that may be polled.
type engine struct {
	vm     core.VM
	rank   uint64 // place in this process's order, smaller is earlier
	polled bool
	asked  bool // a poll is in flight
	cursor uint64
	next   time.Time // due from then on, zero for at once
}

// service is the engines of one service in this process's order.
type service struct {
	engines     []*engine
	polled      []*engine
	coordinated int       // its deployments that this process coordinates
	since       time.Time // when their number last changed
	hasten      time.Time // polled as often as Policy.Every allows until then
}

// serviceKind says which engines of a service are polled.
type serviceKind int

const (
	whole       serviceKind = iota // all, since there are few
	sampled                        // some
	coordinated                    // all, since the process coordinates a deployment of the service
	kinds       = iota
)

func (p *Plan) kindOf(s *service) serviceKind {
	switch {
	case s.coordinated > 0:
		return coordinated
	case len(s.engines) > p.policy.Whole:
		return sampled
	default:
		return whole
	}
}

// Plan is what one process polls.
type Plan struct {
	policy    Policy
	self      core.VMID
	region    core.RegionName
	processes int // entry processes, this one included
	engines   map[core.ServerID]*engine
	services  map[string]*service
}

// New returns the plan of a process that knows no engines.
func New(self core.VMID, region core.RegionName, policy Policy) *Plan {
	return &Plan{
		policy: policy, self: self, region: region, processes: 1,
		engines: make(map[core.ServerID]*engine), services: make(map[string]*service),
	}
}

// SetProcesses tells how many entry processes there are, this one included.
func (p *Plan) SetProcesses(processes int) { p.processes = max(1, processes) }

// ApplyVMs takes the engines of a VM list, leaving ones included.
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
			if before := p.services[vm.Service]; before != nil {
				s.coordinated, s.since, s.hasten = before.coordinated, before.since, before.hasten
			}
			services[vm.Service] = s
		}
		s.engines = append(s.engines, e)
	}
	p.engines, p.services = listed, services
	for _, s := range p.services {
		p.choose(s)
	}
}

// Coordinate tells how many deployments of each service this process
// coordinates. It returns whether that changed what is polled. All engines of a
// service of which that number changed are due at once.
func (p *Plan) Coordinate(deployments map[string]int, now time.Time) (changed bool) {
	for name, s := range p.services {
		before := s.coordinated
		if before == deployments[name] {
			continue
		}
		s.coordinated, s.since = deployments[name], now
		for _, e := range s.engines {
			e.next = time.Time{}
		}
		if before == 0 || s.coordinated == 0 {
			p.choose(s)
			changed = true
		}
	}
	return changed
}

// CoordinatedSince returns since when this process has coordinated the same
// number of a service's deployments, and false when it coordinates none.
// Reports that were asked for before may be old.
func (p *Plan) CoordinatedSince(name string) (since time.Time, coordinated bool) {
	s := p.services[name]
	if s == nil {
		return time.Time{}, false
	}
	return s.since, s.coordinated > 0
}

// Hasten has the engines of a service polled as often as the policy's interval
// allows until a time. It is for the coordinator that waits for its orders to
// take effect.
func (p *Plan) Hasten(name string, until time.Time) {
	s := p.services[name]
	if s == nil || until.Before(s.hasten) {
		return
	}
	s.hasten = until
	for _, e := range s.polled {
		e.next = time.Time{}
	}
}

// choose sets the engines of a service that are polled.
func (p *Plan) choose(s *service) {
	for _, e := range s.engines {
		e.polled = false
	}
	s.polled = s.engines
	if p.kindOf(s) == sampled {
		s.polled = p.sample(s.engines)
	}
	for _, e := range s.polled {
		e.polled = true
	}
}

// sample takes the first engines of this process's order, those of its own
// region first but for some of the others.
func (p *Plan) sample(engines []*engine) []*engine {
	var own, others []*engine
	for _, e := range engines {
		if e.vm.Region == p.region {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	sortByRank(own)
	sortByRank(others)
	elsewhere := min(len(others), max(p.policy.Elsewhere, p.policy.Sample-len(own)))
	return slices.Concat(own[:min(len(own), p.policy.Sample-elsewhere)], others[:elsewhere])
}

func sortByRank(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm.ID, b.vm.ID))
	})
}

// Due returns the engines to be asked now. Each is not due again before Ended
// was called for it.
func (p *Plan) Due(now time.Time) []Poll {
	var polls []Poll
	numbers := p.polledNumbers()
	for _, s := range p.services {
		interval := p.interval(s, numbers)
		if now.Before(s.hasten) {
			interval = p.policy.Every
		}
		for _, e := range s.polled {
			if e.asked || now.Before(e.next) {
				continue
			}
			e.asked = true
			e.next = p.after(e, now, interval)
			polls = append(polls, Poll{VM: e.vm, Cursor: e.cursor})
		}
	}
	return polls
}

// after returns when an engine is due next. At the shortest interval it is due
// with every call of Due. Otherwise the first interval is drawn by the engine's
// rank, so that the polls spread over time.
func (p *Plan) after(e *engine, now time.Time, interval time.Duration) time.Time {
	if interval <= p.policy.Every {
		return time.Time{}
	}
	if e.next.IsZero() {
		const parts = 1024
		interval = interval / parts * time.Duration(e.rank%parts)
	}
	return now.Add(interval)
}

// Ended tells that a poll ended, with the cursor of the engine's next cache
// event, or zero when it failed.
func (p *Plan) Ended(id core.ServerID, cursor uint64) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.asked = false
	if cursor > 0 {
		e.cursor = cursor
	}
}

// interval returns the time between two polls of one engine of a service.
func (p *Plan) interval(s *service, numbers [kinds]int) time.Duration {
	kind := p.kindOf(s)
	bounds := [kinds]float64{p.policy.WholePolls, p.policy.SampledPolls, p.policy.CoordinatedPolls}
	interval := p.stretch(float64(numbers[kind]), bounds[kind])
	if kind == coordinated {
		return interval
	}
	pollers := float64(p.processes) * float64(len(s.polled)) / float64(len(s.engines))
	return max(interval, p.stretch(pollers, p.policy.EnginePolls))
}

// stretch returns the interval in which polls stay within a bound.
func (p *Plan) stretch(polls, bound float64) time.Duration {
	return time.Duration(float64(p.policy.Every) * max(1, polls/bound))
}

// polledNumbers counts the engines that are polled, by kind of their service.
func (p *Plan) polledNumbers() (numbers [kinds]int) {
	for _, s := range p.services {
		numbers[p.kindOf(s)] += len(s.polled)
	}
	return numbers
}

// Polled returns the engines that are polled.
func (p *Plan) Polled() map[core.ServerID]bool {
	polled := make(map[core.ServerID]bool)
	for id, e := range p.engines {
		if e.polled {
			polled[id] = true
		}
	}
	return polled
}
