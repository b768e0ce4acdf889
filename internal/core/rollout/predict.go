package rollout

import "math"

// priorSamples is the weight of the deployment's history in the estimate of a
// group's scale, as a number of finished samples.
const priorSamples = 2.0

// Scale estimates the ratio of a group's sample lengths to the deployment's
// median length. It uses the lengths of the group's finished samples in tokens
// and is drawn towards 1 if they are few.
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

// RemainingTokens predicts quantile q of the number of tokens that a running
// sample still has to generate.
func RemainingTokens(history *Sketch, scale float64, tokens, maxTokens int, q float64) float64 {
	maxRemaining := float64(max(maxTokens-tokens, 0))
	if history.Count() == 0 {
		return maxRemaining
	}
	remaining := scale * history.RemainingQuantile(float64(tokens)/scale, q)
	return min(remaining, maxRemaining)
}
