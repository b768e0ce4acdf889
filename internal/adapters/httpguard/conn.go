package httpguard

import (
	"errors"
	"net"
	"os"
	"time"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core/connection"
	"fescuespar/internal/lockrank"
)

const (
	// requestLineBytes is what a head may have beyond its header fields, as in net/http.
	requestLineBytes = 4 << 10
	// readBufferBytes is the size of net/http's read buffer, in which bytes behind the
	// head may arrive with it.
	readBufferBytes = 4 << 10
	// writePieceBytes is the size of the pieces in which an answer is written, so that
	// its progress can be seen.
	writePieceBytes = 256 << 10
	// countedWriteBytes is the size from which bytes count as held while they are
	// written. Smaller writes are copies in net/http's buffers.
	countedWriteBytes = 16 << 10
)

// conn is a guarded connection. net/http reads and writes it.
type conn struct {
	net.Conn
	guard *Guard
	hold  *memorybudget.Holder // of the request in progress

	writeDeadline time.Time // that the connection has; used by Write only

	// mu guards the fields below.
	mu            lockrank.Mutex
	phase         connection.Phase
	since         time.Time // begin of the phase
	progress      time.Time // last byte in the phase
	bytes         int64     // in the phase
	deadline      time.Time // of reads in the phase; zero for none
	outerDeadline time.Time // of reads, set by net/http; zero for none
	applied       time.Time // deadline that the connection has
	interrupted   bool      // the body is not read any further
	expired       bool      // a read in the phase ended at its deadline
	closedEarly   bool      // no request may begin
	refused       bool      // all requests so far were refused
	refusedNow    bool      // the request in progress was refused
	mustClose     bool      // after the answer, since the body has not arrived
	bodyDeadline  time.Time // until which the client waits for the request; zero if unknown
	fields        fieldScan // of the head that arrives
	writing       bool
	writeSince    time.Time     // begin of the write in progress
	written       int64         // bytes of the answer
	blocked       time.Duration // time for which the answer was not taken
}

func newConn(guard *Guard, inner net.Conn, now time.Time) *conn {
	c := &conn{
		Conn: inner, guard: guard, hold: guard.options.Memory.NewHolder(), mu: lockrank.New(lockrank.RankAdapter),
		refused: true,
	}
	c.enter(connection.New, now.Add(guard.limits().IdleTimeout), now)
	return c
}

// enter begins a phase. The caller holds mu, or the connection is new.
func (c *conn) enter(phase connection.Phase, deadline, now time.Time) {
	c.phase, c.since, c.progress, c.bytes, c.interrupted, c.expired = phase, now, now, 0, false, false
	c.setDeadline(deadline)
}

// setDeadline sets the deadline of reads in the phase. The caller holds mu.
func (c *conn) setDeadline(deadline time.Time) {
	c.deadline = deadline
	c.applyDeadline()
}

// applyDeadline sets the earlier of the guard's deadline and net/http's. The caller
// holds mu.
func (c *conn) applyDeadline() {
	effective := c.deadline
	if effective.IsZero() || !c.outerDeadline.IsZero() && c.outerDeadline.Before(effective) {
		effective = c.outerDeadline
	}
	if c.interrupted {
		effective = c.since // which is past
	}
	if !effective.Equal(c.applied) {
		c.applied = effective
		_ = c.Conn.SetReadDeadline(effective) // fails only if the connection is closed
	}
}

// SetReadDeadline implements net.Conn. net/http sets deadlines to interrupt its reads.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outerDeadline = deadline
	c.applyDeadline()
	return nil
}

// CloseWrite closes the sending side, for net/http.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// view returns what the decision on connections needs to know.
func (c *conn) view() connection.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing && c.phase == connection.Running {
		return connection.View{Phase: connection.Answer, Since: c.writeSince, Progress: c.progress, Bytes: c.written}
	}
	return connection.View{Phase: c.phase, Since: c.since, Progress: c.progress, Bytes: c.bytes, Refused: c.refused}
}

// closeEarly closes the connection for another one, or for memory. It returns false if
// the connection is not in the phase of the decision any more.
func (c *conn) closeEarly(decided connection.Phase) bool {
	if !c.markClosed(decided) {
		return false
	}
	reset(c.Conn)
	return true
}

