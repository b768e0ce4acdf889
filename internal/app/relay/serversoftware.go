package relay

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// A server may start again under its id and at its address with other software. Its
// registration, which tells the software, then belongs to another process than the one that
// a request reaches, until it is read again. A connection belongs to one process, and a
// server registers before it accepts connections, so that a registration is that of the
// process behind a connection if it was read after the connection was opened.
//
// While registrations can't be read, a server counts as unchanged unless a connection to it
// broke since the last read: a server that starts again breaks those on which it works.

const (
	// softwareReadTimeout bounds the wait for such a read. It takes 4 ms, and a text that
	// can't be continued for that long starts anew.
	softwareReadTimeout = time.Second
	// softwareReadInterval is the least time between two reads that are made for it.
	softwareReadInterval = 50 * time.Millisecond
	// softwareReadCheck is the interval at which the outcome of a read is looked for.
	softwareReadCheck = 5 * time.Millisecond
)

// softwareState says what is known of the software behind a connection.
type softwareState int

const (
	softwareConfirmed softwareState = iota // the server's process has the software that routing took it to have
	softwareChanged                        // it has other software
	softwareUnread                         // its registration was not found, or could not be read in time
)

// confirmSoftware finds out whether the process behind a connection of the given age has the
// software that the server was chosen for. It waits until the registrations have been read
// after the connection was opened, and runs on a lane.
func (s *Service) confirmSoftware(ctx context.Context, server *core.VM, connectionAge time.Duration) softwareState {
	now := s.ports.Clock.Now()
	opened, giveUp := now.Add(-connectionAge), now.Add(softwareReadTimeout)
	for s.ports.Clock.Now().Before(giveUp) {
		if software, read := s.registry.SoftwareAfter(server.ID, opened); read {
			if software == server.Software {
				return softwareConfirmed
			}
			s.metrics.SoftwareMismatches.Inc(1)
			s.log.Info().Str("server", string(server.ID)).Str("expected", string(server.Software)).Str("found", string(software)).Msg(logs.SoftwareMismatch)
			return softwareChanged
		}
		if s.registry.IsReadAfter(opened) {
			return softwareUnread // its registration is missing, as right after an outage
		}
		if s.registry.IsUnbroken(server.ID) {
			return softwareConfirmed // as far as it can be known in an outage of the store
		}
		s.readServersNow()
		if !commits.Sleep(ctx, softwareReadCheck) {
			break
		}
	}
	return softwareUnread
}

// readServersNow reads the registrations before the next regular read, unless that was done
// a moment ago.
func (s *Service) readServersNow() {
	interval := max(softwareReadInterval, announce.StreamReadInterval(len(s.members.Live()), s.options.StoreReadsPerSecond))
	now, last := s.ports.Clock.Now().UnixNano(), s.lastServerRead.Load()
	if now-last >= int64(interval) && s.lastServerRead.CompareAndSwap(last, now) {
		s.watchServers()
	}
}

// errOtherSoftware is the error of a text that does not go on at a server, because the
// software of its process is another one or not known.
func errOtherSoftware(server *core.VM) error {
	return errkind.New(errkind.Canceled, "%s does not, or may not, run the software %q any more", server.ID, server.Software)
}
