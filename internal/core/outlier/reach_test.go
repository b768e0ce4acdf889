package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Servers that cannot be reached go out at once, whatever their number, and
// come back when they answer; only silent ones keep to the bound.
func TestUnreachableServers(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name    string
		servers int
		take    func(*Pool, *Server)
		after   time.Duration
		want    int // out of service
	}{
		{"refused connections have no bound", 9, func(p *Pool, s *Server) { p.Unreachable(s, start) }, 0, 9},
		{"silent ones have", 9, func(p *Pool, s *Server) { p.Silent(s, start) }, 0, 3},
		{"one silent server alone stays", 1, func(p *Pool, s *Server) { p.Silent(s, start) }, 0, 0},
		{"without news they are tried again", 9, func(p *Pool, s *Server) { p.Unreachable(s, start) }, DefaultPolicy().Unreachable, 0},
		{"those that answer come back", 9, func(p *Pool, s *Server) {
			p.Unreachable(s, start)
			p.Reachable(s, start)
		}, 0, 0},
		{"an ejection ends with the death that explains it", 3, func(p *Pool, s *Server) {
			random := rand.New(rand.NewPCG(1, 1))
			for range p.policy.ConsecutiveFailures {
				p.Record(s, Result{Outcome: Failed}, start, random)
			}
			p.Unreachable(s, start)
			p.Reachable(s, start)
		}, 0, 0},
	}
	for _, c := range cases {
		pool := NewPool(DefaultPolicy())
		rows := make([]Server, c.servers)
		for i := range rows {
			pool.Add(&rows[i])
			c.take(pool, &rows[i])
		}
		pool.Sweep(start.Add(c.after), rand.New(rand.NewPCG(1, 1)))
		out := 0
		for i := range rows {
			if rows[i].Ejected() {
				out++
			}
			pool.Remove(&rows[i])
		}
		if out != c.want {
			t.Errorf("%s: %d of %d out of service, want %d", c.name, out, c.servers, c.want)
		}
		if pool.ejected != 0 || pool.away != 0 {
			t.Errorf("%s: an empty pool counts %d ejected and %d unreachable", c.name, pool.ejected, pool.away)
		}
	}
}
