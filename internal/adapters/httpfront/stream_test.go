package httpfront_test

import (
	"io"
	"strings"
	"testing"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// twoParts is an answer of three tokens from two attempts with different weight
// versions.
var twoParts = []core.AnswerPart{
	{Found: true, Source: core.AnswerSource{Server: "engine-1", Attempt: "a1"},
		Chunks: []core.Chunk{{Offset: 0, Tokens: []string{"one", "\ntwo"}, Version: 3}}},
	{Found: true, Source: core.AnswerSource{Server: "engine-2", Attempt: "a2"},
		Chunks: []core.Chunk{{Offset: 2, Tokens: []string{" three"}, Version: 4}}},
}

// Server-sent events for twoParts.
const (
	firstEvent  = `id: 2@engine-1#a1` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":"one\ntwo","finish_reason":null}],"weight_version":3}`
	secondEvent = `id: 3@engine-2#a2` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":" three","finish_reason":null}],"weight_version":4}`
	endEvent    = `id: 3@engine-2#a2` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`
	doneEvent   = `data: [DONE]`
	errorEvent  = `data: {"error":{"kind":"answer_incomplete","message":"fescuespar.answer_incomplete: lost","ran":"may_have_run","retryable":true},"request_id":"r"}`
)

func TestStreamedAnswers(t *testing.T) {
	lost := errkind.New(errkind.AnswerIncomplete, "lost")
	tests := []struct {
		name, resume string
		endError     error
		parts        []core.AnswerPart
		stream       bool
		status       int
		events       []string // expected events of a streamed answer
	}{
		{"whole", "", nil, twoParts, true, 200, []string{firstEvent, secondEvent, endEvent, doneEvent}},
		{"resumed stream", "2@engine-1#a1", nil, twoParts, true, 200, []string{secondEvent, endEvent, doneEvent}},
		{"error after tokens", "", lost, twoParts, true, 200, []string{firstEvent, secondEvent, errorEvent}},
		{"error before tokens", "", lost, nil, true, 502, nil},
		{"whole without streaming", "", nil, twoParts, false, 200, nil},
		{"error without streaming", "", lost, twoParts, false, 502, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeService{parts: test.parts, partsError: test.endError}
			body := `{"model":"coach","prompt":"p"}`
			if test.stream {
				body = `{"model":"coach","prompt":"p","stream":true}`
			}
			c := call{method: "POST", path: "/v1/completions", token: secrets[auth.RoleCaller], body: body,
				header: map[string]string{"X-Request-Id": "r", "Last-Event-ID": test.resume}}
			response, got, err := c.send(t, s.start(t))
			if err != nil || response.StatusCode != test.status {
				t.Fatalf("%v, %v, body %s; want status %d", response, err, got, test.status)
			}
			switch {
			case test.events != nil:
				if want := strings.Join(test.events, "\n\n") + "\n\n"; string(got) != want {
					t.Errorf("events\n%swant\n%s", got, want)
				}
				if kind := response.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
					t.Errorf("content type %q", kind)
				}
			case test.status != 200:
				checkErrorAnswer(t, response, got, errkind.AnswerIncomplete)
			case !strings.Contains(string(got), `"text":"one\ntwo three","finish_reason":"stop"`):
				t.Errorf("body %s", got)
			}
		})
	}
}

// TestEventsAreFlushedImmediately reads the first event before the rest of the
// answer is generated.
func TestEventsAreFlushedImmediately(t *testing.T) {
	rest := make(chan struct{})
	s := &pausingService{fakeService: fakeService{parts: twoParts}, resume: rest}
	server := s.start(t)
	c := call{method: "POST", path: "/v1/completions", token: secrets[auth.RoleCaller],
		body: `{"model":"coach","prompt":"p","stream":true}`, header: map[string]string{"X-Request-Id": "r"}}
	response := c.open(t, server)
	defer response.Body.Close()
	first := make([]byte, len(firstEvent))
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != firstEvent {
		t.Fatalf("first event %q, %v", first, err)
	}
	close(rest)
}

// TestPanicDuringStreamAbortsConnection checks that an aborted answer has no
// [DONE] event and ends with a transfer error.
func TestPanicDuringStreamAbortsConnection(t *testing.T) {
	s := &pausingService{fakeService: fakeService{parts: twoParts}, panics: true}
	c := call{method: "POST", path: "/v1/completions", token: secrets[auth.RoleCaller],
		body: `{"model":"coach","prompt":"p","stream":true}`}
	_, body, err := c.send(t, s.start(t))
	if err == nil || strings.Contains(string(body), "[DONE]") {
		t.Errorf("error %v, body %s; want an aborted connection", err, body)
	}
}
