package lockrank

import "testing"

// panics reports whether f panics.
func panics(f func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	f()
	return false
}

func TestLockOrderViolationPanics(t *testing.T) {
	if !Checked {
		t.Skip("built without the tag lockcheck")
	}
	cases := []struct {
		name          string
		first, second Rank
		want          bool
	}{
		{"increasing ranks", RankMembers, RankAnswers, false},
		{"decreasing ranks", RankAnswers, RankMembers, true},
		{"equal ranks", RankLeases, RankLeases, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := New(c.first), New(c.second)
			first.Lock()
			defer first.Unlock()
			got := panics(func() {
				second.Lock()
				defer second.Unlock()
			})
			if got != c.want {
				t.Errorf("panicked: %v, want %v", got, c.want)
			}
		})
	}
}
