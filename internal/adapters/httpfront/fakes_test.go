package httpfront_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/callerhttp"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/adapters/operatorhttp"
	"fescuespar/internal/adapters/trainerhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
)

// Names and limits used by the tests of the front ends.
const (
	bodyLimit          = 4096 // bytes
	knownDeployment    = "coach"
	generatedRequestID = "new-id"
)

// secrets holds the bearer token of each role.
var secrets = map[auth.Role]string{
	auth.RoleCaller:   "caller-secret-0123456789",
	auth.RoleTrainer:  "trainer-secret-0123456789",
	auth.RoleOperator: "operator-secret-0123456789",
}

// fakeService implements the three ports that the front ends call. It counts the
// calls that could change state and answers from its fields, which are set before
// it serves.
type fakeService struct {
	calls         atomic.Int64
	parts         []core.AnswerPart // parts of every answer, in order
	partsError    error             // error after the parts; nil for a complete answer
	plainResponse core.PlainResponse
	lastRequest   core.PlainRequest // last request to a plain service
	panicValue    any               // value with which Status panics; nil for no panic
	operator      string            // operator of the last publish
}

func (s *fakeService) NewRequestID() core.RequestID { return generatedRequestID }

func (s *fakeService) check(deployment core.DeploymentName) error {
	if deployment != knownDeployment {
		return errkind.New(errkind.UnknownDeployment, "no deployment is named %q", deployment)
	}
	s.calls.Add(1)
	return nil
}

func (s *fakeService) Complete(_ context.Context, request core.CompletionRequest, _ *core.ResumePoint) error {
	return s.check(request.Deployment)
}

func (s *fakeService) ReadAnswer(_ context.Context, _ core.CallerName, _ core.RequestID, offset int) (core.AnswerPart, error) {
	at := 0
	for _, part := range s.parts {
		for _, chunk := range part.Chunks {
			at += len(chunk.Tokens)
		}
		if at > offset {
			return part, nil
		}
	}
	if s.partsError != nil {
		return core.AnswerPart{}, s.partsError
	}
	end := core.AnswerPart{Found: true, Finish: core.FinishStop}
	if len(s.parts) > 0 {
		end.Source = s.parts[len(s.parts)-1].Source
	}
	return end, nil
}

func (s *fakeService) FindAnswer(_ context.Context, _ core.CallerName, id core.RequestID, _ *core.ResumePoint) error {
	if id != "known" {
		return errkind.New(errkind.UnknownRequest, "no answer is stored for request %s", id)
	}
	return nil
}

func (s *fakeService) Call(_ context.Context, request core.PlainRequest) (core.PlainResponse, error) {
	if err := s.check(request.Deployment); err != nil {
		return core.PlainResponse{}, err
	}
	s.lastRequest = request
	return s.plainResponse, nil
}

func (s *fakeService) Addresses(core.CallerName) core.AddressList { return core.AddressList{} }

func (s *fakeService) PublishWeights(_ context.Context, _ core.CallerName, name core.DeploymentName, _ core.WeightVersion) error {
	return s.check(name)
}

func (s *fakeService) Batch(_ context.Context, _ core.CallerName, request core.BatchRequest) (core.Batch, error) {
	return core.Batch{}, s.check(request.Deployment)
}

func (s *fakeService) Configuration() *core.Configuration { return &core.Configuration{} }

func (s *fakeService) Publish(_ context.Context, operator string, _ core.Generation, _ []core.Deployment) (core.Generation, error) {
	s.calls.Add(1)
	s.operator = operator
	return 1, nil
}

func (s *fakeService) Status() core.Status {
	if s.panicValue != nil {
		panic(s.panicValue)
	}
	return core.Status{}
}

func (s *fakeService) State() any { return struct{}{} }

// start serves the three front ends with the fake.
func (s *fakeService) start(t *testing.T) *httptest.Server { return serve(t, s) }

// pausingService returns the first part of an answer and then waits or panics.
type pausingService struct {
	fakeService
	resume chan struct{} // ReadAnswer waits after the first part until it is closed
	panics bool          // panic after the first part
}

func (s *pausingService) ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error) {
	switch {
	case offset > 0 && s.panics:
		panic("injected panic")
	case offset > 0:
		<-s.resume
	}
	return s.fakeService.ReadAnswer(ctx, caller, id, offset)
}

func (s *pausingService) start(t *testing.T) *httptest.Server { return serve(t, s) }

// drivingPorts combines the ports that the front ends call.
type drivingPorts interface {
	ports.Callers
	ports.Trainers
	ports.Operators
}

func serve(t *testing.T, s drivingPorts) *httptest.Server {
	t.Helper()
	server, _ := serveWith(t, s, 64<<20)
	return server
}

// serveWith starts a server with the given memory for requests, in bytes.
func serveWith(t *testing.T, s drivingPorts, bytes int64) (*httptest.Server, *memorybudget.Budget) {
	t.Helper()
	memory := memorybudget.New(bytes)
	server := httptest.NewUnstartedServer(nil)
	guarded := httpfront.NewServer(buildHandler(t, newFront(s)), httpfront.ServerLimits{
		MaxHeaderBytes: 64 << 10, ReadTimeout: arrivalTimeout, MaxConnections: 256, Memory: memory,
	})
	server.Config, server.Listener = guarded.Server, guarded.Guard.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server, memory
}

func newFront(s drivingPorts) *httpfront.Front {
	var tokens []auth.Token
	for role, secret := range secrets {
		tokens = append(tokens, auth.Token{Identity: auth.Identity{Role: role, Name: string(role)}, Secret: secret})
	}
	front := httpfront.New(httpfront.Options{Tokens: auth.New(tokens), BodyLimit: bodyLimit, NewRequestID: s.NewRequestID})
	callerhttp.Register(front, s)
	trainerhttp.Register(front, s)
	operatorhttp.Register(front, s, metrics.New().Values)
	return front
}

func buildHandler(t *testing.T, front *httpfront.Front) http.Handler {
	t.Helper()
	built, err := front.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// call is one HTTP request of a test.
type call struct {
	method, path, token, body string
	header                    map[string]string
}

// send sends the request and returns the answer and its body. It returns an error
// when the connection is aborted within the body.
func (c call) send(t *testing.T, server *httptest.Server) (*http.Response, []byte, error) {
	t.Helper()
	response := c.open(t, server)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// open sends the request and returns the answer with its body unread.
func (c call) open(t *testing.T, server *httptest.Server) *http.Response {
	t.Helper()
	request, err := http.NewRequest(c.method, server.URL+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		t.Fatal(err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}