// markClosed marks the connection as closed early, so that no request begins on it.
func (c *conn) markClosed(decided connection.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedEarly || c.phase != decided && !(c.writing && c.phase == connection.Running && decided == connection.Answer) {
		return false
	}
	c.closedEarly = true
	return true
}

// becomeIdle begins the time between two requests.
func (c *conn) becomeIdle(now time.Time) {
	idle := c.guard.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(connection.Idle, now.Add(idle), now)
}

// Errors of reads that the guard ends.
var (
	errHeadTooLarge = errors.New("the head of the request exceeds its size limit")
	errNoMemory     = errors.New("no memory for the request")
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.beforeRead(time.Now())
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refusal := c.received(p[:n], time.Now()); refusal != nil {
			// net/http closes the connection without an answer after such an error.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: refusal}
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut()
	}
	return n, err
}

// beforeRead renews the deadline of a body's next bytes.
func (c *conn) beforeRead(now time.Time) {
	c.mu.Lock()
	inBody := c.phase == connection.Body
	c.mu.Unlock()
	if !inBody {
		return
	}
	stall := now.Add(c.guard.limits().HeaderTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connection.Body {
		c.setDeadline(earliest(stall, c.bodyEnd()))
	}
}

// bodyEnd returns when the body must be complete. The caller holds mu.
func (c *conn) bodyEnd() time.Time {
	end := c.since.Add(c.guard.options.BodyTime + time.Duration(float64(c.bytes)/minRate*float64(time.Second)))
	if !c.bodyDeadline.IsZero() {
		end = earliest(end, c.bodyDeadline)
	}
	return end
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// received counts bytes from the client. It returns an error if the request must end.
func (c *conn) received(p []byte, now time.Time) error {
	limits := c.guard.limits()
	c.mu.Lock()
	if c.phase == connection.New || c.phase == connection.Idle {
		c.enter(connection.Head, now.Add(limits.HeaderTimeout), now)
		c.fields = fieldScan{}
		c.bodyDeadline = time.Time{}
	}
	c.bytes += int64(len(p))
	c.progress = now
	phase, size := c.phase, c.bytes
	if phase == connection.Head {
		c.fields.read(p)
	}
	c.mu.Unlock()
	switch {
	case phase == connection.Body:
		c.hold.Progress(int64(len(p)))
	case phase != connection.Head:
	case size > int64(limits.HeaderBytes+requestLineBytes+readBufferBytes):
		c.guard.event(HeadTooLarge)
		c.refuseHead()
		return errHeadTooLarge
	default:
		return c.holdHead(size, int64(len(p)))
	}
	return nil
}

// holdHead takes memory for bytes of a head, of which size have arrived.
func (c *conn) holdHead(size, arrived int64) error {
	if size == arrived {
		c.hold.Begin(c.endHead)
	} else {
		c.hold.Progress(arrived)
	}
	if c.hold.Grow(arrived * memorybudget.HeadFactor) {
		return nil
	}
	c.guard.event(NoMemory)
	return errNoMemory
}

// endHead gives up a request whose head is arriving, for the memory of others.
func (c *conn) endHead() { c.closeEarly(connection.Head) }

// headTooLarge is the answer to a head over the limit, which net/http does not see whole.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuseHead answers a head over the limit and lets the client read the answer.
func (c *conn) refuseHead() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write([]byte(headTooLarge)); err == nil {
		c.linger()
	}
}

// timedOut counts a phase in which a read ended at a deadline of the guard.
func (c *conn) timedOut() {
	c.mu.Lock()
	phase, byGuard := c.phase, c.outerDeadline.IsZero() && !c.interrupted && !c.expired
	c.expired = c.expired || byGuard
	c.mu.Unlock()
	switch {
	case !byGuard:
	case phase == connection.Head:
		c.guard.event(HeadTooSlow)
	case phase == connection.Body:
		c.guard.event(BodyTooSlow)
	}
}

// linger closes the sending side and reads what the client still sends, for lingerTime
// at most, so that it can read the answer before the connection is reset.
func (c *conn) linger() {
	now := time.Now()
	c.mu.Lock()
	c.enter(connection.Closing, now.Add(lingerTime), now)
	c.mu.Unlock()
	if c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, readBufferBytes)
	for drained := 0; drained < maxDrainedBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		drained += n
	}
}
