package rollout

const (
	// maxTooOldShare is the share of samples that may become too old before the
	// margin grows and fewer groups are kept open.
	maxTooOldShare = 0.02
	// marginGrowth and marginDecay are the changes of the margin after a step,
	// in versions.
	marginGrowth = 0.25
	marginDecay  = 0.02
)

// StalenessMargin is the part of the staleness bound that planning leaves
// unused. It grows while more samples than maxTooOldShare become too old, since
// those are mostly long ones, and shrinks slowly otherwise. The zero value
// leaves nothing unused.
type StalenessMargin struct {
	versions    float64
	endedCount  int
	tooOldCount int
}

// AddEnded counts samples that finished or were cancelled.
func (m *StalenessMargin) AddEnded(count int) { m.endedCount += count }

// AddTooOld counts samples that became too old.
func (m *StalenessMargin) AddTooOld(count int) { m.tooOldCount += count }

// Adjust changes the margin after a step, to at most bound, and resets the
// counts.
func (m *StalenessMargin) Adjust(bound uint64) {
	if float64(m.tooOldCount) > maxTooOldShare*float64(m.endedCount) {
		m.versions = min(m.versions+marginGrowth, float64(bound))
	} else {
		m.versions = max(m.versions-marginDecay, 0)
	}
	m.endedCount, m.tooOldCount = 0, 0
}
