package httpguard

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
	"fescuespar/internal/core/connection"
	"fescuespar/internal/errkind"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

const (
	// fieldMemoryBytes is what a header field takes beside its name and value.
	fieldMemoryBytes = 64
	// headCopies is the number of maps that hold a request's fields at a time: as
	// received, to be forwarded, and of the attempt that is being sent.
	headCopies = 3
)

// handler wraps the handler of a server.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, guarded := r.Context().Value(connKey{}).(*conn)
		if !guarded {
			next.ServeHTTP(w, r)
			return
		}
		defer c.hold.Release()
		if !c.hold.Begin(nil) || !c.begin(r, time.Now()) {
			panic(http.ErrAbortHandler) // the connection was closed for others
		}
		if c.isAmbiguous(r) {
			g.event(Ambiguous)
			c.refuse(w, r)
			w.WriteHeader(http.StatusBadRequest)
		} else {
			next.ServeHTTP(w, r)
		}
		c.finish(w)
	})
}

// begin begins the handling of a request, whose head has arrived. It returns false if the
// connection was closed.
func (c *conn) begin(r *http.Request, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedEarly {
		return false
	}
	c.written, c.blocked, c.mustClose, c.refusedNow = 0, 0, false, false
	if r.ContentLength == 0 {
		c.enter(connection.Running, time.Time{}, now)
	} else {
		c.enter(connection.Body, c.deadline, now) // each read sets its own deadline
	}
	return true
}

// isAmbiguous reports whether the request has two lengths, or a length and chunks.
func (c *conn) isAmbiguous(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fields.lengths > 1 || c.fields.lengths > 0 && len(r.TransferEncoding) > 0
}

// bodyArrived begins the time in which the request is served.
func (c *conn) bodyArrived(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connection.Body {
		c.enter(connection.Running, time.Time{}, now)
	}
}

// refuse prepares the answer to a request whose body is not wanted. A small body is read
// by net/http, so that the connection can be used again; it has lingerTime to arrive.
func (c *conn) refuse(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedNow = true
	if c.phase != connection.Body {
		return
	}
	c.enter(connection.Closing, now.Add(lingerTime), now)
	if r.ContentLength < 0 || r.ContentLength > smallBodyBytes {
		c.mustClose = true
		w.Header().Set("Connection", "close")
	}
}

// finish ends the handling of a request. Without it, net/http would read up to 256 KB of
// the rest of a body, without a time limit, and keep the connection half a second more.
func (c *conn) finish(w http.ResponseWriter) {
	now := time.Now()
	c.mu.Lock()
	mustClose := c.mustClose
	c.refused = c.refused && c.refusedNow
	if c.phase == connection.Body {
		c.enter(connection.Closing, now.Add(lingerTime), now)
	}
	c.mu.Unlock()
	if mustClose {
		_ = http.NewResponseController(w).Flush() // fails only if the client is gone
		c.linger()
		panic(http.ErrAbortHandler)
	}
}

// Request is a request as its front end sees it.
type Request struct {
	conn *conn // nil for a request without a guarded connection
	hold *memorybudget.Holder
	http *http.Request
}

// Of returns the request of a guarded server. A request that did not come through one,
// as in tests, takes its memory from the given budget.
func Of(r *http.Request, memory *memorybudget.Budget) *Request {
	if c, guarded := r.Context().Value(connKey{}).(*conn); guarded {
		c.hold.Resize(headMemory(r.Header))
		return &Request{conn: c, hold: c.hold, http: r}
	}
	hold := memory.NewHolder()
	context.AfterFunc(r.Context(), hold.Release)
	return &Request{hold: hold, http: r}
}

// headMemory returns the memory that a request's header takes while it is served.
func headMemory(header http.Header) int64 {
	size := 0
	for name, values := range header {
		size += len(name)/headCopies + fieldMemoryBytes
		for _, value := range values {
			size += (len(value) + fieldMemoryBytes/4) / headCopies
		}
	}
	return int64(headCopies * size)
}

// Hold returns the request's memory, which is released after its handler.
func (r *Request) Hold() *memorybudget.Holder { return r.hold }

