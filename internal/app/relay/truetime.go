package relay

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/logs"
)

// maxReadingTime is the longest time between two readings of the process's clock around
// one of the time of day. A thread that was not running in between gives a wrong offset.
const maxReadingTime = time.Millisecond

// readingAttempts bounds the readings of the time of day for one announcement.
const readingAttempts = 4

// ObserveStoreTime takes a reading of the clock of the platform's store.
func (s *Service) ObserveStoreTime(reading core.StoreTime) { s.duties.trueTime.ObserveStore(reading) }

// readTimeOfDay compares the VM's time of day with the process's clock.
func (s *Service) readTimeOfDay() {
	for range readingAttempts {
		before := s.ports.Clock.Now()
		timeOfDay := s.ports.TimeOfDay.TimeOfDay()
		after := s.ports.Clock.Now()
		if took := after.Sub(before); took <= maxReadingTime {
			jumped, hadJumped := s.duties.trueTime.ObserveTimeOfDay(before.Add(took/2), timeOfDay)
			if jumped != hadJumped {
				s.log.Warn().Bool("followed", !jumped).Time("time_of_day", timeOfDay).Msg(logs.TimeOfDayJumped)
			}
			return
		}
	}
}

// announcedUsage returns the part of an announcement that serves reports of usage, nil if
// usage is not reported.
func (s *Service) announcedUsage() *core.MemberUsage {
	if s.duties.counts == nil {
		return nil
	}
	s.readTimeOfDay()
	now := s.ports.Clock.Now()
	announced := new(core.MemberUsage)
	if offset, known := s.duties.trueTime.Measured(now); known {
		announced.ClockOffset = offset
	}
	if trueTime, known := s.duties.trueTime.Conversion(now); known {
		announced.CountedThrough = s.duties.counts.CountedThrough(now, trueTime)
	}
	return announced
}

// applyClockOffsets takes the clock offsets that other processes have published.
func (s *Service) applyClockOffsets() {
	if s.duties.counts == nil {
		return
	}
	offsets, processes := s.members.ClockOffsets(s.options.Self.VM)
	s.duties.trueTime.SetOthers(offsets, processes, s.ports.Clock.Now())
}
