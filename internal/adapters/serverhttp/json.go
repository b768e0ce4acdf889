package serverhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// maxJSONBytes is the largest JSON response of a call that is not a stream.
const maxJSONBytes = 1 << 20

// URL returns the URL of a path, with an optional query, on a backend server.
func URL(server core.VM, pathAndQuery string) string {
	return "http://" + server.Address + pathAndQuery
}

// NewJSONRequest returns a request with in as its JSON body, or without a body if in
// is nil. Errors: BadRequest.
func NewJSONRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return newRequest(ctx, method, url, nil)
	}
	content, err := json.Marshal(in)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode JSON request body")
	}
	request, err := newRequest(ctx, method, url, content)
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, err
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	return request, errkind.Wrap(errkind.BadRequest, err, "build HTTP request")
}

// CallJSON sends one request and decodes the JSON response into out unless out is
// nil. Errors: those of TransportError and ReadJSON.
func CallJSON(client *http.Client, server core.VM, request *http.Request, out any) error {
	ctx := request.Context()
	response, err := client.Do(request)
	if err != nil {
		return TransportError(ctx, server, err)
	}
	defer response.Body.Close()
	return ReadJSON(ctx, server, response, out)
}

// ReadJSON decodes a JSON response into out unless out is nil. Errors: those of
// TransportError and RefusalError, and ServerFailed if the response cannot be decoded.
func ReadJSON(ctx context.Context, server core.VM, response *http.Response, out any) error {
	if response.StatusCode/100 != 2 {
		return RefusalError(server, response)
	}
	content, err := ReadBody(response.Body, maxJSONBytes)
	if err != nil {
		return TransportError(ctx, server, err)
	}
	if out == nil {
		return nil
	}
	err = json.Unmarshal(content, out)
	return errkind.Wrap(errkind.ServerFailed, err, "decode response of backend server %s", server.ID)
}
