package httpfront_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// endpoint is one route that reads a body.
type endpoint struct {
	role               auth.Role
	method, path, body string
	unknown            call // the same call for an unknown deployment; no path if the route has none
}

var endpoints = []endpoint{
	{auth.RoleCaller, "POST", "/v1/completions", `{"model":"coach","prompt":"p"}`,
		call{path: "/v1/completions", body: `{"model":"other","prompt":"p"}`}},
	{auth.RoleCaller, "POST", "/v1/chat/completions", `{"model":"coach","messages":[{"role":"user","content":"p"}]}`,
		call{path: "/v1/chat/completions", body: `{"model":"other","messages":[{"role":"user","content":"p"}]}`}},
	{auth.RoleTrainer, "POST", "/v1/trainers/coach/weights", `{"version":1}`,
		call{path: "/v1/trainers/other/weights", body: `{"version":1}`}},
	{auth.RoleTrainer, "POST", "/v1/trainers/coach/batch", `{"step":1,"weight_version":1}`,
		call{path: "/v1/trainers/other/batch", body: `{"step":1,"weight_version":1}`}},
	{auth.RoleOperator, "POST", "/v1/configuration", `{"base":0,"operator":"me","deployments":[]}`, call{}},
}

// errorCase is a request with one mistake and the error kind of its answer.
type errorCase struct {
	name string
	call call
	kind errkind.Kind
}

// errorCases returns the invalid requests to one endpoint.
func errorCases(e endpoint) []errorCase {
	token := secrets[e.role]
	other := secrets[auth.RoleOperator]
	if e.role == auth.RoleOperator {
		other = secrets[auth.RoleCaller]
	}
	with := func(change func(*call)) call {
		c := call{method: e.method, path: e.path, token: token, body: e.body}
		change(&c)
		return c
	}
	list := []errorCase{
		{"oversize body", with(func(c *call) { c.body = `{"x":"` + strings.Repeat("y", bodyLimit) + `"}` }), errkind.TooLarge},
		{"oversize space", with(func(c *call) { c.body = e.body + strings.Repeat(" ", bodyLimit) }), errkind.TooLarge},
		{"malformed body", with(func(c *call) { c.body = `{"x"` }), errkind.BadRequest},
		{"empty body", with(func(c *call) { c.body = "" }), errkind.BadRequest},
		{"wrong type", with(func(c *call) { c.body = `[1]` }), errkind.BadRequest},
		{"unknown field", with(func(c *call) { c.body = `{"surprise":1,` + e.body[1:] }), errkind.BadRequest},
		{"second value", with(func(c *call) { c.body += "{}" }), errkind.BadRequest},
		{"no token", with(func(c *call) { c.token = "" }), errkind.Unauthenticated},
		{"wrong token", with(func(c *call) { c.token = token + "x" }), errkind.Unauthenticated},
		{"wrong role", with(func(c *call) { c.token = other }), errkind.Forbidden},
		{"bad request id", with(func(c *call) { c.header = map[string]string{"X-Request-Id": "a/b"} }), errkind.BadRequest},
		{"long request id", with(func(c *call) { c.header = map[string]string{"X-Request-Id": strings.Repeat("a", 129)} }), errkind.BadRequest},
		{"wrong method", with(func(c *call) { c.method = "DELETE" }), errkind.MethodNotAllowed},
		{"unknown path", with(func(c *call) { c.path += "/more" }), errkind.NotFound},
	}
	if e.unknown.path != "" {
		list = append(list, errorCase{"unknown deployment",
			with(func(c *call) { c.path, c.body = e.unknown.path, e.unknown.body }), errkind.UnknownDeployment})
	}
	return list
}

