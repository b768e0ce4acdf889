package routing

// smallBody is the size of a request's body, in bytes, up to which it goes to any server.
// As many such requests as a server takes need less memory than one large one.
const smallBody = 64 << 10

// BytesFilter keeps large requests from servers to which this process is sending as many
// bytes as they bear. A server to which it sends none takes a request of any size.
//
// Load pattern: a few callers send bodies of many megabytes at the same time, and a server
// crashes when the requests that it holds exceed its memory.
type BytesFilter struct {
	PerSlot int // bytes that a server bears for each of its slots; zero for no bound
}

// Accepts implements Filter.
func (f BytesFilter) Accepts(candidate *Candidate, query *Query) bool {
	if f.PerSlot == 0 || query.BodyBytes <= smallBody || candidate.BytesInFlight == 0 {
		return true
	}
	return candidate.BytesInFlight+query.BodyBytes <= f.PerSlot*max(1, candidate.VM.Slots)
}
