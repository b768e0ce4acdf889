package main

// leader returns the relay that last wrote to the store under a condition, of those that are
// not left out.
func (s *site) leader(without map[*relay]bool) *relay {
	var last *relay
	for _, r := range s.relays {
		if !without[r] && r.gate.conditional.Load() > 0 && (last == nil || r.gate.conditional.Load() > last.gate.conditional.Load()) {
			last = r
		}
	}
	return last
}