// callerErrorCases returns invalid requests to the routes of callers.
func callerErrorCases() []errorCase {
	token := secrets[auth.RoleCaller]
	complete := func(header, value, body string) call {
		return call{method: "POST", path: "/v1/completions", token: token, body: body, header: map[string]string{header: value}}
	}
	pass := func(method, path string) call {
		return call{method: method, path: "/v1/services/" + path, token: token}
	}
	fetch := func(id, event string) call {
		return call{method: "GET", path: "/v1/requests/" + id, token: token, header: map[string]string{"Last-Event-ID": event}}
	}
	list := []errorCase{
		{"chat body for a completion", complete("Accept", "*/*", `{"model":"coach","messages":[]}`), errkind.BadRequest},
		{"negative max_tokens", complete("Accept", "*/*", `{"model":"coach","prompt":"p","max_tokens":-1}`), errkind.BadRequest},
		{"too many max_tokens", complete("Accept", "*/*", `{"model":"coach","prompt":"p","max_tokens":65537}`), errkind.BadRequest},
		{"bad id in the path", fetch("a%20b", ""), errkind.BadRequest},
		{"unknown request", fetch("none", ""), errkind.UnknownRequest},
		{"unknown deployment of a service", pass("POST", "other/x"), errkind.UnknownDeployment},
		{"method that does not pass", pass("TRACE", "coach/x"), errkind.MethodNotAllowed},
		{"oversize call", call{method: "PUT", path: "/v1/services/coach/x", token: token, body: strings.Repeat("y", bodyLimit+1)}, errkind.TooLarge},
		{"call with a wrong role", call{method: "PUT", path: "/v1/services/coach/x", token: secrets[auth.RoleTrainer]}, errkind.Forbidden},
	}
	for _, event := range []string{"x", "1", "1@s", "-1@s#a", "1@#a", "1@s#", "1@s#a/b", "65537@s#a", "9999999999999999999@s#a"} {
		list = append(list, errorCase{"event id " + event, fetch("known", event), errkind.BadRequest},
			errorCase{"event id of a POST " + event, complete("Last-Event-ID", event, `{"model":"coach","prompt":"p"}`), errkind.BadRequest})
	}
	for _, path := range []string{"coach/a%2Fb", "coach/%61", "coach//a", "coach/./a", "coach/b/../a", "coach/a%00"} {
		list = append(list, errorCase{"path " + path, pass("POST", path), errkind.BadRequest})
	}
	for _, key := range []string{strings.Repeat("k", 201), "cl\u00e9", "a\tb"} {
		c := pass("POST", "coach/x")
		c.header = map[string]string{"Idempotency-Key": key}
		list = append(list, errorCase{"idempotency key " + key, c, errkind.BadRequest})
	}
	return list
}

// TestInvalidRequestsAreRejected sends requests with one mistake each to every
// interface and checks that none reaches the service.
func TestInvalidRequestsAreRejected(t *testing.T) {
	list := callerErrorCases()
	for _, e := range endpoints {
		for _, r := range errorCases(e) {
			r.name = e.path + " " + r.name
			list = append(list, r)
		}
	}
	s := &fakeService{}
	server := s.start(t)
	for _, r := range list {
		t.Run(r.name, func(t *testing.T) {
			response, body, err := r.call.send(t, server)
			if err != nil {
				t.Fatal(err)
			}
			checkErrorAnswer(t, response, body, r.kind)
		})
	}
	if calls := s.calls.Load(); calls != 0 {
		t.Errorf("%d of %d invalid requests reached the service", calls, len(list))
	}
}

// checkErrorAnswer checks an answer against the one that errkind defines for the
// kind.
func checkErrorAnswer(t *testing.T, response *http.Response, body []byte, kind errkind.Kind) {
	t.Helper()
	var got httpfront.ErrorBody
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatalf("status %d, body %q: %v", response.StatusCode, body, err)
	}
	want := errkind.AnswerTo(errkind.New(kind, ""))
	if got.Error.Kind != kind || response.StatusCode != want.Status || got.Error.Ran != want.Execution || got.Error.Retryable != want.Retryable {
		t.Errorf("status %d, error %+v; want kind %s with %+v", response.StatusCode, got.Error, kind, want)
	}
	if id := response.Header.Get("X-Request-Id"); id == "" || id != got.RequestID {
		t.Errorf("request id %q in the header, %q in the body", id, got.RequestID)
	}
	if retry := response.Header.Get("Retry-After") != ""; retry != want.Retryable {
		t.Errorf("Retry-After is set: %t, want %t", retry, want.Retryable)
	}
	if challenge := response.Header.Get("WWW-Authenticate") != ""; challenge != (kind == errkind.Unauthenticated) {
		t.Errorf("WWW-Authenticate is set: %t for kind %s", challenge, kind)
	}
}

