package httpfront

import (
	"net/http"
	"time"
)

const (
	headerTimeout = 10 * time.Second // to read a request's headers
	idleTimeout   = 2 * time.Minute  // of connections between requests
)

// ServerLimits bound what a server reads of one request.
type ServerLimits struct {
	HeaderBytes int
	// Arrival is the longest time from a request's start to its body's end; its
	// headers have ten seconds of it at most. The connection of a later body is
	// closed. The answer may take longer.
	Arrival time.Duration
}

// NewServer returns a server for the front ends.
func NewServer(handler http.Handler, limits ServerLimits) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: limits.Arrival,
		IdleTimeout: idleTimeout, MaxHeaderBytes: limits.HeaderBytes,
	}
}
