package rollout

import "math"

// priorSamples is how many finished samples of a group weigh as much as the
// deployment's history when the group's scale is estimated.
const priorSamples = 2.0

// Scale returns by what factor a group's samples are longer than the
// deployment's median length, from the lengths of its finished samples in
// tokens, drawn towards 1 when they are few.
func Scale(median float64, finished []int) float64 {
	if median <= 0 || len(finished) == 0 {
		return 1
	}
	sum := 0.0
	for _, tokens := range finished {
		sum += math.Log(float64(max(tokens, 1)) / median)
	}
	return math.Exp(sum / (float64(len(finished)) + priorSamples))
}

// RemainingTokens predicts quantile q of the tokens that a running sample
// still needs.
func RemainingTokens(history *Sketch, scale float64, tokens, maxTokens int, q float64) float64 {
	most := float64(max(maxTokens-tokens, 0))
	if history.Count() == 0 {
		return most
	}
	left := scale * history.Remaining(float64(tokens)/scale, q)
	return min(left, most)
}
