package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// herdingLoad returns requests with heavy-tailed answer lengths over ten entry
// VMs, at about two thirds of the capacity of nine engines.
func herdingLoad(seed uint64) []simRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []simRequest
	for at := time.Duration(0); at < 2*time.Minute; {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / 33)
		answer := int(min(2000, 120*paretoSample(random)))
		query := coachQuery()
		query.ExpectedTokens = 400
		requests = append(requests, simRequest{at: at, entry: random.IntN(simEntries), query: query, answer: answer, bytes: answer * bytesPerToken})
	}
	return requests
}

// simEntries is the number of entry VMs in a simulation.
const simEntries = 10

// paretoSample draws from a Pareto distribution with minimum 1 and shape 1.5.
func paretoSample(random *rand.Rand) float64 {
	return math.Pow(1-random.Float64(), -1/1.5)
}

// herdingSim returns a simulation of nine engines, one of which runs at the
// given share of the others' speed.
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

// TestNoHerdingOnSharedDelayedReports lets ten entry VMs see the same delayed
// reports. They must not all choose the server that was idle when the reports
// were measured.
func TestNoHerdingOnSharedDelayedReports(t *testing.T) {
	withoutReports := DefaultPolicy()
	withoutReports.MaxReportAge = -1
	policies := []struct {
		name   string
		choose func(*baseline, *simRequest, []int) int
		policy Policy
	}{
		{"least loaded by reports", leastReported, Policy{}},
		{"least loaded by reports and own", leastReportedAndOwn, Policy{}},
		{"random", randomServer, Policy{}},
		{"routing without reports", nil, withoutReports},
		{"routing", nil, DefaultPolicy()},
	}
	for seed := range uint64(3) {
		for _, slowest := range []float64{1, 0.4} {
			imbalance := make(map[string]float64)
			for _, c := range policies {
				s := herdingSim(c.choose, c.policy, slowest)
				s.run(herdingLoad(seed))
				imbalance[c.name] = mean(s.imbalance)
				t.Logf("seed %d, slowest server at %.1f: %s", seed, slowest, s.formatResult(c.name))
			}
			for _, c := range policies {
				if c.choose != nil && imbalance["routing"] >= imbalance[c.name] {
					t.Errorf("seed %d: max/mean load %.2f under routing, want less than the %.2f under %s", seed, imbalance["routing"], imbalance[c.name], c.name)
				}
			}
		}
	}
}
