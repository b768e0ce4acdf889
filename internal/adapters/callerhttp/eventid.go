package callerhttp

import (
	"fmt"
	"strconv"
	"strings"

	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// lastEventIDHeader is the standard header with which a receiver of
// server-sent events says what it has.
const lastEventIDHeader = "Last-Event-ID"

// formatEventID writes OFFSET@SERVER#ATTEMPT: the tokens that the receiver has
// after the event and where they came from.
func formatEventID(offset int, source core.AnswerSource) string {
	return fmt.Sprintf("%d@%s#%s", offset, source.Server, source.Attempt)
}

// parseEventID reads what formatEventID wrote; an empty one is nil. Errors: BadRequest.
func parseEventID(id string) (*core.ResumePoint, error) {
	if id == "" {
		return nil, nil
	}
	number, rest, okAt := strings.Cut(id, "@")
	server, attempt, okHash := strings.Cut(rest, "#")
	offset, err := strconv.Atoi(number)
	written := okAt && okHash && server != "" && attempt != ""
	if !written || err != nil || offset < 0 || offset > maxTokensLimit {
		return nil, errkind.New(errkind.BadRequest, "the %s header is not one that this service wrote", lastEventIDHeader)
	}
	if err := httpfront.CheckRequestID(attempt); err != nil {
		return nil, err
	}
	return &core.ResumePoint{
		Offset: offset,
		Source: core.AnswerSource{Server: core.ServerID(server), Attempt: attempt},
	}, nil
}
