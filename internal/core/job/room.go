package job

import (
	"math"

	"fescuespar/internal/core"
)

// Memory that a decoded job takes, in bytes, by the sizes of its types and of Go's maps.
const (
	ItemBytes  = 1 << 10 // an item without its texts, with room for growing slices
	FieldBytes = 160     // a header field of an item without its texts, in both of its maps
	partBytes  = 64      // a part of a prompt
)

// ItemMemory returns the memory that an item takes, in bytes.
func ItemMemory(item *core.JobItem) int64 {
	size := ItemBytes + len(item.ID) + len(item.Path) + len(item.Group) + len(item.Body) + partBytes*len(item.Parts)
	for name, values := range item.Header {
		size += FieldBytes + len(name) + len(values[0])
	}
	if item.Scorer != nil {
		size += len(item.Scorer.ID) + len(item.Scorer.Host) + len(item.Scorer.Path) + len(item.Scorer.Body)
	}
	return int64(size)
}

// Memory returns the memory that a job takes, in bytes.
func Memory(job *core.Job) int64 {
	size := int64(ItemBytes)
	for i := range job.Items {
		size += ItemMemory(&job.Items[i])
	}
	return size
}

// Shares of a room.
const (
	smallJobShare = 1.0 / 16 // jobs up to this share are small; a usual step takes half of it on the smallest VM
	reservedShare = 1.0 / 8  // left free by other jobs, for small ones
	scarceShare   = 3.0 / 4  // a job up to this share finds room while it is not scarce
)

// Room is the memory that a process has for the jobs that it coordinates. A job takes its
// part before it is read, and keeps it until it is closed. Large jobs leave a part for small
// ones, unless one is alone. The zero value has no bound. It is not safe for concurrent use.
//
// The load is 30 jobs of 6.6 MB at once, beside steps of a trainer of 0.5 MB each, at a
// process with 19 MB for them.
type Room struct {
	total int64 // bytes; zero for no bound
	free  int64
	jobs  map[core.JobID]int64 // bytes held
}

// NewRoom returns a room of the given number of bytes, zero for no bound.
func NewRoom(bytes int64) *Room {
	return &Room{total: bytes, free: bytes, jobs: make(map[core.JobID]int64)}
}

// Reserve takes memory for a job. It returns false if the job does not fit now, and true
// without effect if it has memory already.
func (r *Room) Reserve(id core.JobID, bytes int64) bool {
	if _, known := r.jobs[id]; known || r.total == 0 {
		return true
	}
	if bytes > r.Largest() {
		return false
	}
	r.free -= bytes
	r.jobs[id] = bytes
	return true
}

// Resize sets the memory of a job that has some.
func (r *Room) Resize(id core.JobID, bytes int64) {
	if held, known := r.jobs[id]; known {
		r.free += held - bytes
		r.jobs[id] = bytes
	}
}

// Release returns the memory of a job.
func (r *Room) Release(id core.JobID) {
	r.free += r.jobs[id]
	delete(r.jobs, id)
}

// Largest returns the most bytes that a job may take now. One alone may take any number, so
// that no job waits for room that there will never be.
func (r *Room) Largest() int64 {
	if r.total == 0 || len(r.jobs) == 0 {
		return math.MaxInt64
	}
	small := min(r.free, int64(smallJobShare*float64(r.total)))
	return max(small, r.free-int64(reservedShare*float64(r.total)))
}

// IsScarce reports whether further jobs have to be checked against what is left. Beside
// usual steps it is not, so that these cost no announcement.
func (r *Room) IsScarce() bool { return float64(r.Largest()) < scarceShare*float64(r.total) }
