package connection

// Reserves and shares of a process's descriptors and memory.
const (
	fileDescriptors = 200      // reserved for files by the platform's settings
	minSockets      = 64       // used even if the settings leave fewer
	bytesPerClient  = 40 << 10 // buffers and goroutines of one connection with a request in service
	monitoring      = 16       // connections of the readiness check and of the metrics, each
	peers           = 64       // incoming connections of other processes; ten times what a third of 610 processes open when they are cut off from the store
)

// Bounds are the largest numbers of connections that clients may open.
type Bounds struct {
	Callers    int
	Directory  int
	Monitoring int // of the readiness check and of the metrics, each
	Peers      int // of other processes
}

// BoundsFor returns the bounds of a process with the given memory, in bytes, and number
// of descriptors. Callers get half of the sockets, the directory an eighth; the rest is
// for backend servers, store and peers. Both together may use an eighth of the memory.
func BoundsFor(memory int64, descriptors int) Bounds {
	sockets := max(descriptors-fileDescriptors, minSockets)
	clients := int(memory / 8 / bytesPerClient)
	return Bounds{
		Callers:    min(sockets/2, clients*5/6),
		Directory:  min(sockets/8, clients/6),
		Monitoring: monitoring, Peers: peers,
	}
}
