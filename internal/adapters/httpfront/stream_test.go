package httpfront_test

import (
	"io"
	"strings"
	"testing"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// twoParts is an answer of three tokens from two attempts and weight versions.
var twoParts = []core.AnswerPart{
	{Found: true, Source: core.AnswerSource{Server: "engine-1", Attempt: "a1"},
		Chunks: []core.Chunk{{Offset: 0, Tokens: []string{"one", "\ntwo"}, Version: 3}}},
	{Found: true, Source: core.AnswerSource{Server: "engine-2", Attempt: "a2"},
		Chunks: []core.Chunk{{Offset: 2, Tokens: []string{" three"}, Version: 4}}},
}

// The events of twoParts.
const (
	firstEvent  = `id: 2@engine-1#a1` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":"one\ntwo","finish_reason":null}],"weight_version":3}`
	secondEvent = `id: 3@engine-2#a2` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":" three","finish_reason":null}],"weight_version":4}`
	endEvent    = `id: 3@engine-2#a2` + "\n" + `data: {"id":"r","object":"text_completion","model":"coach","choices":[{"index":0,"text":"","finish_reason":"stop"}]}`
	doneEvent   = `data: [DONE]`
	cutEvent    = `data: {"error":{"kind":"answer_incomplete","message":"fescuespar.answer_incomplete: lost","ran":"may_have_run","retryable":true},"request_id":"r"}`
)

func TestStreamedAnswers(t *testing.T) {
	lost := errkind.New(errkind.AnswerIncomplete, "lost")
	tests := []struct {
		name, resume string
		cut          error
		parts        []core.AnswerPart
		stream       bool
		status       int
		events       []string // of a streamed answer
	}{
		{"whole", "", nil, twoParts, true, 200, []string{firstEvent, secondEvent, endEvent, doneEvent}},
		{"the rest", "2@engine-1#a1", nil, twoParts, true, 200, []string{secondEvent, endEvent, doneEvent}},
		{"cut after tokens", "", lost, twoParts, true, 200, []string{firstEvent, secondEvent, cutEvent}},
		{"cut before tokens", "", lost, nil, true, 502, nil},
		{"whole in one piece", "", nil, twoParts, false, 200, nil},
		{"cut in one piece", "", lost, twoParts, false, 502, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &service{parts: test.parts, cut: test.cut}
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
				checkRefusal(t, response, got, errkind.AnswerIncomplete)
			case !strings.Contains(string(got), `"text":"one\ntwo three","finish_reason":"stop"`):
				t.Errorf("body %s", got)
			}
		})
	}
}

// TestEventsLeaveAtOnce reads the first event while the answer goes on.
func TestEventsLeaveAtOnce(t *testing.T) {
	rest := make(chan struct{})
	s := &slowService{service: service{parts: twoParts}, rest: rest}
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

// TestPanicInMidStreamCutsTheConnection shows that a cut answer has no end mark
// and that its transfer is not whole.
func TestPanicInMidStreamCutsTheConnection(t *testing.T) {
	s := &slowService{service: service{parts: twoParts}, crash: true}
	c := call{method: "POST", path: "/v1/completions", token: secrets[auth.RoleCaller],
		body: `{"model":"coach","prompt":"p","stream":true}`}
	_, body, err := c.send(t, s.start(t))
	if err == nil || strings.Contains(string(body), "[DONE]") {
		t.Errorf("error %v, body %s; want a cut connection", err, body)
	}
}
