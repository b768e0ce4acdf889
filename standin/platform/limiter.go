package platform

import (
	"context"
	"io"
	"time"

	"fescuespar/internal/lockrank"
)

// pacedChunkBytes is the size of the pieces in which a paced body is sent.
const pacedChunkBytes = 16 << 10

// limiter is a token bucket of bytes that all readers share. A reader takes
// its bytes at once and waits until the bucket would have held them.
type limiter struct {
	rate  float64 // bytes a second; zero sets no bound
	burst float64 // bytes

	// mu guards the fields below.
	mu     lockrank.Mutex
	tokens float64 // bytes; negative while readers wait
	last   time.Time
}

func newLimiter(rate, burst int64) *limiter {
	return &limiter{
		mu:     lockrank.New(rankStandin),
		rate:   float64(rate),
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// reserve takes count bytes and returns how long their reader has to wait.
func (l *limiter) reserve(now time.Time, count int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		gained := now.Sub(l.last).Seconds() * l.rate
		l.tokens = min(l.burst, l.tokens+gained)
	}
	l.last = now
	l.tokens -= float64(count)
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / l.rate * float64(time.Second))
}

// writePaced writes a body in pieces at the limiter's rate until it is written
// or its reader has gone.
func writePaced(ctx context.Context, w io.Writer, body []byte, limits *limiter, now func() time.Time) {
	for len(body) > 0 {
		piece := body[:min(len(body), pacedChunkBytes)]
		if !waitFor(ctx, limits.reserve(now(), len(piece))) {
			return
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
		body = body[len(piece):]
	}
}

// waitFor returns false when the context ends before the delay.
func waitFor(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
