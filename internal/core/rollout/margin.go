package rollout

const (
	// wasteTarget is the share of samples that may turn out too old before
	// fewer groups are kept open.
	wasteTarget = 0.02
	// marginGrowth and marginDecay change the margin after a step, in versions.
	marginGrowth = 0.25
	marginDecay  = 0.02
)

// Margin is the part of the staleness bound that is not planned with. It grows
// while more samples than wasteTarget turn out too old, since those are mostly
// long ones, and shrinks slowly otherwise. The zero value plans with all of it.
type Margin struct {
	versions float64
	ended    int
	tooOld   int
}

// Ended counts samples that finished or were given up.
func (m *Margin) Ended(count int) { m.ended += count }

// TooOld counts samples that turned out too old.
func (m *Margin) TooOld(count int) { m.tooOld += count }

// Next adjusts the margin at the end of a step.
func (m *Margin) Next(bound uint64) {
	if float64(m.tooOld) > wasteTarget*float64(m.ended) {
		m.versions = min(m.versions+marginGrowth, float64(bound))
	} else {
		m.versions = max(m.versions-marginDecay, 0)
	}
	m.ended, m.tooOld = 0, 0
}
