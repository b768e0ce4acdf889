package polling

import (
	"slices"
	"time"

	"fescuespar/internal/core"
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
	coordinated bool
	hasten      time.Time // polled as often as Policy.Every allows until then
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
			e = &engine{rank: rank(p.self, vm.ID)}
		}
		e.vm = vm
		listed[vm.ID] = e
		s := services[vm.Service]
		if s == nil {
			s = &service{}
			if before := p.services[vm.Service]; before != nil {
				s.coordinated, s.hasten = before.coordinated, before.hasten
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

// Coordinate tells the services whose deployments this process coordinates. It
// returns whether that changed what is polled.
func (p *Plan) Coordinate(services map[string]bool) (changed bool) {
	for name, s := range p.services {
		if s.coordinated != services[name] {
			s.coordinated = services[name]
			p.choose(s)
			changed = true
		}
	}
	return changed
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
	if !s.coordinated && len(s.engines) > p.policy.Sample {
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

// Due returns the engines to be asked now. Each is not due again before Ended
// was called for it.
func (p *Plan) Due(now time.Time) []Poll {
	var polls []Poll
	sampled, coordinated := p.polledNumbers()
	for _, s := range p.services {
		interval := p.interval(s, sampled, coordinated)
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
func (p *Plan) interval(s *service, sampled, coordinated int) time.Duration {
	if s.coordinated {
		return max(p.policy.Every, perRate(float64(coordinated), p.policy.CoordinatedRate))
	}
	pollers := float64(p.processes) * float64(len(s.polled)) / float64(len(s.engines))
	return max(p.policy.Every, perRate(float64(sampled), p.policy.SampledRate), perRate(pollers, p.policy.EngineRate))
}

func perRate(polls, rate float64) time.Duration {
	return time.Duration(polls / rate * float64(time.Second))
}

// polledNumbers counts the engines that are polled.
func (p *Plan) polledNumbers() (sampled, coordinated int) {
	for _, s := range p.services {
		if s.coordinated {
			coordinated += len(s.polled)
		} else {
			sampled += len(s.polled)
		}
	}
	return sampled, coordinated
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
