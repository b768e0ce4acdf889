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

	Software core.SoftwareVersion `json:"software,omitempty"`
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
	p.mux.HandleFunc("POST /control/vms", p.servePutVM)
	p.mux.HandleFunc("POST /control/vms/state", p.serveSetVMState)
	p.mux.HandleFunc("POST /control/vms/remove", p.serveRemoveVM)
	p.mux.HandleFunc("POST /control/vms/lag", p.serveSetVMListLag)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.serveWithFaults(w, r, faultTarget{operation: faults.VMList}, func() reply {
		message := vmsMessage{VMs: []vmMessage{}}
		for _, vm := range p.vms.list(p.options.Now()) {
			message.VMs = append(message.VMs, vmMessage(vm))
		}
		return okReply(message)
	})
}

func isValidState(state core.VMState) bool {
	return state == core.VMLive || state == core.VMLeaving
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	serveControl(p, w, r, func(message vmMessage) reply {
		if message.ID == "" || !isValidState(message.State) {
			return errorReply(http.StatusBadRequest, "VM requires an id and a state of live or leaving")
		}
		p.vms.put(p.options.Now(), core.VM(message))
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveSetVMState(w http.ResponseWriter, r *http.Request) {
	serveControl(p, w, r, func(message vmStateMessage) reply {
		if !isValidState(message.State) {
			return errorReply(http.StatusBadRequest, "state must be live or leaving")
		}
		if !p.vms.setState(p.options.Now(), message.ID, message.State) {
			return errorReply(http.StatusNotFound, "VM not found")
		}
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	serveControl(p, w, r, func(message vmRemovalMessage) reply {
		p.vms.remove(p.options.Now(), message.ID)
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveSetVMListLag(w http.ResponseWriter, r *http.Request) {
	serveControl(p, w, r, func(message vmLagMessage) reply {
		if message.Milliseconds < 0 {
			return errorReply(http.StatusBadRequest, "lag must not be negative")
		}
		p.vms.setLag(time.Duration(message.Milliseconds) * time.Millisecond)
		return okReply(emptyMessage{})
	})
}
