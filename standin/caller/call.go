package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"fescuespar/standin/entryclient"
	"fescuespar/standin/plain"
)

// runCall sends one plain call and retries it until it is answered or fails
// permanently. Every attempt uses the same idempotency key, so retrying a call
// with a key is safe.
func runCall(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	id := numbered(options.RequestID, number)
	request := entryclient.Request{
		Method: options.Method, Body: options.Body,
		Path:   "/v1/services/" + url.PathEscape(options.Deployment) + "/" + numbered(options.Path, number),
		Header: http.Header{entryclient.RequestIDHeader: {id}},
	}
	if options.Keyed {
		request.Header.Set(entryclient.KeyHeader, id)
	}
	r := sendCallWithRetries(ctx, client, request)
	if r.err == nil && options.SendTwice {
		second := sendCallWithRetries(ctx, client, request)
		second.tries += r.tries
		r = second
	}
	return r
}

func sendCallWithRetries(ctx context.Context, client *entryclient.Client, request entryclient.Request) result {
	var r result
	var backoff entryclient.Backoff
	for {
		r.tries++
		body, err := client.SendJSON(ctx, request)
		if err == nil {
			r.mismatch = checkCallAnswer(request, body)
			return r
		}
		if isFinalCallError(request, err) || backoff.Wait(ctx) != nil {
			r.err = err
			return r
		}
	}
}

// isFinalCallError reports whether an error ends the call. A call without an
// idempotency key is not retried when its reply is lost, because it may have
// run.
func isFinalCallError(request entryclient.Request, err error) bool {
	var failure *entryclient.Failure
	if errors.As(err, &failure) {
		return !failure.Retryable
	}
	return request.Header.Get(entryclient.KeyHeader) == ""
}

// checkCallAnswer returns a description of what is wrong with an answer, or an
// empty string. A call with a key runs only once, so every answer to it must
// be that of the first run.
func checkCallAnswer(request entryclient.Request, body []byte) string {
	var answer plain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err.Error()
	}
	key := request.Header.Get(entryclient.KeyHeader)
	if answer.Key != key || answer.Size != int64(len(request.Body)) {
		return fmt.Sprintf("answer has key %q and size %d, want key %q and size %d", answer.Key, answer.Size, key, len(request.Body))
	}
	if key != "" && answer.Run != 1 {
		return fmt.Sprintf("call with key %q ran %d times", key, answer.Run)
	}
	return ""
}