// LimitBody sets how long the body may take at most, since the caller waits no longer for
// an answer.
func (r *Request) LimitBody(within time.Duration) {
	if r.conn == nil {
		return
	}
	deadline := time.Now().Add(within)
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.bodyDeadline = deadline
}

// ReadBody reads the request's body. The request has not run if it fails. Errors:
// TooLarge; Overloaded if there is no memory for it; BodyTooSlow; BadRequest.
func (r *Request) ReadBody(limit int64) (core.Body, error) {
	if r.http.ContentLength == 0 {
		return core.Body{}, nil
	}
	if r.http.ContentLength > limit {
		return nil, errkind.New(errkind.TooLarge, "request body of %d bytes exceeds the limit of %d", r.http.ContentLength, limit)
	}
	r.beginBody()
	body, err := r.hold.ReadBody(r.http.Body, r.http.ContentLength, limit)
	if err == nil {
		err = r.endBody()
	}
	if err != nil {
		return nil, r.bodyError(err, limit)
	}
	return body, nil
}

// beginBody lets the request be ended for others while its body arrives.
func (r *Request) beginBody() {
	if r.conn != nil {
		r.hold.Begin(r.conn.interruptBody)
	}
}

// interruptBody ends the read of a body.
func (c *conn) interruptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connection.Body {
		c.interrupted = true
		c.applyDeadline()
	}
}

// endBody keeps the request from being ended for others from now on.
func (r *Request) endBody() error {
	if !r.hold.Begin(nil) {
		return memorybudget.ErrNoMemory
	}
	if r.conn != nil {
		r.conn.bodyArrived(time.Now())
	}
	return nil
}

// bodyError returns the error of a body that could not be read.
func (r *Request) bodyError(err error, limit int64) error {
	switch {
	case errors.Is(err, memorybudget.ErrTooLarge):
		return errkind.New(errkind.TooLarge, "request body exceeds the limit of %d bytes", limit)
	case errors.Is(err, memorybudget.ErrNoMemory) || r.hold.IsEnded():
		if r.conn != nil {
			r.conn.guard.event(NoMemory)
		}
		return errkind.Wrap(errkind.Overloaded, memorybudget.ErrNoMemory, "read request body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.BodyTooSlow, err, "read request body")
	default:
		return errkind.Wrap(errkind.BadRequest, err, "read request body")
	}
}

// Refuse prepares the answer to a request that is refused, whose body may not have been
// read. It is called before the answer's head is written.
func Refuse(w http.ResponseWriter, r *http.Request) {
	if c, guarded := r.Context().Value(connKey{}).(*conn); guarded {
		c.refuse(w, r)
	}
}

// Answering takes over the memory of an answer, which the caller reads from now on, and
// for which the request may be ended. release returns what the answer held before; it may
// be nil.
func (r *Request) Answering(bytes int64, release func()) {
	if release != nil {
		release()
	}
	r.hold.Add(bytes)
	if r.conn != nil {
		r.hold.Begin(r.conn.endAnswer)
		r.conn.beginAnswer(time.Now())
	}
}

// endAnswer gives up an answer that the client does not read, for the memory of others.
func (c *conn) endAnswer() { c.closeEarly(connection.Answer) }

func (c *conn) beginAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(connection.Answer, time.Time{}, now)
}

// CountBody returns a request's body, or what reads it, for a handler that decodes it as
// it arrives. factor is the memory that the handler takes for each byte. An empty body, and
// one without a guarded connection, is returned as it is.
func CountBody(r *http.Request, body io.ReadCloser, factor int64) io.ReadCloser {
	c, guarded := r.Context().Value(connKey{}).(*conn)
	if !guarded || r.ContentLength == 0 {
		return body
	}
	request := &Request{conn: c, hold: c.hold, http: r}
	request.beginBody()
	return &countedBody{body, request, factor}
}

// countedBody is a body whose bytes count as held while the request is handled.
type countedBody struct {
	io.ReadCloser
	request *Request
	factor  int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.request.hold.Grow(int64(n)*b.factor) {
		return 0, memorybudget.ErrNoMemory
	}
	if errors.Is(err, io.EOF) {
		if ended := b.request.endBody(); ended != nil {
			return 0, ended
		}
	}
	return n, err
}
