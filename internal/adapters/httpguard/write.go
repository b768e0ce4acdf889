package httpguard

import (
	"errors"
	"net"
	"os"
	"time"
)

// errAnswerUnread reports a client that does not read its answer.
var errAnswerUnread = errors.New("the client does not read its answer")

// Write implements net.Conn. It fails if the client takes nothing for one to two idle
// timeouts, or less than minRate on average once it has kept the process waiting for bodyGrace.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) >= countedWriteBytes {
		c.hold.Add(int64(len(p)))
		defer c.hold.Shrink(int64(len(p)))
	}
	c.beginWrite(time.Now())
	defer c.endWrite()
	stall := c.guard.limits().IdleTimeout
	for sent := 0; ; {
		began := time.Now()
		c.armWrite(began, stall)
		n, err := c.Conn.Write(p[sent:min(len(p), sent+writePieceBytes)])
		sent += n
		isUnread := c.wrote(n, began, time.Now())
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return sent, err
		case err != nil && n == 0, isUnread:
			c.guard.event(AnswerUnread)
			return sent, &net.OpError{Op: "write", Net: "tcp", Err: errAnswerUnread}
		case sent == len(p):
			return sent, nil
		}
	}
}

// armWrite sets the deadline of a write to twice the time for which a client may take
// nothing, unless the one that is set leaves that time: most writes need no new one.
func (c *conn) armWrite(now time.Time, stall time.Duration) {
	if c.writeDeadline.Sub(now) >= stall {
		return
	}
	c.writeDeadline = now.Add(2 * stall)
	_ = c.Conn.SetWriteDeadline(c.writeDeadline) // fails only if the connection is closed
}

func (c *conn) beginWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.writeSince, c.progress = true, now, now
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// wrote counts bytes that the client has taken. It reports whether the client takes too
// little on average.
func (c *conn) wrote(n int, began, now time.Time) bool {
	c.mu.Lock()
	c.written += int64(n)
	c.blocked += now.Sub(began)
	allowed := bodyGrace + time.Duration(float64(c.written)/minRate*float64(time.Second))
	isUnread := c.blocked > allowed
	if n > 0 {
		c.progress = now
	}
	c.mu.Unlock()
	if n >= countedWriteBytes {
		c.hold.Progress(int64(n))
	}
	return isUnread
}
