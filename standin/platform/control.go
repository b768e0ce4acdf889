package platform

import (
	"net/http"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
)

// Counters counts what a platform has served since its start.
type Counters struct {
	Tables      memstore.RowCounters            `json:"tables"`
	Objects     memstore.ObjectCounters         `json:"objects"`
	VMListReads uint64                          `json:"vm_list_reads"`
	Weights     map[core.RegionName]WeightReads `json:"weights"`
	FaultsTaken map[faults.Event]uint64         `json:"faults_taken"` // calls that met each event
	Held        int                             `json:"held"`         // effects still to come
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

func (m faultMessage) order() faults.Order {
	return faults.Order{
		Operation: m.Operation,
		Event:     m.Event,
		Table:     m.Table,
		Count:     m.Count,
		Delay:     time.Duration(m.DelayMS) * time.Millisecond,
		Duration:  time.Duration(m.ForMS) * time.Millisecond,
	}
}

func (p *Platform) routeControl() {
	p.mux.HandleFunc("POST /control/faults", p.controlFault)
	p.mux.HandleFunc("DELETE /control/faults", p.controlClearFaults)
	p.mux.HandleFunc("POST /control/release", p.controlRelease)
	p.mux.HandleFunc("POST /control/await", p.controlAwait)
	p.mux.HandleFunc("GET /control/counters", p.controlCounters)
}

// control decodes a control message and answers with the effect's result.
// Fault orders do not hit control calls.
func control[M any](p *Platform, w http.ResponseWriter, r *http.Request, effect func(M) reply) {
	message, ok := readMessage[M](p, w, r)
	if !ok {
		return
	}
	p.send(w, r, p.run(func() reply { return effect(message) }))
}

func (p *Platform) controlFault(w http.ResponseWriter, r *http.Request) {
	control(p, w, r, func(message faultMessage) reply {
		if err := p.plan.Add(message.order()); err != nil {
			return failure(http.StatusBadRequest, err.Error())
		}
		return success(emptyMessage{})
	})
}

func (p *Platform) controlClearFaults(w http.ResponseWriter, r *http.Request) {
	p.plan.Clear()
	p.send(w, r, success(emptyMessage{}))
}

// controlAwait answers once enough effects are held; a caller that goes away
// ends the wait.
func (p *Platform) controlAwait(w http.ResponseWriter, r *http.Request) {
	message, ok := readMessage[awaitMessage](p, w, r)
	if !ok {
		return
	}
	if p.holder.Await(r.Context(), message.Held) == nil {
		p.send(w, r, success(emptyMessage{}))
	}
}

func (p *Platform) controlRelease(w http.ResponseWriter, r *http.Request) {
	p.send(w, r, p.run(func() reply { return success(releaseMessage{p.holder.Release()}) }))
}

func (p *Platform) controlCounters(w http.ResponseWriter, r *http.Request) {
	p.send(w, r, success(Counters{
		Tables:      p.rows.Counters(),
		Objects:     p.objects.Counters(),
		VMListReads: p.vms.readCount(),
		Weights:     p.weights.counters(),
		FaultsTaken: p.plan.Taken(),
		Held:        p.holder.Count(),
	}))
}
