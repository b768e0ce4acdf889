package core

// SoftwareRecord is the row of a service that tells which software version began its
// streams that have no row of their own.
type SoftwareRecord struct {
	Base  SoftwareVersion
	Mixed bool // streams of other versions have begun, and have rows
}

// StreamRecord is the row of a caller's stream of which the service's SoftwareRecord does
// not tell the version, by the attempt that began it.
type StreamRecord struct {
	Service  string
	Software SoftwareVersion // empty if the server's registration did not name it
}

func (SoftwareRecord) isRecord() {}
func (StreamRecord) isRecord()   {}
