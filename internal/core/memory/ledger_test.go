package memory

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 6, 10, 0, 0, 0, time.UTC)

// TestGrowLeavesMemoryForOthers guards against one holder that takes what others need:
// holders grow in turn until none may take more.
func TestGrowLeavesMemoryForOthers(t *testing.T) {
	const size = 3000
	for _, count := range []int{1, 2, 10} {
		ledger, holders := NewLedger(size), make([]Holder, count)
		for grown := true; grown; {
			grown = false
			for i := range holders {
				granted, _ := ledger.Grow(&holders[i], 1, start)
				grown = grown || granted
			}
		}
		least := int64(size / (1 + count*maxHeldPerFree))
		if ledger.Free() < least {
			t.Errorf("%d holders leave %d of %d bytes free, want %d at least", count, ledger.Free(), size, least)
		}
		for i := range holders {
			if holders[i].Held() < least {
				t.Errorf("holder %d of %d may hold %d bytes, want %d at least", i, count, holders[i].Held(), least)
			}
		}
		if granted, _ := ledger.Grow(new(Holder), least/2, start); !granted {
			t.Errorf("no memory for a small holder beside %d large ones", count)
		}
		if count == 1 && holders[0].Held() != MaxShareOfOne(size) {
			t.Errorf("a holder alone holds %d bytes, want %d", holders[0].Held(), MaxShareOfOne(size))
		}
	}
}

// TestStalledHoldersAreEndedFirst guards against the loss of a holder that makes
// progress, or of more holders than needed: of three, one has stalled with much, one has
// stalled with little, and one goes on slowly.
func TestStalledHoldersAreEndedFirst(t *testing.T) {
	ledger := NewLedger(1000)
	var much, little, slow, next Holder
	for h, bytes := range map[*Holder]int64{&much: 400, &little: 100, &slow: 200} {
		ledger.Begin(h, true, start)
		ledger.Add(h, bytes)
	}
	var now time.Time
	for second := range 10 {
		now = start.Add(time.Duration(second) * time.Second)
		ledger.Progress(&slow, 20, now)
		if second < 2 {
			ledger.Progress(&much, 200, now)
			ledger.Progress(&little, 50, now)
		}
	}
	granted, ended := ledger.Grow(&next, 250, now)
	if !granted || len(ended) != 1 || ended[0] != &much || !much.Ended() {
		t.Fatalf("granted %t, ended %v, want the stalled holder of 400 bytes", granted, ended)
	}
	if free := ledger.Free(); free != 50 {
		t.Errorf("%d bytes free before the ended holder has released its bytes, want 50", free)
	}
	if ledger.Begin(&much, false, now) {
		t.Error("a holder that was ended begins its next phase")
	}
	ledger.Remove(&much)
	if granted, ended := ledger.Grow(&next, 350, now); granted || ended != nil {
		t.Errorf("granted %t, ended %v for what stalled holders can't make room for", granted, ended)
	}
	if ledger.Free() != 450 {
		t.Errorf("%d bytes free, want 450", ledger.Free())
	}
}

// pattern is how one kind of caller sends its bodies.
type pattern struct {
	name    string
	count   int   // callers
	body    int64 // bytes
	sends   int64 // bytes that it sends of each body before it stops
	rate    int64 // bytes a second
	trickle int64 // bytes a second once it has stopped
	again   time.Duration
	served  int
	refused int
	ended   int
}

// sender is one caller of a pattern.
type sender struct {
	*pattern
	holder  Holder
	sent    int64
	resumes time.Time
}

// The replay's memory and time. The memory is that of the smallest VM for bodies.
const (
	replayBytes = 50 << 20
	replayTime  = 12 * time.Second
	replayTick  = 20 * time.Millisecond
	pieceBytes  = 4 << 10

	reconnectTime = 100 * time.Millisecond // of a caller that was refused
)

