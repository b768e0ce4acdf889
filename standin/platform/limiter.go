package platform

import (
	"context"
	"io"
	"time"

	"fescuespar/internal/lockrank"
)

// rateLimitedChunkBytes is the size of the chunks in which a rate-limited body
// is written.
const rateLimitedChunkBytes = 16 << 10

// limiter is a token bucket shared by all readers, with one token per byte. A
// reader reserves its bytes immediately and then waits until the bucket would
// have contained them.
type limiter struct {
	rate  float64 // bytes per second; zero disables the limit
	burst float64 // bytes

	// mu guards the fields below.
	mu         lockrank.Mutex
	tokens     float64 // bytes; negative while readers wait
	lastRefill time.Time
}

func newLimiter(rate, burst int64) *limiter {
	return &limiter{
		mu:     lockrank.New(rankStandin),
		rate:   float64(rate),
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// reserve takes count bytes from the bucket and returns how long the reader
// must wait before it sends them.
func (l *limiter) reserve(now time.Time, count int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastRefill.IsZero() {
		refill := now.Sub(l.lastRefill).Seconds() * l.rate
		l.tokens = min(l.burst, l.tokens+refill)
	}
	l.lastRefill = now
	l.tokens -= float64(count)
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / l.rate * float64(time.Second))
}

// writeRateLimited writes a body in chunks at the limiter's rate. It stops
// early when the context ends or a write fails.
func writeRateLimited(ctx context.Context, w io.Writer, body []byte, limit *limiter, now func() time.Time) {
	for len(body) > 0 {
		chunk := body[:min(len(body), rateLimitedChunkBytes)]
		if !sleep(ctx, limit.reserve(now(), len(chunk))) {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		body = body[len(chunk):]
	}
}

// sleep waits for a delay. It returns false if the context ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
