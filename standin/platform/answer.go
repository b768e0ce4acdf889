package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
)

// reply is the result of a call's effect before it is encoded.
type reply struct {
	status      int
	message     any    // sent as JSON if body is nil
	body        []byte // sent unchanged
	rateLimited bool   // send body at the weight store's rate
}

type errorMessage struct {
	Error string `json:"error"`
}

type emptyMessage struct{}

func okReply(message any) reply { return reply{status: http.StatusOK, message: message} }

func errorReply(status int, text string) reply {
	return reply{status: status, message: errorMessage{text}}
}

// faultTarget describes a call when looking up the fault rules that match it.
type faultTarget struct {
	operation faults.Operation
	tables    []core.TableName
}

// serveWithFaults runs a call's effect and writes its reply, as modified by
// the next fault rule that matches the call.
func (p *Platform) serveWithFaults(w http.ResponseWriter, r *http.Request, t faultTarget, effect func() reply) {
	rule, matched := p.faultPlan.Match(t.operation, t.tables...)
	if !matched {
		p.writeReply(w, r, p.runEffect(effect))
		return
	}
	switch rule.Event {
	case faults.Refuse:
		p.writeReply(w, r, errorReply(http.StatusServiceUnavailable, "refused by a fault rule"))
	case faults.DropBefore:
		dropReply(w)
	case faults.DropAfter:
		p.runEffect(effect)
		dropReply(w)
	case faults.LateEffect:
		p.heldEffects.Hold(rule.Delay, func() { effect() })
		dropReply(w)
	default:
		p.serveDelayed(w, r, rule, effect)
	}
}

// serveDelayed writes the reply once the delayed effect has run. The effect
// runs even if the client disconnects first.
func (p *Platform) serveDelayed(w http.ResponseWriter, r *http.Request, rule faults.Rule, effect func() reply) {
	done := make(chan reply, 1)
	p.heldEffects.Hold(rule.Delay, func() { done <- effect() })
	select {
	case result := <-done:
		p.writeReply(w, r, result)
	case <-r.Context().Done():
	}
}

// runEffect runs an effect on the worker pool and waits for its result.
func (p *Platform) runEffect(effect func() reply) reply {
	done := make(chan reply, 1)
	err := p.pool.Enqueue(core.ClassControl, func() { done <- effect() })
	if err != nil {
		return errorReply(http.StatusServiceUnavailable, err.Error())
	}
	return <-done
}

func (p *Platform) writeReply(w http.ResponseWriter, r *http.Request, result reply) {
	if result.body != nil {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.WriteHeader(result.status)
		p.writeBody(w, r, result)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(result.message)
}

func (p *Platform) writeBody(w http.ResponseWriter, r *http.Request, result reply) {
	if result.rateLimited {
		writeRateLimited(r.Context(), w, result.body, p.weights.limiter, p.options.Now)
		return
	}
	// A failed write means that the client has disconnected.
	_, _ = w.Write(result.body)
}

// partialReply is the start of a reply. It is sent before the connection is
// closed, so that HTTP libraries do not treat the connection as a stale idle
// one and retry the call on their own.
const partialReply = "HTTP/1.1 200"

func dropReply(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection is closed in either case, so errors do not matter.
	_, _ = io.WriteString(conn, partialReply)
	_ = conn.Close()
}

// readBody reads a request body of at most limit bytes. If that fails, it
// writes an error reply and returns false.
func (p *Platform) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	p.writeReply(w, r, errorReply(status, err.Error()))
	return nil, false
}

// readMessage decodes a JSON message and rejects unknown fields. If that
// fails, it writes an error reply and returns false.
func readMessage[M any](p *Platform, w http.ResponseWriter, r *http.Request) (M, bool) {
	var message M
	body, ok := p.readBody(w, r, p.options.MaxTableBytes)
	if !ok {
		return message, false
	}
	if err := decodeStrict(body, &message); err != nil {
		p.writeReply(w, r, errorReply(http.StatusBadRequest, err.Error()))
		return message, false
	}
	return message, true
}

func decodeStrict(body []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON message")
	}
	return nil
}
