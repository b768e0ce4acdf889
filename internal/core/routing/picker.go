package routing

import "math/rand/v2"

// Picker selects one of the scored candidates. Pick is called with at least one
// candidate and returns the index of its selection.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// LeastCost picks the candidate with the lowest cost and breaks ties uniformly
// at random.
type LeastCost struct{}

// Pick implements Picker.
func (LeastCost) Pick(candidates []Candidate, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].cost < candidates[best].cost:
			best, ties = i, 1
		case candidates[i].cost == candidates[best].cost:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
