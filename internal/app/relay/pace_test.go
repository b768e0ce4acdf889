package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/pace"
)

// TestColdServerIsPaced guards against a server that gets all its work while its
// registration says that it is slow, and against a pace that does not end.
func TestColdServerIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEnvironment(t)
		for i := range s.servers {
			if s.servers[i].VM.ID == "desk-0" {
				s.servers[i].ColdFor = 3 * time.Second
			}
		}
		service := s.waitReady(s.start("vm-1"))
		paced := func() (ids []core.ServerID) {
			for _, view := range service.servers.Views() {
				if view.Paced == pace.Cold {
					ids = append(ids, view.VM.ID)
				}
			}
			return ids
		}
		time.Sleep(2 * time.Second)
		if got := paced(); len(got) != 1 || got[0] != "desk-0" || service.Metrics().ServersPaced.Value() != 1 {
			t.Errorf("servers %v are paced, want desk-0", got)
		}
		time.Sleep(6 * time.Second)
		if got := paced(); len(got) > 0 || service.Metrics().ServersPaced.Value() != 0 {
			t.Errorf("servers %v are paced long after the cold time", got)
		}
	})
}
