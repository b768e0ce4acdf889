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
	"fescuespar/internal/adapters/operatorhttp"
	"fescuespar/internal/adapters/trainerhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
)

// Names and limits used by all tests of the front ends.
const (
	bodyLimit = 4096 // bytes
	known     = "coach"
	newID     = "new-id"
)

// secrets are the tokens of each role.
var secrets = map[auth.Role]string{
	auth.RoleCaller:   "caller-secret-0123456789",
	auth.RoleTrainer:  "trainer-secret-0123456789",
	auth.RoleOperator: "operator-secret-0123456789",
}

// service is a fake of all three driving ports. It counts the calls that could
// change something and answers from its fields, which are set before it serves.
type service struct {
	calls    atomic.Int64
	parts    []core.AnswerPart // of every answer, in order
	cut      error             // the error after the parts
	plain    core.PlainResponse
	request  core.PlainRequest // the last one
	crash    any               // with which Status panics
	operator string            // of the last publish
}

func (s *service) NewRequestID() core.RequestID { return newID }

func (s *service) check(deployment core.DeploymentName) error {
	if deployment != known {
		return errkind.New(errkind.UnknownDeployment, "no deployment is named %q", deployment)
	}
	s.calls.Add(1)
	return nil
}

func (s *service) Complete(_ context.Context, request core.CompletionRequest, _ *core.ResumePoint) error {
	return s.check(request.Deployment)
}

func (s *service) ReadAnswer(_ context.Context, _ core.CallerName, _ core.RequestID, offset int) (core.AnswerPart, error) {
	at := 0
	for _, part := range s.parts {
		for _, chunk := range part.Chunks {
			at += len(chunk.Tokens)
		}
		if at > offset {
			return part, nil
		}
	}
	if s.cut != nil {
		return core.AnswerPart{}, s.cut
	}
	end := core.AnswerPart{Found: true, Finish: core.FinishStop}
	if len(s.parts) > 0 {
		end.Source = s.parts[len(s.parts)-1].Source
	}
	return end, nil
}

func (s *service) FindAnswer(_ context.Context, _ core.CallerName, id core.RequestID, _ *core.ResumePoint) error {
	if id != "known" {
		return errkind.New(errkind.UnknownRequest, "no answer is kept for request %s", id)
	}
	return nil
}

func (s *service) Call(_ context.Context, request core.PlainRequest) (core.PlainResponse, error) {
	if err := s.check(request.Deployment); err != nil {
		return core.PlainResponse{}, err
	}
	s.request = request
	return s.plain, nil
}

func (s *service) Addresses(core.CallerName) core.AddressList { return core.AddressList{} }

func (s *service) PublishWeights(_ context.Context, _ core.CallerName, name core.DeploymentName, _ core.WeightVersion) error {
	return s.check(name)
}

func (s *service) Batch(_ context.Context, _ core.CallerName, request core.BatchRequest) (core.Batch, error) {
	return core.Batch{}, s.check(request.Deployment)
}

func (s *service) Configuration() *core.Configuration { return &core.Configuration{} }

func (s *service) Publish(_ context.Context, operator string, _ core.Generation, _ []core.Deployment) (core.Generation, error) {
	s.calls.Add(1)
	s.operator = operator
	return 1, nil
}

func (s *service) Status() core.Status {
	if s.crash != nil {
		panic(s.crash)
	}
	return core.Status{}
}

func (s *service) State() any { return struct{}{} }

// start serves the three front ends over a fake.
func (s *service) start(t *testing.T) *httptest.Server { return serve(t, s) }

// slowService gives the first part of an answer and then waits or panics.
type slowService struct {
	service
	rest  chan struct{} // closed when the rest may follow
	crash bool
}

func (s *slowService) ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error) {
	switch {
	case offset > 0 && s.crash:
		panic("planted")
	case offset > 0:
		<-s.rest
	}
	return s.service.ReadAnswer(ctx, caller, id, offset)
}

func (s *slowService) start(t *testing.T) *httptest.Server { return serve(t, s) }

// driven is what the front ends drive.
type driven interface {
	ports.Callers
	ports.Trainers
	ports.Operators
}

func serve(t *testing.T, s driven) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = httpfront.NewServer(handler(t, frontOf(s)), httpfront.ServerLimits{Arrival: arrivalTimeout})
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func frontOf(s driven) *httpfront.Front {
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

func handler(t *testing.T, front *httpfront.Front) http.Handler {
	t.Helper()
	built, err := front.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// call is one request of a test.
type call struct {
	method, path, token, body string
	header                    map[string]string
}

// send returns the answer and its body; a connection cut in the body is an error.
func (c call) send(t *testing.T, server *httptest.Server) (*http.Response, []byte, error) {
	t.Helper()
	response := c.open(t, server)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// open returns the answer with its body unread.
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
