package serverhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// maxJSONBytes bounds the JSON answer of a call that is not a stream.
const maxJSONBytes = 1 << 20

// URL returns the URL of a path and query at a backend server.
func URL(server core.VM, pathAndQuery string) string {
	return "http://" + server.Address + pathAndQuery
}

// NewJSONRequest returns a request with a JSON body; a nil in gives no body.
func NewJSONRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return newRequest(ctx, method, url, nil)
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode request")
	}
	request, err := newRequest(ctx, method, url, raw)
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, err
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	return request, errkind.Wrap(errkind.BadRequest, err, "build request")
}

// CallJSON sends one request and decodes the JSON answer into out unless out
// is nil. Errors: those of TransportError and RefusalError; ServerFailed when
// the answer cannot be decoded.
func CallJSON(client *http.Client, server core.VM, request *http.Request, out any) error {
	ctx := request.Context()
	response, err := client.Do(request)
	if err != nil {
		return TransportError(ctx, server, err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return RefusalError(server, response)
	}
	raw, err := ReadBody(response.Body, maxJSONBytes)
	if err != nil {
		return TransportError(ctx, server, err)
	}
	if out == nil {
		return nil
	}
	err = json.Unmarshal(raw, out)
	return errkind.Wrap(errkind.ServerFailed, err, "answer of backend server %s", server.ID)
}
