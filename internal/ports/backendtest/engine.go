package backendtest

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports"
)

// EngineOptions configures all servers of a fake Engine.
type EngineOptions struct {
	Model          core.ModelName
	Adapter        core.AdapterName
	Version        core.WeightVersion
	ExtraAdapters  int // number of adapters that a server can load in addition to Adapter
	IgnoresFencing bool
	ChunkTokens    int // maximum tokens per chunk; zero means one
}

// Engine is an in-memory ports.Engine. It creates a server for every id on first
// use, each with its own state and faults. It generates the tokens of package
// tokens.
type Engine struct {
	options EngineOptions

	// mu guards the map only; each server has its own lock.
	mu      lockrank.Mutex
	servers map[core.ServerID]*EngineServer
}

var _ ports.Engine = (*Engine)(nil)

// NewEngine returns a fake without faults.
func NewEngine(options EngineOptions) *Engine {
	options.ChunkTokens = max(1, options.ChunkTokens)
	return &Engine{
		options: options, mu: lockrank.New(lockrank.RankExternal),
		servers: make(map[core.ServerID]*EngineServer),
	}
}

// Server returns the server with the id, to set its faults and read its counts.
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
	if err := s.applyCallFaults(ctx, server); err != nil {
		return core.StreamEnd{}, err
	}
	stream, err := s.acceptStream(server, request)
	if err != nil {
		return core.StreamEnd{}, err
	}
	return s.sendChunks(ctx, server, stream, len(request.Prefix), sink)
}

// Resume implements ports.Engine.
func (e *Engine) Resume(ctx context.Context, server core.VM, stream string, offset int, sink ports.ChunkSink) (core.StreamEnd, error) {
	s := e.Server(server.ID)
	if err := s.applyCallFaults(ctx, server); err != nil {
		return core.StreamEnd{}, err
	}
	found := s.findStream(stream)
	if found == nil {
		return core.StreamEnd{}, errkind.New(errkind.UnknownRequest, "stream %s does not exist on engine %s", stream, server.ID)
	}
	return s.sendChunks(ctx, server, found, offset, sink)
}

// Cancel implements ports.Engine.
func (e *Engine) Cancel(ctx context.Context, server core.VM, stream string) error {
	s := e.Server(server.ID)
	if err := s.applyCallFaults(ctx, server); err != nil {
		return err
	}
	s.removeStream(stream)
	return nil
}

// Status implements ports.Engine.
func (e *Engine) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	s := e.Server(server.ID)
	if err := s.applyCallFaults(ctx, server); err != nil {
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
	err := s.applyCallFaults(ctx, server)
	switch errkind.Of(err) {
	case errkind.Canceled, errkind.Timeout:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "engine %s did not answer an order", server.ID)
	case errkind.ServerRefused:
		return err
	}
	return s.order(server, order)
}
