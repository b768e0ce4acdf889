package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// largestMaxTokens is the largest max_tokens of a request; defaultMaxTokens applies
// when the request does not set it.
const (
	largestMaxTokens = 65536
	defaultMaxTokens = 256
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody is the body of completion and chat completion requests.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Seed      int64     `json:"seed"`
}

func (h *handlers) completions(ctx iris.Context, sender auth.Identity) error {
	return h.complete(ctx, sender, format{object: "text_completion"}, func(body *completionBody) (string, error) {
		if body.Prompt == "" || len(body.Messages) > 0 {
			return "", errkind.New(errkind.BadRequest, "a completion request must have a prompt and no messages")
		}
		return body.Prompt, nil
	})
}

func (h *handlers) chatCompletions(ctx iris.Context, sender auth.Identity) error {
	return h.complete(ctx, sender, format{object: "chat.completion", chat: true}, func(body *completionBody) (string, error) {
		if len(body.Messages) == 0 || body.Prompt != "" {
			return "", errkind.New(errkind.BadRequest, "a chat completion request must have messages and no prompt")
		}
		return chatPrompt(body.Messages), nil
	})
}

// chatPrompt joins messages into one prompt with one line per message.
func chatPrompt(messages []message) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	return prompt.String()
}

// complete submits a completion request and writes its answer. promptOf checks
// the body and returns its prompt.
func (h *handlers) complete(ctx iris.Context, sender auth.Identity, f format, promptOf func(*completionBody) (string, error)) error {
	id := httpfront.RequestID(ctx)
	var body completionBody
	if err := httpfront.ReadJSON(ctx, &body); err != nil {
		return err
	}
	prompt, err := promptOf(&body)
	if err != nil {
		return err
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.MaxTokens < 0 || body.MaxTokens > largestMaxTokens {
		return errkind.New(errkind.BadRequest, "max_tokens is %d; it must be between 1 and %d", body.MaxTokens, largestMaxTokens)
	}
	resume, err := parseEventID(ctx.GetHeader(lastEventIDHeader))
	if err != nil {
		return err
	}
	request := core.CompletionRequest{
		ID: id, Caller: core.CallerName(sender.Name), Deployment: core.DeploymentName(body.Model),
		Class: core.ClassInteractive, Prompt: prompt, MaxTokens: body.MaxTokens, Seed: body.Seed,
	}
	if err := h.callers.Complete(ctx.Request().Context(), request, resume); err != nil {
		return err
	}
	f.id, f.model = string(id), body.Model
	return h.writeAnswer(ctx, request.Caller, id, f, body.Stream, resumeOffset(resume))
}

// resumeRequest streams the answer of an earlier request again, from the event
// after Last-Event-ID.
func (h *handlers) resumeRequest(ctx iris.Context, sender auth.Identity) error {
	id := ctx.Params().Get("id")
	if err := httpfront.ValidateRequestID(id); err != nil {
		return err
	}
	ctx.Header(httpfront.RequestIDHeader, id)
	resume, err := parseEventID(ctx.GetHeader(lastEventIDHeader))
	if err != nil {
		return err
	}
	caller := core.CallerName(sender.Name)
	if err := h.callers.FindAnswer(ctx.Request().Context(), caller, core.RequestID(id), resume); err != nil {
		return err
	}
	f := format{object: "text_completion", id: id}
	return h.writeAnswer(ctx, caller, core.RequestID(id), f, true, resumeOffset(resume))
}

func resumeOffset(resume *core.ResumePoint) int {
	if resume == nil {
		return 0
	}
	return resume.Offset
}

func (h *handlers) writeAnswer(ctx iris.Context, caller core.CallerName, id core.RequestID, f format, stream bool, offset int) error {
	if stream {
		return h.streamAnswer(ctx, caller, id, f, offset)
	}
	return h.writeCompleteAnswer(ctx, caller, id, f, offset)
}

// writeCompleteAnswer waits for the end of the answer and writes it as one JSON
// body.
func (h *handlers) writeCompleteAnswer(ctx iris.Context, caller core.CallerName, id core.RequestID, f format, offset int) error {
	var text strings.Builder
	var version core.WeightVersion
	for {
		part, err := h.callers.ReadAnswer(ctx.Request().Context(), caller, id, offset)
		if err != nil {
			return err
		}
		for _, chunk := range part.Chunks {
			offset = chunk.Offset + len(chunk.Tokens)
			version = chunk.Version
			text.WriteString(strings.Join(chunk.Tokens, ""))
		}
		if part.Finish != "" {
			return httpfront.WriteJSON(ctx, http.StatusOK, f.completeBody(text.String(), version, part.Finish))
		}
	}
}

// streamAnswer writes the answer as server-sent events. It waits for the first
// part before it sends the headers, so that an early failure is answered with its
// own status.
func (h *handlers) streamAnswer(ctx iris.Context, caller core.CallerName, id core.RequestID, f format, offset int) error {
	started := false
	for {
		part, err := h.callers.ReadAnswer(ctx.Request().Context(), caller, id, offset)
		if err != nil && !started {
			return err
		}
		if err != nil {
			writeEvent(ctx, "", httpfront.NewErrorBody(err, string(id)))
			return nil
		}
		if !started {
			ctx.ContentType("text/event-stream")
			ctx.Header("Cache-Control", "no-store")
			started = true
		}
		for _, chunk := range part.Chunks {
			offset = chunk.Offset + len(chunk.Tokens)
			writeEvent(ctx, formatEventID(offset, part.Source), f.eventBody(strings.Join(chunk.Tokens, ""), chunk.Version, ""))
		}
		if part.Finish != "" {
			writeEvent(ctx, formatEventID(offset, part.Source), f.eventBody("", 0, part.Finish))
			_, _ = ctx.WriteString("data: [DONE]\n\n")
			flush(ctx)
			return nil
		}
		flush(ctx)
	}
}

func writeEvent(ctx iris.Context, id string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return
	}
	if id != "" {
		_, _ = ctx.Writef("id: %s\n", id)
	}
	_, _ = ctx.Writef("data: %s\n\n", encoded)
}

func flush(ctx iris.Context) {
	ctx.ResponseWriter().Flush()
}
