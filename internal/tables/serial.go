package tables

import "fescuespar/internal/lockrank"

// Serial runs updates that read one table and write another one at a time. Without it,
// a slower update could overwrite the result of a newer one.
type Serial struct {
	// mu guards no data; its holder is the only one that runs an update.
	mu lockrank.Mutex
}

// NewSerial returns a Serial with the given lock rank, which must be below those of
// the tables that the updates use.
func NewSerial(rank lockrank.Rank) *Serial { return &Serial{mu: lockrank.New(rank)} }

// Do runs one update. It must do no I/O.
func (s *Serial) Do(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
}
