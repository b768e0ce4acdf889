package clients

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/responsecheck"
	"fescuespar/internal/errkind"
)

// malformedAnswers are answers that no server sends, by what is wrong with them. Each has the
// id of its request.
var malformedAnswers = map[string]string{
	"status":             "HTTP/1.1 000 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name":    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent Length: 2\r\n\r\n{}",
	"control byte":       "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\n{}",
	"coding and version": "HTTP/1.0 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"length and coding":  "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}

// TestMalformedAnswersAreNone guards against a client that takes a malformed answer for the
// answer to its request, or sends the request again because of it.
func TestMalformedAnswersAreNone(t *testing.T) {
	for _, exchange := range append(append(backendExchanges(), serverExchanges()...), platformExchanges()...) {
		for fault, answer := range malformedAnswers {
			for _, isKept := range []bool{false, true} {
				if isKept && exchange.isNew {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/kept=%v", exchange.name, fault, isKept), func(t *testing.T) {
					server := startDyingServer(t, false)
					server.lastWords = answer
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					send := exchange.start(t, server.address())
					if isKept {
						_ = send(ctx) // the server's answer fits no protocol, but its connection is kept
					}
					server.dies.Store(true)
					err := send(ctx)
					want := int64(1)
					if exchange.repeats > 1 {
						want++ // by the detour
					}
					if got := server.received.Load(); got < 1 || got > want {
						t.Errorf("the server received %d copies, want 1 to %d", got, want)
					}
					if !errkind.Is(err, exchange.want) {
						t.Errorf("error %v, want %s", err, exchange.want)
					}
					// A sound answer may fail in the same kind, as it fits no protocol. A peer passes
					// on that the call failed, and not why.
					isThroughPeer := strings.Contains(exchange.name, "through a peer: true")
					if err != nil && !isThroughPeer && !strings.Contains(err.Error(), responsecheck.ErrMalformed.Error()) {
						t.Errorf("error %v, want %v", err, responsecheck.ErrMalformed)
					}
				})
			}
		}
	}
}
