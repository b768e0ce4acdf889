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
	p.mux.HandleFunc("PUT /object", p.servePut)
	p.mux.HandleFunc("GET /object", p.serveGet)
	p.mux.HandleFunc("DELETE /object", p.serveDelete)
	p.mux.HandleFunc("GET /objects", p.serveList)
}

func objectKey(r *http.Request) core.ObjectKey {
	return core.ObjectKey(r.URL.Query().Get("key"))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, ok := p.readBody(w, r, p.options.MaxObjectBytes)
	if !ok {
		return
	}
	key := objectKey(r)
	p.answer(w, r, target{operation: faults.ObjectWrite}, func() reply {
		if !p.objects.Put(key, body) {
			return failure(http.StatusConflict, "the key holds another body")
		}
		return success(emptyMessage{})
	})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := objectKey(r)
	p.answer(w, r, target{operation: faults.ObjectRead}, func() reply {
		body, found := p.objects.Get(key)
		if !found {
			return failure(http.StatusNotFound, "no such object")
		}
		return reply{status: http.StatusOK, body: body}
	})
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	key := objectKey(r)
	p.answer(w, r, target{operation: faults.ObjectWrite}, func() reply {
		p.objects.Delete(key)
		return success(emptyMessage{})
	})
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		p.send(w, r, failure(http.StatusBadRequest, "limit: "+err.Error()))
		return
	}
	prefix, after := core.ObjectKey(query.Get("prefix")), core.ObjectKey(query.Get("after"))
	p.answer(w, r, target{operation: faults.ObjectRead}, func() reply {
		return success(keysMessage{p.objects.List(prefix, after, limit)})
	})
}
