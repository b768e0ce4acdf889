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

// maxEventBytes bounds one line of a stream.
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

// completion is one request for tokens, over all its tries.
type completion struct {
	client *entryclient.Client
	id     string
	post   entryclient.Request
	prompt string // as the engine gets it

	answering func(address string) // told of the first event of a try
	text      strings.Builder
	lastEvent string // id of the last event
	finish    core.FinishReason
	done      bool
	askRest   bool // the next try asks for the rest only
}

// complete runs one request until its answer is whole or the failure is final.
func complete(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	c := newCompletion(client, options, number)
	var r result
	var backoff entryclient.Backoff
	for {
		r.tries++
		if c.lastEvent != "" {
			r.resumes++
		}
		err := c.try(ctx)
		if c.done {
			r.wrong = c.check(options.Seed+int64(number), options.MaxTokens)
			return r
		}
		if c.final(err) || backoff.Wait(ctx) != nil {
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
		client: client, id: numbered(options.RequestID, number), prompt: prompt, answering: options.Answering,
		post: entryclient.Request{Method: http.MethodPost, Path: path, Body: encoded},
	}
}

// try sends the request, or asks for the rest of its answer, and reads events.
func (c *completion) try(ctx context.Context) error {
	request := c.post
	if c.askRest {
		request = entryclient.Request{Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(c.id)}
	}
	request.Header = http.Header{entryclient.RequestIDHeader: {c.id}}
	if c.lastEvent != "" {
		request.Header.Set(entryclient.LastEventIDHeader, c.lastEvent)
	}
	response, err := c.client.Send(ctx, request)
	if err != nil {
		c.askRest = false // send the request again, with what arrived
		return err
	}
	defer response.Body.Close()
	err = c.readEvents(response.Body, response.Request.URL.Host)
	if !c.done {
		c.client.LeaveCurrent()
		c.askRest = true
	}
	return err
}

// final reports whether a failure ends the request. A failure in mid-answer is
// tried again: sending the request again cannot harm.
func (c *completion) final(err error) bool {
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

var errCut = errors.New("stream ended without [DONE]")

func (c *completion) readEvents(body io.Reader, address string) error {
	told := c.answering == nil
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
			if err := c.take(id, value); err != nil {
				return err
			}
			if !told {
				told = true
				c.answering(address)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errCut
}

func (c *completion) take(id, data string) error {
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
			c.finish = choice.Finish
		}
	}
	if id != "" {
		c.lastEvent = id
	}
	return nil
}

// check returns why the answer is not right, or nothing.
func (c *completion) check(seed int64, maxTokens int) string {
	_, finish := tokens.Length(c.prompt, seed, maxTokens)
	want := tokens.Text(c.prompt, seed, maxTokens)
	got := c.text.String()
	if got == want && c.finish == finish {
		return ""
	}
	return fmt.Sprintf("%s: %d bytes ended by %q, want %d bytes ended by %q", c.id, len(got), c.finish, len(want), finish)
}
