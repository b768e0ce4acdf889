package platform

import (
	"net/http"
	"strconv"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
)

type keysMessage struct {
	Keys []core.ObjectKey `json:"keys"`
}

func (p *Platform) routeObjects() {
	p.mux.HandleFunc("PUT /object", p.servePutObject)
	p.mux.HandleFunc("GET /object", p.serveGetObject)
	p.mux.HandleFunc("DELETE /object", p.serveDeleteObject)
	p.mux.HandleFunc("GET /objects", p.serveListObjects)
}

func objectKey(r *http.Request) core.ObjectKey {
	return core.ObjectKey(r.URL.Query().Get("key"))
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, ok := p.readBody(w, r, p.options.MaxObjectBytes)
	if !ok {
		return
	}
	key := objectKey(r)
	p.serveWithFaults(w, r, faultTarget{operation: faults.ObjectWrite}, func() reply {
		if !p.objects.Put(key, body) {
			return errorReply(http.StatusConflict, "object exists with a different body")
		}
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	key := objectKey(r)
	p.serveWithFaults(w, r, faultTarget{operation: faults.ObjectRead}, func() reply {
		body, found := p.objects.Get(key)
		if !found {
			return errorReply(http.StatusNotFound, "object not found")
		}
		return reply{status: http.StatusOK, body: body}
	})
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	key := objectKey(r)
	p.serveWithFaults(w, r, faultTarget{operation: faults.ObjectWrite}, func() reply {
		p.objects.Delete(key)
		return okReply(emptyMessage{})
	})
}

func (p *Platform) serveListObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		p.writeReply(w, r, errorReply(http.StatusBadRequest, "invalid limit: "+err.Error()))
		return
	}
	prefix, after := core.ObjectKey(query.Get("prefix")), core.ObjectKey(query.Get("after"))
	p.serveWithFaults(w, r, faultTarget{operation: faults.ObjectRead}, func() reply {
		return okReply(keysMessage{p.objects.List(prefix, after, limit)})
	})
}
