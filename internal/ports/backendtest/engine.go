package backendtest

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
)

// EngineOptions configures every server of a fake.
type EngineOptions struct {
	Model          core.ModelName
	Adapter        core.AdapterName
	Version        core.WeightVersion
	MoreAdapters   int // adapters that a server can hold beside Adapter; zero keeps to that one
	IgnoresFencing bool
	ChunkTokens    int // tokens of a chunk; zero means one
}

// Engine is an in-memory ports.Engine. It has a server for every id, each with
// its own state and faults. Its tokens are those of package tokens.
type Engine struct {
	options EngineOptions

	// mu guards the map only; each server has a lock of its own.
	mu      lockrank.Mutex
	servers map[core.ServerID]*EngineServer
}

var _ ports.Engine = (*Engine)(nil)

// NewEngine returns a fake without faults.
func NewEngine(options EngineOptions) *Engine {
	options.ChunkTokens = max(1, options.ChunkTokens)
	return &Engine{
		options: options, mu: lockrank.New(lockrank.RankOutside),
		servers: make(map[core.ServerID]*EngineServer),
	}
}

// Server returns the server of that id, to set faults and read counts.
func (e *Engine) Server(id core.ServerID) *EngineServer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers[id] == nil {
		e.servers[id] = newEngineServer(e.options)
	}
	return e.servers[id]
}

// Generate implements ports.Engine.
func (e *Engine) Generate(ctx context.Context, server core.VM, request core.GenerateRequest, sink ports.ChunkSink) (core.StreamEnd, error) {
	s := e.Server(server.ID)
	if err := s.enter(ctx, server); err != nil {
		return core.StreamEnd{}, err
	}
	stream, err := s.accept(server, request)
	if err != nil {
		return core.StreamEnd{}, err
	}
	return s.feed(ctx, server, stream, len(request.Prefix), sink)
}

// Resume implements ports.Engine.
func (e *Engine) Resume(ctx context.Context, server core.VM, stream string, offset int, sink ports.ChunkSink) (core.StreamEnd, error) {
	s := e.Server(server.ID)
	if err := s.enter(ctx, server); err != nil {
		return core.StreamEnd{}, err
	}
	found := s.find(stream)
	if found == nil {
		return core.StreamEnd{}, errkind.New(errkind.UnknownRequest, "no stream %s at %s", stream, server.ID)
	}
	return s.feed(ctx, server, found, offset, sink)
}

// Cancel implements ports.Engine.
func (e *Engine) Cancel(ctx context.Context, server core.VM, stream string) error {
	s := e.Server(server.ID)
	if err := s.enter(ctx, server); err != nil {
		return err
	}
	s.forget(stream)
	return nil
}

// Status implements ports.Engine.
func (e *Engine) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	s := e.Server(server.ID)
	if err := s.enter(ctx, server); err != nil {
		return core.EngineStatus{}, err
	}
	return s.status(server.ID, cursor), nil
}

// Order implements ports.Engine.
func (e *Engine) Order(ctx context.Context, server core.VM, order core.Order) error {
	s := e.Server(server.ID)
	if ctx.Err() != nil {
		return contextError(ctx, server)
	}
	err := s.enter(ctx, server)
	switch errkind.Of(err) {
	case errkind.Canceled, errkind.Timeout:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "order to %s got no answer", server.ID)
	case errkind.ServerRefused:
		return err
	}
	return s.order(server, order)
}
