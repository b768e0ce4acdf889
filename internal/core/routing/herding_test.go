package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// herdingLoad is requests with heavy-tailed answers over ten entry VMs, at
// about two thirds of what nine engines work off.
func herdingLoad(seed uint64) []simRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []simRequest
	for at := time.Duration(0); at < 2*time.Minute; {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / 33)
		answer := int(min(2000, 120*paretoOf(random)))
		query := coachQuery()
		query.Tokens = 400
		requests = append(requests, simRequest{at: at, entry: random.IntN(simEntries), query: query, answer: answer, bytes: answer * bytesPerToken})
	}
	return requests
}

const simEntries = 10

// paretoOf draws from a Pareto distribution with least value 1 and shape 1.5.
func paretoOf(random *rand.Rand) float64 {
	return math.Pow(1-random.Float64(), -1/1.5)
}

func herdingSim(choose func(*baseline, *simRequest, []int) int, policy Policy, slowest float64) *sim {
	var servers []*simServer
	for _, vm := range engineVMs(9) {
		servers = append(servers, newSimServer(vm, 60, 1500))
	}
	servers[4].total *= slowest
	servers[4].perStream *= slowest
	s := &sim{servers: servers, random: rand.New(rand.NewPCG(3, 3))}
	if choose != nil {
		s.router = newBaseline(servers, simEntries, choose)
	} else {
		s.router = newRouted(servers, simEntries, policy)
	}
	return s
}

// Ten entry VMs that see the same late reports must not all choose the server
// that looked idle.
func TestProcessesWithTheSameLateReportsDoNotHerd(t *testing.T) {
	withoutReports := DefaultPolicy()
	withoutReports.ReportLife = -1
	policies := []struct {
		name   string
		choose func(*baseline, *simRequest, []int) int
		policy Policy
	}{
		{"least loaded by reports", leastReported, Policy{}},
		{"least loaded by reports and own", leastCounted, Policy{}},
		{"random", atRandom, Policy{}},
		{"routing without reports", nil, withoutReports},
		{"routing", nil, DefaultPolicy()},
	}
	for seed := range uint64(3) {
		for _, slowest := range []float64{1, 0.4} {
			reached := make(map[string]float64)
			for _, c := range policies {
				s := herdingSim(c.choose, c.policy, slowest)
				s.run(herdingLoad(seed))
				reached[c.name] = mean(s.imbalance)
				t.Logf("seed %d, slowest server at %.1f: %s", seed, slowest, s.row(c.name))
			}
			for _, c := range policies {
				if c.choose != nil && reached["routing"] >= reached[c.name] {
					t.Errorf("seed %d: max/mean load %.2f, %.2f under %s", seed, reached["routing"], reached[c.name], c.name)
				}
			}
		}
	}
}
