package lockrank

import "testing"

func panics(f func()) (did bool) {
	defer func() { did = recover() != nil }()
	f()
	return false
}

func TestWrongOrderPanics(t *testing.T) {
	if !Checked {
		t.Skip("built without the tag lockcheck")
	}
	cases := []struct {
		name          string
		first, second Rank
		want          bool
	}{
		{"rising", RankMembers, RankAnswers, false},
		{"falling", RankAnswers, RankMembers, true},
		{"equal", RankLeases, RankLeases, true},
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
				t.Errorf("panic = %v, want %v", got, c.want)
			}
		})
	}
}
