package backendtest

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
)

// plainCall identifies a call; repeats of a call have the same one.
type plainCall struct {
	key  core.IdempotencyKey
	path string
}

// plainState is the state of one server of a fake Plain.
type plainState struct {
	faults  PlainFaults
	crashed bool
}

// Plain is an in-memory ports.PlainService. Each server has its own faults. All
// servers share the count of runs, so that tests detect a call that ran on two
// servers.
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
		mu: lockrank.New(lockrank.RankExternal), servers: make(map[core.ServerID]*plainState), runs: make(map[plainCall]int),
	}
}

// SetFaults replaces a server's faults.
func (p *Plain) SetFaults(id core.ServerID, faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).faults = faults
}

// Revive makes a crashed server accept calls again.
func (p *Plain) Revive(id core.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).crashed = false
}

// Runs returns how often a call ran on all servers together.
func (p *Plain) Runs(key core.IdempotencyKey, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[plainCall{key, path}]
}

// server returns a server's state, added if absent. The caller holds mu.
func (p *Plain) server(id core.ServerID) *plainState {
	if p.servers[id] == nil {
		p.servers[id] = &plainState{}
	}
	return p.servers[id]
}

// Call implements ports.PlainService. The response has the request's body.
func (p *Plain) Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error) {
	faults, refused := p.takeFaults(server.ID)
	if refused || ctx.Err() != nil {
		return core.PlainResponse{}, refusedError(server)
	}
	ended := delay(ctx, server, faults.DelayMillis)
	p.run(request)
	switch {
	case ended != nil:
		return core.PlainResponse{}, timeoutError(server, ended)
	case faults.Crash || faults.DropReply:
		return core.PlainResponse{}, connectionCutError(server)
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
	case p.server(server.ID).crashed:
		return refusedError(server)
	}
	return nil
}

func (p *Plain) run(request core.PlainRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[plainCall{request.Key, request.Path}]++
}

// takeFaults returns the faults for one call and clears those that apply once.
func (p *Plain) takeFaults(id core.ServerID) (faults PlainFaults, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	if s.crashed || s.faults.Refuse {
		return PlainFaults{}, true
	}
	faults = s.faults
	s.faults.DropReply, s.faults.Crash = false, false
	s.crashed = faults.Crash
	return faults, false
}
