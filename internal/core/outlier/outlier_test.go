package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	normalDuration   = time.Second
	maxOnsetEjection = 10 // seconds for which a server may stay ejected at the onset of a degradation
)

// behaviour returns the result of a server in a second of the scenario.
type behaviour func(server, second int) Result

func success(duration time.Duration) Result {
	return Result{Outcome: Succeeded, Work: 100, Duration: duration}
}

// simulate ends 2 requests a second on every server and returns, for each
// server, the seconds in which it was ejected, and the largest number ejected
// at once.
func simulate(t *testing.T, servers, seconds int, behave behaviour) (ejected []int, maxEjected int) {
	t.Helper()
	random := rand.New(rand.NewPCG(5, 5))
	pool := NewPool(DefaultPolicy())
	pooled := make([]*Server, servers)
	for i := range pooled {
		pooled[i] = &Server{}
		pool.Add(pooled[i])
	}
	ejected = make([]int, servers)
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		for i, server := range pooled {
			if server.Ejected() {
				ejected[i]++
				continue
			}
			for range 2 {
				pool.Record(server, behave(i, second), now, random)
			}
		}
		maxEjected = max(maxEjected, pool.Ejected())
		pool.Sweep(now, random)
		maxEjected = max(maxEjected, pool.Ejected())
	}
	return ejected, maxEjected
}

func TestEjection(t *testing.T) {
	failed := Result{Outcome: Failed}
	cases := []struct {
		name        string
		behave      behaviour
		wantEjected func(ejected []int, maxEjected int) bool
	}{
		{"all healthy", func(int, int) Result { return success(normalDuration) },
			func(_ []int, maxEjected int) bool { return maxEjected == 0 }},
		{"one fails", func(i, s int) Result {
			if i == 4 && s >= 30 {
				return failed
			}
			return success(normalDuration)
		}, func(ejected []int, maxEjected int) bool { return maxEjected == 1 && ejected[4] >= 60 }},
		{"one slow", func(i, s int) Result {
			if i == 4 && s >= 30 {
				return success(5 * normalDuration)
			}
			return success(normalDuration)
		}, func(ejected []int, maxEjected int) bool { return maxEjected == 1 && ejected[4] >= 30 }},
		{"degradation, all slow", func(_, s int) Result {
			if s >= 60 {
				return success(5 * normalDuration)
			}
			return success(normalDuration)
		}, func(_ []int, maxEjected int) bool { return maxEjected == 0 }},
		{"degradation, all slow from different times", func(i, s int) Result {
			if s >= 60+2*i {
				return success(5 * normalDuration)
			}
			return success(normalDuration)
		}, func(ejected []int, _ int) bool { return sum(ejected) <= 3*maxOnsetEjection }},
		{"all fail", func(_, s int) Result {
			if s >= 60 {
				return failed
			}
			return success(normalDuration)
		}, func(ejected []int, maxEjected int) bool { return maxEjected <= 3 && sum(ejected) <= 3*maxOnsetEjection }},
		{"a third fails", func(i, s int) Result {
			if i < 4 && s >= 30 {
				return failed
			}
			return success(normalDuration)
		}, func(ejected []int, maxEjected int) bool { return maxEjected == 3 && ejected[8] == 0 }},
		{"all slow under load, one fails", func(i, s int) Result {
			if i == 4 && s >= 70 {
				return failed
			}
			if s >= 60 {
				return success(5 * normalDuration)
			}
			return success(normalDuration)
		}, func(ejected []int, maxEjected int) bool { return maxEjected == 1 && ejected[4] >= 30 }},
		{"a crash by a request and the restart", func(i, s int) Result {
			if i == 4 && s == 30 {
				return Result{Outcome: CrashedByRequest}
			}
			return success(normalDuration)
		}, func(_ []int, maxEjected int) bool { return maxEjected == 0 }},
		{"callers abandon requests on one server", func(i, _ int) Result {
			if i == 4 {
				return Result{Outcome: Abandoned, Work: 1, Duration: time.Hour}
			}
			return success(normalDuration)
		}, func(_ []int, maxEjected int) bool { return maxEjected == 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ejected, maxEjected := simulate(t, 9, 120, c.behave)
			t.Logf("seconds ejected %v, at most %d at once", ejected, maxEjected)
			if !c.wantEjected(ejected, maxEjected) {
				t.Error("unexpected ejections")
			}
		})
	}
}

func sum(values []int) (total int) {
	for _, v := range values {
		total += v
	}
	return total
}

func TestEjectionLengthAndRampUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	policy := DefaultPolicy()
	pool := NewPool(policy)
	bad := &Server{}
	pool.Add(bad)
	pool.Add(&Server{})
	pool.Add(&Server{})
	now := time.Unix(0, 0)
	var last time.Duration
	for range 4 {
		for range policy.ConsecutiveFailures {
			pool.Record(bad, Result{Outcome: Failed}, now, random)
		}
		length := bad.Until().Sub(now)
		if !bad.Ejected() || length <= last {
			t.Fatalf("ejected %v for %v after %v", bad.Ejected(), length, last)
		}
		last = length
		now = bad.Until()
		pool.Sweep(now, random)
	}
	early, late := bad.Weight(policy.RampUp, now), bad.Weight(policy.RampUp, now.Add(policy.RampUp/2))
	if early != minWeight || late <= early || bad.Weight(policy.RampUp, now.Add(policy.RampUp)) != 1 {
		t.Errorf("weights %v, %v, want a rise from %v to 1", early, late, minWeight)
	}
}

func TestKillerRequestDoesNotLengthenEjections(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	policy := DefaultPolicy()
	for _, first := range []Outcome{CrashedByRequest, Abandoned} {
		pool, server, now := NewPool(policy), &Server{}, time.Unix(0, 0)
		pool.Add(server)
		pool.Add(&Server{})
		pool.Record(server, Result{Outcome: first}, now, random)
		for range policy.ConsecutiveFailures {
			pool.Record(server, Result{Outcome: Failed}, now, random)
		}
		if want := map[Outcome]int{CrashedByRequest: 0, Abandoned: 1}[first]; server.ejections != want {
			t.Errorf("outcome %d: %d ejections counted, want %d", first, server.ejections, want)
		}
	}
}

// TestLatencyBelowFloorIsNoOutlier runs one server that is many times slower
// than its peers: it must be ejected only if its time per token exceeds
// LatencyFloor, below which no caller could notice it.
func TestLatencyBelowFloorIsNoOutlier(t *testing.T) {
	for _, c := range []struct {
		slow    time.Duration // per token
		ejected bool
	}{{time.Millisecond, false}, {10 * time.Millisecond, true}} {
		random := rand.New(rand.NewPCG(1, 1))
		pool := NewPool(DefaultPolicy())
		servers := make([]Server, 4)
		for i := range servers {
			pool.Add(&servers[i])
		}
		now := time.Unix(1e9, 0)
		for range 30 {
			now = now.Add(time.Second)
			for i := range servers {
				perToken := 10 * time.Microsecond
				if i == 0 {
					perToken = c.slow
				}
				pool.Record(&servers[i], Result{Outcome: Succeeded, Work: 10, Duration: 10 * perToken}, now, random)
			}
			pool.Sweep(now, random)
		}
		if got := servers[0].Ejected(); got != c.ejected {
			t.Errorf("%v per token beside 10 us: ejected %v, want %v", c.slow, got, c.ejected)
		}
	}
}
