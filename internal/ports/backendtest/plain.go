package backendtest

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
)

// plainCall identifies calls that count as the same.
type plainCall struct {
	key  core.IdempotencyKey
	path string
}

// plainState is the state of one server of a fake Plain.
type plainState struct {
	faults PlainFaults
	dead   bool
}

// Plain is an in-memory ports.PlainService. Its servers have faults of their
// own and share one record of runs, so a call that ran at two of them is seen.
type Plain struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	servers map[core.ServerID]*plainState
	runs    map[plainCall]int
}

var _ ports.PlainService = (*Plain)(nil)

// NewPlain returns a fake without faults.
func NewPlain() *Plain {
	return &Plain{
		mu: lockrank.New(lockrank.RankOutside), servers: make(map[core.ServerID]*plainState), runs: make(map[plainCall]int),
	}
}

// SetFaults replaces a server's fault orders.
func (p *Plain) SetFaults(id core.ServerID, faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).faults = faults
}

// Revive ends the state after a crash of a server.
func (p *Plain) Revive(id core.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).dead = false
}

// Runs returns how often a call ran, at all servers together.
func (p *Plain) Runs(key core.IdempotencyKey, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[plainCall{key, path}]
}

// server returns a server's state. The caller holds the lock.
func (p *Plain) server(id core.ServerID) *plainState {
	if p.servers[id] == nil {
		p.servers[id] = &plainState{}
	}
	return p.servers[id]
}

// Call implements ports.PlainService. The answer's body is the call's.
func (p *Plain) Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error) {
	faults, refused := p.takeFaults(server.ID)
	if refused || ctx.Err() != nil {
		return core.PlainResponse{}, refusedBy(server)
	}
	late := delay(ctx, server, faults.DelayMillis)
	p.run(request)
	switch {
	case late != nil:
		return core.PlainResponse{}, timeoutOf(server, late)
	case faults.Crash || faults.DropReply:
		return core.PlainResponse{}, cutBy(server)
	}
	return core.PlainResponse{Status: 200, Body: request.Body}, nil
}

// Probe implements ports.PlainService.
func (p *Plain) Probe(ctx context.Context, server core.VM) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Of(ctx.Err()), ctx.Err(), "probe of %s", server.ID)
	case p.server(server.ID).dead:
		return refusedBy(server)
	}
	return nil
}

func (p *Plain) run(request core.PlainRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[plainCall{request.Key, request.Path}]++
}

// takeFaults returns the faults for one call and clears those that hold once.
func (p *Plain) takeFaults(id core.ServerID) (faults PlainFaults, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	if s.dead || s.faults.Refuse {
		return PlainFaults{}, true
	}
	faults = s.faults
	s.faults.DropReply, s.faults.Crash = false, false
	s.dead = faults.Crash
	return faults, false
}
