package httpfront

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
)

const (
	headerTimeout = 10 * time.Second // to read the headers of a request
	idleTimeout   = 2 * time.Minute  // for a connection between requests
)

// ServerLimits limit what clients may send and make the process hold.
type ServerLimits struct {
	MaxHeaderBytes int
	// ReadTimeout is the longest time in which a request's body may arrive; a client
	// that sends steadily gets more. Its headers must arrive within 10 s. If it is
	// exceeded, the connection is closed. It does not limit the time to answer.
	ReadTimeout    time.Duration
	MaxConnections int
	Memory         *memorybudget.Budget  // for requests and for answers that are not read yet
	Count          func(httpguard.Event) // called for each client outside the limits; may be nil
	Log            zerolog.Logger
}

// NewServer returns an HTTP server for the front ends that is protected against clients
// outside the limits.
func NewServer(handler http.Handler, limits ServerLimits) *httpguard.Server {
	inForce := core.CallerLimits{HeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return httpguard.New(httpguard.Options{
		Name: "callers", MaxConnections: limits.MaxConnections, Memory: limits.Memory, BodyTime: limits.ReadTimeout,
		Limits: func() core.CallerLimits { return inForce }, Count: limits.Count, Log: limits.Log,
	}).NewServer(handler)
}