// replay runs the patterns and fails the test if more is held than there is.
func replay(t *testing.T, patterns []*pattern) {
	ledger := NewLedger(replayBytes)
	var senders []*sender
	for _, p := range patterns {
		for n := range p.count {
			senders = append(senders, &sender{pattern: p, resumes: start.Add(time.Duration(n) * replayTick)})
		}
	}
	for now := start; now.Before(start.Add(replayTime)); now = now.Add(replayTick) {
		for _, s := range senders {
			s.step(ledger, now)
		}
		for _, s := range senders {
			if s.holder.Ended() {
				s.ended++
				s.restart(ledger, now)
			}
		}
		if ledger.Free() < 0 {
			t.Fatalf("%d bytes too many are held after %v", -ledger.Free(), now.Sub(start))
		}
	}
}

// step lets a sender send for one tick.
func (s *sender) step(ledger *Ledger, now time.Time) {
	if now.Before(s.resumes) {
		return
	}
	if s.sent == 0 {
		ledger.Begin(&s.holder, true, now)
	}
	rate := s.rate
	if s.sent >= s.sends && s.sends < s.body {
		rate = s.trickle
	}
	arrived := min(s.body-s.sent, rate*int64(replayTick)/int64(time.Second))
	if arrived > 0 {
		ledger.Progress(&s.holder, arrived, now)
	}
	s.sent += arrived
	for !s.holder.Ended() && s.holder.Held() < s.sent {
		if granted, _ := ledger.Grow(&s.holder, min(pieceBytes, s.body-s.holder.Held()), now); !granted {
			s.refused++
			s.restart(ledger, now)
			return
		}
	}
	if s.sent == s.body && !s.holder.Ended() {
		s.served++
		s.restart(ledger, now)
	}
}

func (s *sender) restart(ledger *Ledger, now time.Time) {
	ledger.Remove(&s.holder)
	s.sent, s.resumes = 0, now.Add(max(s.again, reconnectTime))
}

// TestReplayOfCrowds replays ordinary callers beside crowds outside the limits, by the
// patterns of docs/accounts-and-load.md: bodies that stop just before their end, in
// large and in very small pieces, ones that trickle, and ones that come again at once.
// It guards against ordinary bodies that find no memory or are ended, also on slow lines,
// as long as they are well below what 1,000 holders leave free at least, 26,201 bytes.
func TestReplayOfCrowds(t *testing.T) {
	const mb = 1 << 20
	crowds := map[string][]pattern{
		"none":      nil,
		"stalled":   {{name: "stalled", body: 32 * mb, sends: 31 * mb, rate: 20 * mb}},
		"trickling": {{name: "trickling", body: 32 * mb, sends: 2 * mb, rate: 4 * mb, trickle: 100}},
		"small":     {{name: "small", body: mb, sends: mb - 1, rate: 100 << 10}},
		"mixed": {
			{name: "stalled", body: 32 * mb, sends: 31 * mb, rate: 20 * mb}, {name: "trickling", body: 32 * mb, sends: 2 * mb, rate: 4 * mb, trickle: 100},
			{name: "small", body: mb, sends: mb - 1, rate: 100 << 10}, {name: "announced", body: 32 * mb, sends: 1, rate: 100},
		},
	}
	for _, name := range []string{"none", "stalled", "trickling", "small", "mixed"} {
		for _, size := range []int{60, 240, 1000} {
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				ordinary := []*pattern{
					{name: "short", count: 4, body: 4 << 10, sends: 4 << 10, rate: mb, again: 100 * time.Millisecond},
					{name: "slow line", count: 2, body: 8 << 10, sends: 8 << 10, rate: 2 << 10, again: time.Second},
				}
				patterns := ordinary
				for i := range crowds[name] {
					p := crowds[name][i]
					p.count = size / len(crowds[name])
					patterns = append(patterns, &p)
				}
				replay(t, patterns)
				for _, p := range patterns {
					t.Logf("%s: %d served, %d refused, %d ended", p.name, p.served, p.refused, p.ended)
				}
				for _, p := range ordinary {
					if p.served == 0 || p.ended > 0 || p.refused > 0 {
						t.Errorf("%s: %d served, %d refused, %d ended; want all served", p.name, p.served, p.refused, p.ended)
					}
				}
			})
		}
	}
}
