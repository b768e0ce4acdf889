package admission

// Share of a process's memory and descriptors for the requests that it holds.
const (
	heldMemoryShare     = 0.2 // bodies have budgets of their own
	heldDescriptorShare = 0.5 // the rest is for idle connections, the platform and other processes
	// fileDescriptors is the number of descriptors that the platform counts for files.
	fileDescriptors = 200
	// descriptorsPerRequest are the connections to the caller and to the backend server.
	descriptorsPerRequest = 2
	// memoryPerRequest is the memory of one request in flight without its bodies, in
	// bytes. A process with 80 and with 320 streams held 120 kB for each.
	memoryPerRequest = 128 << 10
	// minCapacity lets a process of little memory serve at all.
	minCapacity = 64
	// maxHeldPerFree is the most requests that those of one kind may hold, as a multiple
	// of what all leave free. Kinds that grow without end so share the capacity evenly,
	// one alone takes four fifths of it, and another one still finds room.
	maxHeldPerFree = 4
)

// Capacity returns the number of requests that a process may hold, in flight and waiting,
// from the memory in bytes and the descriptors that it may use. Zero descriptors mean no
// limit.
func Capacity(memory int64, descriptors int) int {
	capacity := int(heldMemoryShare * float64(memory) / memoryPerRequest)
	if descriptors > 0 {
		capacity = min(capacity, int(heldDescriptorShare*float64(descriptors-fileDescriptors))/descriptorsPerRequest)
	}
	return max(minCapacity, capacity)
}

// MayHold reports whether one more request of a kind may be held, when so many of that
// kind and of all kinds are.
func MayHold(ofKind, total, capacity int) bool {
	return ofKind < maxHeldPerFree*(capacity-total)
}
