package pace

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestColdServerWaitsForItsWarmth guards against a cold server that gets its usual work
// before it is warm, and against a warm one that does not get it soon.
func TestColdServerWaitsForItsWarmth(t *testing.T) {
	var p Pace
	p.BeginCold(at(5*time.Second), start)
	if got := p.Share(at(4900 * time.Millisecond)); got != coldShare {
		t.Errorf("share %v before the end of the cold time, want %v", got, coldShare)
	}
	if got := p.Share(at(7 * time.Second)); got != 1 || !p.EndIfDue(at(7*time.Second)) || p.IsActive() {
		t.Errorf("share %v two doublings after the cold time, want the end of the pace", got)
	}
}

// TestShareFollowsAnswers guards against a pace that ignores how the server answers.
func TestShareFollowsAnswers(t *testing.T) {
	cases := []struct {
		name   string
		ratio  float64
		lowest float64 // share after two seconds of answers
		most   float64
	}{
		{"in time: warm before its time", 1, 1, 1},
		{"four times slower: a quarter", 4, 0.24, 0.26},
		{"ten times slower: a tenth", 10, 0.09, 0.11},
	}
	for _, c := range cases {
		var p Pace
		p.BeginCold(at(time.Minute), start)
		for i := range 40 {
			p.RecordAnswer(c.ratio, at(time.Duration(i)*50*time.Millisecond))
		}
		if got := p.Share(at(2 * time.Second)); got < c.lowest || got > c.most {
			t.Errorf("%s: share %v, want %v to %v", c.name, got, c.lowest, c.most)
		}
		if got := p.Share(at(10 * time.Second)); got > coldShare && c.ratio > tolerance {
			t.Errorf("%s: share %v without answers, want no more than a cold server gets", c.name, got)
		}
	}
}

// TestSetbacksAndRepeatsLowerTheShare guards against a server that fails again and again
// and gets as much work each time.
func TestSetbacksAndRepeatsLowerTheShare(t *testing.T) {
	var p Pace
	p.BeginReturn(start)
	p.RecordSetback(start)
	p.RecordSetback(at(time.Millisecond)) // of the same burst
	if got := p.Share(at(time.Millisecond)); got < returnShare/2 || got > 0.51*returnShare {
		t.Errorf("share %v after a burst of failures, want half of %v", got, returnShare)
	}
	for i := range 6 {
		p.BeginReturn(at(time.Duration(i+1) * 10 * time.Second))
	}
	if got := p.Share(at(time.Minute)); got != minShare {
		t.Errorf("share %v after many returns, want %v", got, minShare)
	}
	p.BeginReturn(at(time.Hour))
	if got := p.Share(at(time.Hour)); got != returnShare {
		t.Errorf("share %v at a return long after the last one, want %v", got, returnShare)
	}
	if !p.EndIfDue(at(time.Hour + maxLength)) {
		t.Error("the pace does not end")
	}
}
