package routing

import "math/rand/v2"

// Picker takes one of the scored candidates. It is called with at least one
// and returns its index.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// LeastCost picks the smallest cost and, of equal ones, any with the same chance.
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
