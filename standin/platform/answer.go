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

// reply is the result of an effect before it is encoded.
type reply struct {
	status  int
	message any    // sent as JSON when body is nil
	body    []byte // sent as it is
	paced   bool   // body is sent at the weight store's rate
}

type errorMessage struct {
	Error string `json:"error"`
}

type emptyMessage struct{}

func success(message any) reply { return reply{status: http.StatusOK, message: message} }

func failure(status int, text string) reply {
	return reply{status: status, message: errorMessage{text}}
}

// target says which fault orders hit a call.
type target struct {
	operation faults.Operation
	tables    []core.TableName
}

// answer runs a call's effect and answers, in the way that the next fault
// order for the target says.
func (p *Platform) answer(w http.ResponseWriter, r *http.Request, t target, effect func() reply) {
	order, hit := p.plan.Take(t.operation, t.tables...)
	if !hit {
		p.send(w, r, p.run(effect))
		return
	}
	switch order.Event {
	case faults.Refuse:
		p.send(w, r, failure(http.StatusServiceUnavailable, "refused by a fault order"))
	case faults.DropBefore:
		dropReply(w)
	case faults.DropAfter:
		p.run(effect)
		dropReply(w)
	case faults.LateEffect:
		p.holder.Hold(order.Delay, func() { effect() })
		dropReply(w)
	default:
		p.answerDelayed(w, r, order, effect)
	}
}

// answerDelayed answers once the held effect has run. When the caller goes
// away first, the effect still comes.
func (p *Platform) answerDelayed(w http.ResponseWriter, r *http.Request, order faults.Order, effect func() reply) {
	done := make(chan reply, 1)
	p.holder.Hold(order.Delay, func() { done <- effect() })
	select {
	case result := <-done:
		p.send(w, r, result)
	case <-r.Context().Done():
	}
}

// run has a worker run an effect and waits for its result.
func (p *Platform) run(effect func() reply) reply {
	done := make(chan reply, 1)
	err := p.pool.Enqueue(core.ClassControl, func() { done <- effect() })
	if err != nil {
		return failure(http.StatusServiceUnavailable, err.Error())
	}
	return <-done
}

func (p *Platform) send(w http.ResponseWriter, r *http.Request, result reply) {
	if result.body != nil {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.WriteHeader(result.status)
		p.sendBody(w, r, result)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(result.message)
}

func (p *Platform) sendBody(w http.ResponseWriter, r *http.Request, result reply) {
	if result.paced {
		writePaced(r.Context(), w, result.body, p.weights.limiter, p.options.Now)
		return
	}
	// A failed write means that the caller has gone.
	_, _ = w.Write(result.body)
}

// cutReply is the start of a reply. It is sent before the connection closes,
// so that no HTTP library takes the connection for an idle one and repeats the
// call by itself.
const cutReply = "HTTP/1.1 200"

func dropReply(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The connection is given up either way.
	_, _ = io.WriteString(conn, cutReply)
	_ = conn.Close()
}

// readBody reads a request body of at most limit bytes. It answers and returns
// false when it cannot.
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
	p.send(w, r, failure(status, err.Error()))
	return nil, false
}

// readMessage reads a JSON message without unknown fields. It answers and
// returns false when it cannot.
func readMessage[M any](p *Platform, w http.ResponseWriter, r *http.Request) (M, bool) {
	var message M
	body, ok := p.readBody(w, r, p.options.MaxTableBytes)
	if !ok {
		return message, false
	}
	if err := decodeStrict(body, &message); err != nil {
		p.send(w, r, failure(http.StatusBadRequest, err.Error()))
		return message, false
	}
	return message, true
}

func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("data after the message")
	}
	return nil
}
