package httpfront

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/errkind"
)

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Error     ErrorDetail `json:"error"`
	RequestID string      `json:"request_id,omitempty"`
}

// ErrorDetail describes an error and whether the request was run.
type ErrorDetail struct {
	Kind      errkind.Kind      `json:"kind"`
	Message   string            `json:"message"`
	Ran       errkind.Execution `json:"ran"`
	Retryable bool              `json:"retryable"`
}

// NewErrorBody returns the answer body for an error.
func NewErrorBody(err error, requestID string) ErrorBody {
	answer := errkind.AnswerTo(err)
	return ErrorBody{
		Error: ErrorDetail{
			Kind: errkind.Of(err), Message: err.Error(),
			Ran: answer.Execution, Retryable: answer.Retryable,
		},
		RequestID: requestID,
	}
}

// retryAfterSeconds is the Retry-After header of every retryable error.
const retryAfterSeconds = "1"

// WriteError writes the answer that errkind defines for the kind of an error.
func WriteError(ctx iris.Context, err error) {
	answer := errkind.AnswerTo(err)
	httpguard.Refuse(ctx.ResponseWriter(), ctx.Request())
	if answer.Retryable {
		ctx.Header("Retry-After", retryAfterSeconds)
	}
	if answer.Status == http.StatusUnauthorized {
		ctx.Header("WWW-Authenticate", "Bearer")
	}
	requestID := ctx.ResponseWriter().Header().Get(RequestIDHeader)
	_ = WriteJSON(ctx, answer.Status, NewErrorBody(err, requestID))
}
