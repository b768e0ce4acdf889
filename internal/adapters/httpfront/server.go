package httpfront

import (
	"net/http"
	"time"
)

const (
	headerTimeout = 10 * time.Second // to read the headers of a request
	idleTimeout   = 2 * time.Minute  // for a connection between requests
)

// ServerLimits limit the size and duration of reading one request.
type ServerLimits struct {
	MaxHeaderBytes int
	// ReadTimeout is the longest time from the start of a request to the end of
	// its body; its headers must arrive within 10 s. If it is exceeded, the
	// connection is closed. It does not limit the time to answer.
	ReadTimeout time.Duration
}

// NewServer returns an HTTP server for the front ends with their timeouts.
func NewServer(handler http.Handler, limits ServerLimits) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: limits.ReadTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
	}
}
