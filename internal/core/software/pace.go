package software

import "time"

// readBurst is the time of which a process may make its reads at once after a pause. All
// processes together then make half a second's reads of the table service at once.
const readBurst = 2 * time.Second

// ReadPace keeps a process's reads for streams that callers resume within its share. It is
// not safe for concurrent use.
//
// The load is all processes killed at once, upon which callers resume all streams.
type ReadPace struct {
	next time.Time // when the next read may begin, without the burst
}

// Reserve returns how long a read waits, so that reads are an interval apart but for a burst
// after a pause.
func (p *ReadPace) Reserve(now time.Time, interval time.Duration) time.Duration {
	if earliest := now.Add(-readBurst); p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(interval)
	return max(0, p.next.Sub(now))
}