// TestTruncatedBodyIsRejected sends bodies shorter than their Content-Length.
func TestTruncatedBodyIsRejected(t *testing.T) {
	s := &fakeService{}
	server := s.start(t)
	for _, e := range endpoints {
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			e.method, e.path, secrets[e.role], len(e.body)+1, e.body)
		_ = connection.(*net.TCPConn).CloseWrite()
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: status %d, want %d", e.path, response.StatusCode, http.StatusBadRequest)
		}
		connection.Close()
	}
	if calls := s.calls.Load(); calls != 0 {
		t.Errorf("%d truncated requests reached the service", calls)
	}
}

func TestValidRequestsReachTheService(t *testing.T) {
	s := &fakeService{}
	server := s.start(t)
	for i, e := range endpoints {
		c := call{method: e.method, path: e.path, token: secrets[e.role], body: e.body, header: map[string]string{"X-Request-Id": "r-1"}}
		response, body, err := c.send(t, server)
		if err != nil || response.StatusCode != http.StatusOK || response.Header.Get("X-Request-Id") != "r-1" || s.calls.Load() != int64(i+1) {
			t.Errorf("%s: %v, %v, body %s, %d calls", e.path, response, err, body, s.calls.Load())
		}
	}
}

func TestPlainCallsAreForwardedUnchanged(t *testing.T) {
	tests := []struct {
		method, path string
		answer       core.PlainResponse
	}{
		{"GET", "/books/", core.PlainResponse{Status: 200, Body: []byte("b"), Header: map[string]string{"Content-Type": "text/x"}}},
		{"HEAD", "/books", core.PlainResponse{Status: 200}},
		{"OPTIONS", "/books", core.PlainResponse{Status: 204}},
		{"POST", "/a%20b?q=1%2F2&q=3", core.PlainResponse{Status: 201, Body: []byte("{}")}},
		{"GET", "/none", core.PlainResponse{Status: 404}},
		{"GET", "/none", core.PlainResponse{Status: 404, Body: []byte("nothing here")}},
		{"PUT", "/none", core.PlainResponse{Status: 405}},
		{"DELETE", "/down", core.PlainResponse{Status: 503, Body: []byte("down")}},
	}
	for _, test := range tests {
		s := &fakeService{plainResponse: test.answer}
		c := call{method: test.method, path: "/v1/services/coach" + test.path, token: secrets[auth.RoleCaller],
			header: map[string]string{"Accept-Language": "fr", "Cookie": "c=1", "Idempotency-Key": "k"}}
		response, body, err := c.send(t, s.start(t))
		if err != nil || response.StatusCode != test.answer.Status || string(body) != string(test.answer.Body) {
			t.Errorf("%s %s: %v, %v, body %q", test.method, test.path, response, err, body)
			continue
		}
		if kind := test.answer.Header["Content-Type"]; kind != "" && response.Header.Get("Content-Type") != kind {
			t.Errorf("%s %s: content type %q", test.method, test.path, response.Header.Get("Content-Type"))
		}
		got := s.lastRequest
		if got.Path != test.path || got.Method != test.method || got.Key != "k" || got.Header["Accept-Language"] != "fr" {
			t.Errorf("%s %s: service received %+v", test.method, test.path, got)
		}
		for name := range got.Header {
			if name == "Cookie" || name == "Authorization" {
				t.Errorf("%s %s: header %s was forwarded", test.method, test.path, name)
			}
		}
	}
}

func TestPanicIsAnsweredWithInternalError(t *testing.T) {
	s := &fakeService{panicValue: "secret detail"}
	response, body, err := call{method: "GET", path: "/v1/status", token: secrets[auth.RoleOperator]}.send(t, s.start(t))
	if err != nil {
		t.Fatal(err)
	}
	checkErrorAnswer(t, response, body, errkind.Internal)
	if strings.Contains(string(body), "secret detail") {
		t.Errorf("answer contains the panic's value: %s", body)
	}
}
