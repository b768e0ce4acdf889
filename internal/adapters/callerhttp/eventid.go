package callerhttp

import (
	"fmt"
	"strconv"
	"strings"

	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// lastEventIDHeader is the standard header in which a client of server-sent
// events sends the id of the last event it received.
const lastEventIDHeader = "Last-Event-ID"

// formatEventID returns OFFSET@SERVER#ATTEMPT: the number of tokens that the
// client has after the event, and the server and attempt that generated them.
func formatEventID(offset int, source core.AnswerSource) string {
	return fmt.Sprintf("%d@%s#%s", offset, source.Server, source.Attempt)
}

// parseEventID parses an id in the form of formatEventID; an empty id gives nil.
// Errors: BadRequest.
func parseEventID(id string) (*core.ResumePoint, error) {
	if id == "" {
		return nil, nil
	}
	number, rest, okAt := strings.Cut(id, "@")
	server, attempt, okHash := strings.Cut(rest, "#")
	offset, err := strconv.Atoi(number)
	isComplete := okAt && okHash && server != "" && attempt != ""
	if !isComplete || err != nil || offset < 0 || offset > largestMaxTokens {
		return nil, errkind.New(errkind.BadRequest, "header %s is not a valid event id of this service: want OFFSET@SERVER#ATTEMPT", lastEventIDHeader)
	}
	if err := httpfront.ValidateRequestID(attempt); err != nil {
		return nil, err
	}
	return &core.ResumePoint{
		Offset: offset,
		Source: core.AnswerSource{Server: core.ServerID(server), Attempt: attempt},
	}, nil
}
