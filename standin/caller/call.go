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

// call runs one plain call until it is answered or the failure is final. The
// same key is used for every try, so a try again is safe if it has one.
func call(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	id := numbered(options.RequestID, number)
	request := entryclient.Request{
		Method: options.Method, Body: options.Body,
		Path:   "/v1/services/" + url.PathEscape(options.Deployment) + "/" + numbered(options.Path, number),
		Header: http.Header{entryclient.RequestIDHeader: {id}},
	}
	if options.Keyed {
		request.Header.Set(entryclient.KeyHeader, id)
	}
	r := sendCall(ctx, client, request)
	if r.err == nil && options.Twice {
		again := sendCall(ctx, client, request)
		again.tries += r.tries
		r = again
	}
	return r
}

func sendCall(ctx context.Context, client *entryclient.Client, request entryclient.Request) result {
	var r result
	var backoff entryclient.Backoff
	for {
		r.tries++
		body, err := client.SendJSON(ctx, request)
		if err == nil {
			r.wrong = checkCall(request, body)
			return r
		}
		if finalCall(request, err) || backoff.Wait(ctx) != nil {
			r.err = err
			return r
		}
	}
}

// finalCall reports whether a failure ends the call. A call without key whose
// answer is lost is not sent again.
func finalCall(request entryclient.Request, err error) bool {
	var failure *entryclient.Failure
	if errors.As(err, &failure) {
		return !failure.Retryable
	}
	return request.Header.Get(entryclient.KeyHeader) == ""
}

// checkCall returns why an answer is not right, or nothing. A call with a key
// has run once, so its answer is that of the first run.
func checkCall(request entryclient.Request, body []byte) string {
	var answer plain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err.Error()
	}
	key := request.Header.Get(entryclient.KeyHeader)
	if answer.Key != key || answer.Size != int64(len(request.Body)) {
		return fmt.Sprintf("answer to key %q with %d bytes, want %q with %d", answer.Key, answer.Size, key, len(request.Body))
	}
	if key != "" && answer.Run != 1 {
		return fmt.Sprintf("call with key %q ran %d times", key, answer.Run)
	}
	return ""
}
