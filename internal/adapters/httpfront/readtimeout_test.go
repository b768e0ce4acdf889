package httpfront_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/core"
)

const (
	arrivalTimeout = 500 * time.Millisecond
	testTimeout    = 20 * time.Second // much longer than arrivalTimeout
)

// sendSlowly sends a request whose body never ends, one byte at a time, and
// returns everything read until the server closes the connection.
func sendSlowly(t *testing.T, server *httptest.Server, c call) string {
	t.Helper()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 4000\r\n\r\n", c.method, c.path, c.token)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		ticker := time.NewTicker(arrivalTimeout / 20)
		defer ticker.Stop()
		for {
			if _, err := io.WriteString(connection, " "); err != nil {
				return
			}
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
	answer, err := io.ReadAll(connection)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%s %s: connection was not closed within %s: %v", c.method, c.path, testTimeout, err)
	}
	return string(answer)
}

// TestSlowBodiesAreTimedOut sends a body that never ends to every route that
// reads a body, with a valid and an invalid token.
func TestSlowBodiesAreTimedOut(t *testing.T) {
	server := (&fakeService{}).start(t)
	routes := append([]endpoint{{role: auth.RoleCaller, method: "POST", path: "/v1/services/coach/calls"}}, endpoints...)
	for _, route := range routes {
		for token, want := range map[string]string{secrets[route.role]: `"kind":"bad_request"`, "none-such-0123456789": `"kind":"unauthenticated"`} {
			t.Run(route.path, func(t *testing.T) {
				t.Parallel()
				answer := sendSlowly(t, server, call{method: route.method, path: route.path, token: token})
				if !strings.Contains(answer, want) || !strings.Contains(answer, `"ran":"not_run"`) {
					t.Errorf("answer %q, want %s and not_run", answer, want)
				}
			})
		}
	}
}

// delayedService returns the rest of its answer only after three times the read
// timeout of a request, unless the request is canceled.
type delayedService struct{ fakeService }

func (s *delayedService) ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error) {
	if offset > 0 {
		select {
		case <-ctx.Done():
			return core.AnswerPart{}, ctx.Err()
		case <-time.After(3 * arrivalTimeout):
		}
	}
	return s.fakeService.ReadAnswer(ctx, caller, id, offset)
}

func TestReadTimeoutDoesNotLimitAnswers(t *testing.T) {
	s := &delayedService{fakeService{parts: twoParts}}
	server := serve(t, s)
	c := call{method: "POST", path: "/v1/completions", token: secrets[auth.RoleCaller],
		body: `{"model":"coach","prompt":"p","stream":true}`, header: map[string]string{"X-Request-Id": "r"}}
	for range 2 {
		response, body, err := c.send(t, server)
		if err != nil || response.StatusCode != 200 || !strings.HasSuffix(strings.TrimSpace(string(body)), doneEvent) {
			t.Errorf("%v, %v, body %s", response, err, body)
		}
	}
}
