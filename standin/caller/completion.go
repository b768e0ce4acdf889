package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest/tokens"
	"fescuespar/standin/entryclient"
)

// maxEventBytes is the maximum length of one line of a stream.
const maxEventBytes = 1 << 20

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      int64         `json:"seed"`
}

type event struct {
	entryclient.FailureBody
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish core.FinishReason `json:"finish_reason"`
	} `json:"choices"`
}

// completion is the state of one completion request across its attempts.
type completion struct {
	client         *entryclient.Client
	id             string
	initialRequest entryclient.Request
	prompt         string // as the engine receives it

	text          strings.Builder
	lastEvent     string // id of the last event received
	finishReason  core.FinishReason
	done          bool
	resumeNext    bool // the next attempt requests only the rest of the answer
	onFirstTokens func(address string)
}

// runCompletion sends one request and retries it until its answer is complete
// or it fails permanently.
func runCompletion(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	c := newCompletion(client, options, number)
	var r result
	var backoff entryclient.Backoff
	for {
		r.tries++
		if c.lastEvent != "" {
			r.resumes++
		}
		err := c.attempt(ctx)
		if c.done {
			r.mismatch = c.checkAnswer(options.Seed+int64(number), options.MaxTokens)
			return r
		}
		if c.isFinalError(err) || backoff.Wait(ctx) != nil {
			r.err = err
			return r
		}
	}
}

func newCompletion(client *entryclient.Client, options *Options, number int) *completion {
	prompt := fmt.Sprintf("%s %d", options.Prompt, number)
	body := completionBody{
		Model: options.Deployment, Prompt: prompt, MaxTokens: options.MaxTokens, Stream: true,
		Seed: options.Seed + int64(number),
	}
	path := "/v1/completions"
	if options.Chat {
		path = "/v1/chat/completions"
		body.Prompt, body.Messages = "", []chatMessage{{Role: "user", Content: prompt}}
		prompt = "user: " + prompt + "\n"
	}
	encoded, _ := json.Marshal(body) // strings and numbers only, cannot fail
	return &completion{
		client: client, id: numbered(options.RequestID, number), prompt: prompt,
		initialRequest: entryclient.Request{Method: http.MethodPost, Path: path, Body: encoded},
		onFirstTokens:  options.OnFirstTokens,
	}
}

// attempt sends the request, or requests the rest of its answer, and reads the
// events of the response.
func (c *completion) attempt(ctx context.Context) error {
	request := c.initialRequest
	if c.resumeNext {
		request = entryclient.Request{Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(c.id)}
	}
	request.Header = http.Header{entryclient.RequestIDHeader: {c.id}}
	if c.lastEvent != "" {
		request.Header.Set(entryclient.LastEventIDHeader, c.lastEvent)
	}
	response, err := c.client.Send(ctx, request)
	if err != nil {
		c.resumeNext = false // send the whole request again, with the id of the last event
		return err
	}
	defer response.Body.Close()
	err = c.readEvents(response.Body, response.Request.URL.Host)
	if !c.done {
		c.client.RotateAddress()
		c.resumeNext = true
	}
	return err
}

// isFinalError reports whether an error ends the request. An error in the
// middle of an answer is retried: sending a completion request again has no
// side effects.
func (c *completion) isFinalError(err error) bool {
	var failure *entryclient.Failure
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Kind {
	case errkind.UnknownRequest, errkind.AnswerIncomplete:
		return false
	}
	return !failure.Retryable
}

var errStreamIncomplete = errors.New("stream ended without [DONE]")

// readEvents reads the stream of events sent by the entry VM at an address.
func (c *completion) readEvents(body io.Reader, address string) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	id := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "data" && value == "[DONE]":
			c.done = true
			return nil
		case name == "data":
			first := c.text.Len() == 0
			if err := c.handleEvent(id, value); err != nil {
				return err
			}
			if first && c.text.Len() > 0 && c.onFirstTokens != nil {
				c.onFirstTokens(address)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errStreamIncomplete
}

func (c *completion) handleEvent(id, data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return err
	}
	if failure := e.Failure(0); failure != nil {
		return failure
	}
	for _, choice := range e.Choices {
		c.text.WriteString(choice.Text + choice.Delta.Content)
		if choice.Finish != "" {
			c.finishReason = choice.Finish
		}
	}
	if id != "" {
		c.lastEvent = id
	}
	return nil
}

// checkAnswer returns a description of what is wrong with the answer, or an
// empty string.
func (c *completion) checkAnswer(seed int64, maxTokens int) string {
	_, finish := tokens.Length(c.prompt, seed, maxTokens)
	want := tokens.Text(c.prompt, seed, maxTokens)
	got := c.text.String()
	if got == want && c.finishReason == finish {
		return ""
	}
	return fmt.Sprintf("%s: got %d bytes with finish reason %q, want %d bytes with finish reason %q", c.id, len(got), c.finishReason, len(want), finish)
}
