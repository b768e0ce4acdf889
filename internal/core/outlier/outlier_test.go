package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	usualTook    = time.Second
	onsetSeconds = 10 // for which a server may stay ejected at the onset of a sag
)

// behaviour gives a server's result in a second of the scenario.
type behaviour func(server, second int) Result

func succeeds(took time.Duration) Result {
	return Result{Outcome: Succeeded, Work: 100, Took: took}
}

// run lets every server end 2 requests a second and returns, for each server,
// the seconds in which it was ejected, and the most ejected at once.
func run(t *testing.T, servers, seconds int, behave behaviour) (ejected []int, most int) {
	t.Helper()
	random := rand.New(rand.NewPCG(5, 5))
	pool := NewPool(DefaultPolicy())
	rows := make([]*Server, servers)
	for i := range rows {
		rows[i] = &Server{}
		pool.Add(rows[i])
	}
	ejected = make([]int, servers)
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		for i, row := range rows {
			if row.Ejected() {
				ejected[i]++
				continue
			}
			for range 2 {
				pool.Record(row, behave(i, second), now, random)
			}
		}
		most = max(most, pool.Ejected())
		pool.Sweep(now, random)
		most = max(most, pool.Ejected())
	}
	return ejected, most
}

func TestEjection(t *testing.T) {
	failed := Result{Outcome: Failed}
	cases := []struct {
		name        string
		behave      behaviour
		wantEjected func(ejected []int, most int) bool
	}{
		{"all well", func(int, int) Result { return succeeds(usualTook) },
			func(_ []int, most int) bool { return most == 0 }},
		{"one fails", func(i, s int) Result {
			if i == 4 && s >= 30 {
				return failed
			}
			return succeeds(usualTook)
		}, func(ejected []int, most int) bool { return most == 1 && ejected[4] >= 60 }},
		{"one slow", func(i, s int) Result {
			if i == 4 && s >= 30 {
				return succeeds(5 * usualTook)
			}
			return succeeds(usualTook)
		}, func(ejected []int, most int) bool { return most == 1 && ejected[4] >= 30 }},
		{"sag, all slow", func(_, s int) Result {
			if s >= 60 {
				return succeeds(5 * usualTook)
			}
			return succeeds(usualTook)
		}, func(_ []int, most int) bool { return most == 0 }},
		{"sag, all slow at different times", func(i, s int) Result {
			if s >= 60+2*i {
				return succeeds(5 * usualTook)
			}
			return succeeds(usualTook)
		}, func(ejected []int, _ int) bool { return sum(ejected) <= 3*onsetSeconds }},
		{"all fail", func(_, s int) Result {
			if s >= 60 {
				return failed
			}
			return succeeds(usualTook)
		}, func(ejected []int, most int) bool { return most <= 3 && sum(ejected) <= 3*onsetSeconds }},
		{"a third fails", func(i, s int) Result {
			if i < 4 && s >= 30 {
				return failed
			}
			return succeeds(usualTook)
		}, func(ejected []int, most int) bool { return most == 3 && ejected[8] == 0 }},
		{"all slow under load, one fails", func(i, s int) Result {
			if i == 4 && s >= 70 {
				return failed
			}
			if s >= 60 {
				return succeeds(5 * usualTook)
			}
			return succeeds(usualTook)
		}, func(ejected []int, most int) bool { return most == 1 && ejected[4] >= 30 }},
		{"a killing request and its restart", func(i, s int) Result {
			if i == 4 && s == 30 {
				return Result{Outcome: Killed}
			}
			return succeeds(usualTook)
		}, func(_ []int, most int) bool { return most == 0 }},
		{"callers leave one server", func(i, _ int) Result {
			if i == 4 {
				return Result{Outcome: Abandoned, Work: 1, Took: time.Hour}
			}
			return succeeds(usualTook)
		}, func(_ []int, most int) bool { return most == 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ejected, most := run(t, 9, 120, c.behave)
			t.Logf("seconds ejected %v, most at once %d", ejected, most)
			if !c.wantEjected(ejected, most) {
				t.Error("not as wanted")
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

func TestEjectionsGrowAndReturnIsSlow(t *testing.T) {
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
	early, late := bad.Weight(policy.Ramp, now), bad.Weight(policy.Ramp, now.Add(policy.Ramp/2))
	if early != minWeight || late <= early || bad.Weight(policy.Ramp, now.Add(policy.Ramp)) != 1 {
		t.Errorf("weights %v, %v, want a rise from %v to 1", early, late, minWeight)
	}
}

func TestCrashByAKillingRequestDoesNotLengthenEjections(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	policy := DefaultPolicy()
	for _, first := range []Outcome{Killed, Abandoned} {
		pool, server, now := NewPool(policy), &Server{}, time.Unix(0, 0)
		pool.Add(server)
		pool.Add(&Server{})
		pool.Record(server, Result{Outcome: first}, now, random)
		for range policy.ConsecutiveFailures {
			pool.Record(server, Result{Outcome: Failed}, now, random)
		}
		if want := map[Outcome]int{Killed: 0, Abandoned: 1}[first]; server.ejections != want {
			t.Errorf("outcome %d: %d ejections counted, want %d", first, server.ejections, want)
		}
	}
}

// TestFastServersAreNoOutliers has one server many times slower than its peers,
// all of them far faster than anybody could notice.
func TestFastServersAreNoOutliers(t *testing.T) {
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
				pool.Record(&servers[i], Result{Outcome: Succeeded, Work: 10, Took: 10 * perToken}, now, random)
			}
			pool.Sweep(now, random)
		}
		if got := servers[0].Ejected(); got != c.ejected {
			t.Errorf("%v per token beside 10 us: ejected %v, want %v", c.slow, got, c.ejected)
		}
	}
}
