package relay

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// maxJobMemory bounds what a coordinator needs to read a job, which it may have to do alone:
// a body of the largest size, and twice as much for what is decoded from it.
const maxJobMemory = 3 * maxJobBytes

// jobMemory returns the bytes that a coordinator needs to read a job: its stored body and
// the job that is decoded from it.
func jobMemory(submitted *core.Job, body []byte) int64 {
	return job.Memory(submitted) + int64(len(body))
}

// memoryToRead returns the bytes that a coordinator needs to read the job of a row.
func memoryToRead(record *core.JobRecord) int64 {
	if record.Memory == 0 { // of an older release
		return 2 * maxJobBytes
	}
	return record.Memory
}

// jobRooms returns the memory that this process has left for one more job, for each service
// that it coordinates, and none while it is not scarce.
func (s *Service) jobRooms() []core.JobRoom {
	free, isScarce := s.jobStorage.FreeMemory()
	if !isScarce {
		return nil
	}
	var rooms []core.JobRoom
	for _, service := range s.coordinatedServices() {
		if _, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now()); held {
			rooms = append(rooms, core.JobRoom{Service: service, Bytes: free})
		}
	}
	return rooms
}

// checkJobMemory checks that the coordinator of a service has the memory for a job. A job
// that was submitted before is accepted again whatever there is. Errors: TooLarge for a job
// that no coordinator has memory for, Overloaded for one that doesn't fit beside the others.
func (s *Service) checkJobMemory(ctx context.Context, submitted *core.Job, record *core.JobRecord) error {
	if record.Memory > maxJobMemory {
		return errkind.New(errkind.TooLarge, "job of %d bytes in memory, at most %d are allowed", record.Memory, int64(maxJobMemory))
	}
	free, isScarce := s.members.JobRoom(record.Service)
	if _, held := s.leases.Holding(coordinatorLease(record.Service), s.ports.Clock.Now()); held {
		free, isScarce = s.jobStorage.FreeMemory()
	}
	if !isScarce || record.Memory <= free {
		return nil
	}
	rows, err := s.committer.Read(ctx, jobKey(submitted.ID))
	if err != nil || rows[0].Record != nil {
		return err
	}
	return errkind.New(errkind.Overloaded, "the coordinator of %s has %d bytes left for a job, %d are needed", record.Service, free, record.Memory)
}

// reserveForRead takes the memory to read and open the job of a row. It returns false if it
// does not fit beside the others that are open.
func (s *Service) reserveForRead(id core.JobID, record *core.JobRecord) bool {
	fits := s.jobStorage.ReserveMemory(id, memoryToRead(record))
	if !fits {
		s.metrics.JobsHeldBack.Inc(1)
		s.waitingJobLog.Info().Str("job", string(id)).Int64("bytes", memoryToRead(record)).Msg(logs.JobHeldBack)
	}
	return fits
}
