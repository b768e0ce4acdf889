package platform

import (
	"net/http"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// Counters counts the calls served since the platform started.
type Counters struct {
	Tables      memstore.RowCounters            `json:"tables"`
	Objects     memstore.ObjectCounters         `json:"objects"`
	VMListReads uint64                          `json:"vm_list_reads"`
	Weights     map[core.RegionName]WeightReads `json:"weights"`
	FaultsTaken map[faults.Event]uint64         `json:"faults_taken"` // calls to which a fault rule was applied, by event
	Held        int                             `json:"held"`         // effects currently held
}

type faultMessage struct {
	Operation faults.Operation `json:"operation"`
	Event     faults.Event     `json:"event"`
	Table     core.TableName   `json:"table"`
	Count     int              `json:"count"`
	DelayMS   int64            `json:"delay_ms"`
	ForMS     int64            `json:"for_ms"`
}

type awaitMessage struct {
	Held int `json:"held"`
}

type releaseMessage struct {
	Released int `json:"released"`
}

func (m faultMessage) rule() faults.Rule {
	return faults.Rule{
		Operation: m.Operation,
		Event:     m.Event,
		Table:     m.Table,
		Count:     m.Count,
		Delay:     time.Duration(m.DelayMS) * time.Millisecond,
		Duration:  time.Duration(m.ForMS) * time.Millisecond,
	}
}

func (p *Platform) routeControl() {
	p.mux.HandleFunc("POST /control/faults", p.serveAddFault)
	p.mux.HandleFunc("DELETE /control/faults", p.serveClearFaults)
	p.mux.HandleFunc("POST /control/release", p.serveReleaseHeld)
	p.mux.HandleFunc("POST /control/await", p.serveAwaitHeld)
	p.mux.HandleFunc("GET /control/counters", p.serveCounters)
}

// serveControl decodes a control message, runs the effect and writes its
// result. Fault rules do not apply to control calls.
func serveControl[M any](p *Platform, w http.ResponseWriter, r *http.Request, effect func(M) reply) {
	message, ok := readMessage[M](p, w, r)
	if !ok {
		return
	}
	p.writeReply(w, r, p.runEffect(func() reply { return effect(message) }))
}

func (p *Platform) serveAddFault(w http.ResponseWriter, r *http.Request) {
	serveControl(p, w, r, func(message faultMessage) reply {
		if err := p.faultPlan.Add(message.rule()); err != nil {
			return errorReply(http.StatusBadRequest, err.Error())
		}
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveClearFaults(w http.ResponseWriter, r *http.Request) {
	p.faultPlan.Clear()
	p.writeReply(w, r, okReply(emptyMessage{}))
}

// serveAwaitHeld replies once enough effects are held, or returns without a
// reply when the client disconnects.
func (p *Platform) serveAwaitHeld(w http.ResponseWriter, r *http.Request) {
	message, ok := readMessage[awaitMessage](p, w, r)
	if !ok {
		return
	}
	if p.heldEffects.Await(r.Context(), message.Held) == nil {
		p.writeReply(w, r, okReply(emptyMessage{}))
	}
}

func (p *Platform) serveReleaseHeld(w http.ResponseWriter, r *http.Request) {
	p.writeReply(w, r, p.runEffect(func() reply { return okReply(releaseMessage{p.heldEffects.Release()}) }))
}

func (p *Platform) serveCounters(w http.ResponseWriter, r *http.Request) {
	p.writeReply(w, r, okReply(Counters{
		Tables:      p.rows.Counters(),
		Objects:     p.objects.Counters(),
		VMListReads: p.vms.readCount(),
		Weights:     p.weights.counters(),
		FaultsTaken: p.faultPlan.Applied(),
		Held:        p.heldEffects.Count(),
	}))
}
