package tables

import (
	"time"
)

// shortageEnd is the time without a request that found no slot after which a shortage is
// over.
const shortageEnd = 5 * time.Second

// Shortage is a time in which requests of one kind found no free slot.
type Shortage struct {
	Kind     SlotKind
	Since    time.Time
	Slots    int    // of the service's live servers; zero if unknown
	InFlight int    // at the time of the report
	Waiting  int    // at the time of the report
	Short    uint64 // requests that waited or were refused since the report of the begin
}

// Shortages returns the shortages that began and those that ended since the last call.
func (t *Slots) Shortages(now time.Time) (began, ended []Shortage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for kind, row := range t.rows {
		isShort := !row.shortAt.IsZero() && now.Sub(row.shortAt) < shortageEnd
		switch {
		case isShort && row.shortage.Since.IsZero():
			row.shortage = Shortage{Kind: kind, Since: row.shortAt, Short: row.short}
			began = append(began, t.describe(row))
		case !isShort && !row.shortage.Since.IsZero():
			ended = append(ended, t.describe(row))
			row.shortage = Shortage{}
		}
	}
	return began, ended
}

// describe returns a row's reported shortage as of now. The caller holds mu.
func (t *Slots) describe(row *slotRow) Shortage {
	described := row.shortage
	described.Slots = t.services[described.Kind.Service]
	described.InFlight, described.Waiting = row.InFlight(), row.Held()-row.InFlight()
	described.Short = row.short - described.Short
	return described
}
