package httpfront

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/errkind"
)

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error     ErrorDetail `json:"error"`
	RequestID string      `json:"request_id,omitempty"`
}

// ErrorDetail says what went wrong and whether the request was run.
type ErrorDetail struct {
	Kind      errkind.Kind `json:"kind"`
	Message   string       `json:"message"`
	Ran       errkind.Ran  `json:"ran"`
	Retryable bool         `json:"retryable"`
}

// ErrorOf returns the body for an error.
func ErrorOf(err error, requestID string) ErrorBody {
	answer := errkind.AnswerTo(err)
	return ErrorBody{
		Error: ErrorDetail{
			Kind: errkind.Of(err), Message: err.Error(),
			Ran: answer.Ran, Retryable: answer.Retryable,
		},
		RequestID: requestID,
	}
}

// retryAfterSeconds is told with every error that a later repeat may mend.
const retryAfterSeconds = "1"

// WriteError writes an error's answer from the table of kinds.
func WriteError(ctx iris.Context, err error) {
	answer := errkind.AnswerTo(err)
	if answer.Retryable {
		ctx.Header("Retry-After", retryAfterSeconds)
	}
	if answer.Status == http.StatusUnauthorized {
		ctx.Header("WWW-Authenticate", "Bearer")
	}
	requestID := ctx.ResponseWriter().Header().Get(RequestIDHeader)
	_ = WriteJSON(ctx, answer.Status, ErrorOf(err, requestID))
}
