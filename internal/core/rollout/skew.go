package rollout

// Skew compares the lengths of samples that were delivered with those of all
// samples that were started and whose length is known or bounded from below:
// a cancelled sample counts with the tokens that it had.
type Skew struct {
	startedTokens, deliveredTokens float64
	started, delivered             int
}

// Ended takes in a sample that finished or was cancelled.
func (s *Skew) Ended(tokens int) {
	s.started++
	s.startedTokens += float64(tokens)
}

// Delivered takes in a delivered sample.
func (s *Skew) Delivered(tokens int) {
	s.delivered++
	s.deliveredTokens += float64(tokens)
}

// Ratio returns the mean length delivered divided by the mean length started,
// or 1 while nothing was delivered. Below 1, what is trained on is too short.
func (s *Skew) Ratio() float64 {
	if s.delivered == 0 || s.startedTokens == 0 {
		return 1
	}
	return s.deliveredTokens / float64(s.delivered) / (s.startedTokens / float64(s.started))
}
