package platform

import (
	"maps"
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// RegionHeader is the request header with the region of a reader of the weight
// store.
const RegionHeader = "X-Region"

// WeightReads counts the reads from one region.
type WeightReads struct {
	Reads uint64 `json:"reads"`
	Bytes uint64 `json:"bytes"`
}

// weightStore holds the weights of each deployment and version.
type weightStore struct {
	limiter *limiter
	bodies  *memstore.Objects

	// mu guards reads.
	mu    lockrank.Mutex
	reads map[core.RegionName]WeightReads
}

func newWeightStore(rate, burst int64) *weightStore {
	return &weightStore{
		limiter: newLimiter(rate, burst),
		bodies:  memstore.NewObjects(),
		mu:      lockrank.New(rankStandin),
		reads:   make(map[core.RegionName]WeightReads),
	}
}

func (s *weightStore) recordRead(region core.RegionName, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.reads[region]
	count.Reads++
	count.Bytes += uint64(size)
	s.reads[region] = count
}

func (s *weightStore) counters() map[core.RegionName]WeightReads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reads)
}

func (p *Platform) routeWeights() {
	p.mux.HandleFunc("PUT /weights/{deployment}/{version}", p.servePutWeights)
	p.mux.HandleFunc("GET /weights/{deployment}/{version}", p.serveGetWeights)
}

func weightsKey(r *http.Request) core.ObjectKey {
	return core.ObjectKey(r.PathValue("deployment") + "/" + r.PathValue("version"))
}

func (p *Platform) servePutWeights(w http.ResponseWriter, r *http.Request) {
	body, ok := p.readBody(w, r, p.options.MaxObjectBytes)
	if !ok {
		return
	}
	key := weightsKey(r)
	p.serveWithFaults(w, r, faultTarget{operation: faults.Weights}, func() reply {
		if !p.weights.bodies.Put(key, body) {
			return errorReply(http.StatusConflict, "version exists with different weights")
		}
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveGetWeights(w http.ResponseWriter, r *http.Request) {
	key := weightsKey(r)
	region := core.RegionName(r.Header.Get(RegionHeader))
	p.serveWithFaults(w, r, faultTarget{operation: faults.Weights}, func() reply {
		body, found := p.weights.bodies.Get(key)
		if !found {
			return errorReply(http.StatusNotFound, "weights not found")
		}
		p.weights.recordRead(region, len(body))
		return reply{status: http.StatusOK, body: body, rateLimited: true}
	})
}
