package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnreachableServers checks that unreachable servers are taken out of
// service at once, whatever their number, and return when they answer, and that
// only servers that time out are subject to the limit.
func TestUnreachableServers(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name    string
		servers int
		remove  func(*Pool, *Server)
		after   time.Duration
		want    int // out of service
	}{
		{"refused connections are not limited", 9, func(p *Pool, s *Server) { p.MarkUnreachable(s, start) }, 0, 9},
		{"time-outs are limited", 9, func(p *Pool, s *Server) { p.MarkUnresponsive(s, start) }, 0, 3},
		{"a single server that times out stays", 1, func(p *Pool, s *Server) { p.MarkUnresponsive(s, start) }, 0, 0},
		{"without further failures they are tried again", 9, func(p *Pool, s *Server) { p.MarkUnreachable(s, start) }, DefaultPolicy().UnreachableRetry, 0},
		{"servers that answer return", 9, func(p *Pool, s *Server) {
			p.MarkUnreachable(s, start)
			p.MarkReachable(s, start)
		}, 0, 0},
		{"an ejection is undone when the server becomes unreachable", 3, func(p *Pool, s *Server) {
			random := rand.New(rand.NewPCG(1, 1))
			for range p.policy.ConsecutiveFailures {
				p.Record(s, Result{Outcome: Failed}, start, random)
			}
			p.MarkUnreachable(s, start)
			p.MarkReachable(s, start)
		}, 0, 0},
	}
	for _, c := range cases {
		pool := NewPool(DefaultPolicy())
		servers := make([]Server, c.servers)
		for i := range servers {
			pool.Add(&servers[i])
			c.remove(pool, &servers[i])
		}
		pool.Sweep(start.Add(c.after), rand.New(rand.NewPCG(1, 1)))
		out := 0
		for i := range servers {
			if servers[i].Ejected() {
				out++
			}
			pool.Remove(&servers[i])
		}
		if out != c.want {
			t.Errorf("%s: %d of %d out of service, want %d", c.name, out, c.servers, c.want)
		}
		if pool.ejectedCount != 0 || pool.unreachableCount != 0 {
			t.Errorf("%s: an empty pool counts %d ejected and %d unreachable", c.name, pool.ejectedCount, pool.unreachableCount)
		}
	}
}
