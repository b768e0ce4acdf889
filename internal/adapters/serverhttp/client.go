// Package serverhttp holds what the adapters for backend servers share: the
// HTTP client, bounded bodies and the mapping from transport failures and
// refusals to error kinds.
package serverhttp

import (
	"net"
	"net/http"
	"time"
)

// Bounds of the connections kept to backend servers.
const (
	idleConnTimeout  = 30 * time.Second // below the servers' own, so that they do not close first
	maxIdlePerServer = 64
	maxHeaderBytes   = 64 << 10
)

// NewClient returns a client that keeps connections, dials within the given
// time, follows no redirect and uses no proxy.
func NewClient(dialTimeout time.Duration) *http.Client {
	return newClient(dialTimeout, false)
}

// NewFreshClient returns a client as NewClient does that opens a connection
// for each request. A server that closes an idle connection cannot make the
// outcome of its requests unknown.
func NewFreshClient(dialTimeout time.Duration) *http.Client {
	return newClient(dialTimeout, true)
}

func newClient(dialTimeout time.Duration, fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
			DisableKeepAlives:      fresh,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
