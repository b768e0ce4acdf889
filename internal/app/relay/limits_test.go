package relay

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// A server that advertises a limit must get at most limitFactor times what it allows, and
// limitExtra more, in any limitWindow that begins later than contactTime after that.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedServers are plain servers of which some advertise a limit in every answer.
type limitedServers struct {
	mu           sync.Mutex
	limits       map[core.ServerID]float64 // requests a second
	limitedSince map[core.ServerID]time.Time
	arrivals     map[core.ServerID][]time.Time
	slow         core.ServerID // takes slowTime for each request in the first slowFor; empty for none
	startedAt    time.Time
}

// A server is slow as on a busy machine, where one pause raises its mean time above
// several times that of the others.
const (
	slowTime = 30 * time.Millisecond
	slowFor  = contactTime + 4*time.Second
)

func (l *limitedServers) run(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
	if server.ID == l.slow && time.Since(l.startedAt) < slowFor {
		time.Sleep(slowTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals[server.ID] = append(l.arrivals[server.ID], now)
	notice := core.ServerNotice{Answered: true}
	if limit, limited := l.limits[server.ID]; limited {
		notice.Limited, notice.RateLimit = true, limit
		if l.limitedSince[server.ID].IsZero() {
			l.limitedSince[server.ID] = now
		}
	}
	return core.RelayResponse{Status: 200, Signature: "signed", ServerNotice: notice}, nil
}

// worstWindow returns the most arrivals at a server in a window that the limit binds.
func (l *limitedServers) worstWindow(id core.ServerID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bound []time.Time
	for _, at := range l.arrivals[id] {
		if at.Sub(l.limitedSince[id]) > contactTime {
			bound = append(bound, at)
		}
	}
	worst := 0
	for i, first := range bound {
		end, _ := slices.BinarySearchFunc(bound, first.Add(limitWindow), time.Time.Compare)
		worst = max(worst, end-i)
	}
	return worst
}

// TestRequestsBeyondRateLimit has three processes, one of which sends most
// requests, and servers of which two or all advertise a limit. It also guards against
// refusals while the only server without a limit is ejected because it is slow.
func TestRequestsBeyondRateLimit(t *testing.T) {
	cases := []struct {
		name   string
		limits map[core.ServerID]float64
		slow   core.ServerID
	}{
		{"two of three", map[core.ServerID]float64{"desk-0": 4, "desk-1": 2.2}, ""},
		{"two of three, the other one slow", map[core.ServerID]float64{"desk-0": 4, "desk-1": 2.2}, "desk-2"},
		{"all", map[core.ServerID]float64{"desk-0": 4, "desk-1": 6, "desk-2": 5}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newEnvironment(t)
			servers := &limitedServers{limits: c.limits, limitedSince: make(map[core.ServerID]time.Time), arrivals: make(map[core.ServerID][]time.Time), slow: c.slow, startedAt: time.Now()}
			s.exchange = servers.run
			const duration = contactTime + 8*time.Second
			var senders sync.WaitGroup
			var mu sync.Mutex
			served, refused := 0, 0
			var refusals []string // with the time since the sender began
			for i, perSecond := range []float64{40, 2, 2} {
				service := s.waitReady(s.start(core.VMID(fmt.Sprint("vm-", i))))
				senders.Go(func() {
					pause := time.Duration(float64(time.Second) / perSecond)
					for began := time.Now(); time.Since(began) < duration; time.Sleep(pause) {
						_, err := service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x"})
						mu.Lock()
						switch {
						case err == nil:
							served++
						case errkind.AnswerTo(err).Execution == errkind.NotRun:
							refused++
							refusals = append(refusals, fmt.Sprintf("vm-%d after %v: %v", i, time.Since(began), err))
						default:
							t.Errorf("request failed: %v", err)
						}
						mu.Unlock()
					}
				})
			}
			senders.Wait()
			t.Logf("%d served, %d refused", served, refused)
			for id, limit := range c.limits {
				allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
				if worst := servers.worstWindow(id); float64(worst) > allowed {
					t.Errorf("%s takes %.1f requests a second and got %d in %v, want at most %.0f", id, limit, worst, limitWindow, allowed)
				}
			}
			if len(c.limits) < 3 && refused > 0 {
				t.Errorf("%d requests refused although a server has no limit: %q", refused, refusals)
			}
		})
	}
}
