package platform

import (
	"net/http"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
)

type vmMessage struct {
	ID      core.ServerID   `json:"id"`
	Kind    core.ServerKind `json:"kind"`
	Service string          `json:"service"`
	Address string          `json:"address"`
	Zone    core.ZoneName   `json:"zone"`
	Region  core.RegionName `json:"region"`
	State   core.VMState    `json:"state"`
	Slots   int             `json:"slots,omitempty"`
}

type vmsMessage struct {
	VMs []vmMessage `json:"vms"`
}

type vmStateMessage struct {
	ID    core.ServerID `json:"id"`
	State core.VMState  `json:"state"`
}

type vmRemovalMessage struct {
	ID core.ServerID `json:"id"`
}

type vmLagMessage struct {
	Milliseconds int64 `json:"lag_ms"`
}

func (p *Platform) routeVMs() {
	p.mux.HandleFunc("GET /vms", p.serveVMs)
	p.mux.HandleFunc("POST /control/vms", p.controlPutVM)
	p.mux.HandleFunc("POST /control/vms/state", p.controlVMState)
	p.mux.HandleFunc("POST /control/vms/remove", p.controlRemoveVM)
	p.mux.HandleFunc("POST /control/vms/lag", p.controlVMLag)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.answer(w, r, target{operation: faults.VMList}, func() reply {
		message := vmsMessage{VMs: []vmMessage{}}
		for _, vm := range p.vms.list(p.options.Now()) {
			message.VMs = append(message.VMs, vmMessage(vm))
		}
		return success(message)
	})
}

func validState(state core.VMState) bool {
	return state == core.VMLive || state == core.VMLeaving
}

func (p *Platform) controlPutVM(w http.ResponseWriter, r *http.Request) {
	control(p, w, r, func(message vmMessage) reply {
		if message.ID == "" || !validState(message.State) {
			return failure(http.StatusBadRequest, "a VM needs an id and a state live or leaving")
		}
		p.vms.put(p.options.Now(), core.VM(message))
		return success(emptyMessage{})
	})
}

func (p *Platform) controlVMState(w http.ResponseWriter, r *http.Request) {
	control(p, w, r, func(message vmStateMessage) reply {
		if !validState(message.State) {
			return failure(http.StatusBadRequest, "the state must be live or leaving")
		}
		if !p.vms.setState(p.options.Now(), message.ID, message.State) {
			return failure(http.StatusNotFound, "no such VM")
		}
		return success(emptyMessage{})
	})
}

func (p *Platform) controlRemoveVM(w http.ResponseWriter, r *http.Request) {
	control(p, w, r, func(message vmRemovalMessage) reply {
		p.vms.remove(p.options.Now(), message.ID)
		return success(emptyMessage{})
	})
}

func (p *Platform) controlVMLag(w http.ResponseWriter, r *http.Request) {
	control(p, w, r, func(message vmLagMessage) reply {
		if message.Milliseconds < 0 {
			return failure(http.StatusBadRequest, "the lag must not be negative")
		}
		p.vms.setLag(time.Duration(message.Milliseconds) * time.Millisecond)
		return success(emptyMessage{})
	})
}
