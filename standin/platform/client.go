package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
)

// Client sends control calls to a platform. Its methods return an error if the
// platform cannot be reached or rejects the call.
type Client struct {
	baseURL string
	http    *http.Client
}

// controlTimeout is the timeout of one control call.
const controlTimeout = 10 * time.Second

// NewClient returns a client of the platform at a base URL such as
// "http://127.0.0.1:8080".
func NewClient(base string) *Client {
	return &Client{baseURL: base, http: sendonce.NewClient(sendonce.New(&http.Transport{}), controlTimeout)}
}

// AddVM registers a VM, or replaces all its fields if it is registered
// already.
func (c *Client) AddVM(ctx context.Context, vm core.VM) error {
	return c.post(ctx, "/control/vms", vmMessage(vm), nil)
}

// SetVMState changes the state of a registered VM.
func (c *Client) SetVMState(ctx context.Context, id core.ServerID, state core.VMState) error {
	return c.post(ctx, "/control/vms/state", vmStateMessage{id, state}, nil)
}

// RemoveVM removes a VM. Removing an unknown VM is not an error.
func (c *Client) RemoveVM(ctx context.Context, id core.ServerID) error {
	return c.post(ctx, "/control/vms/remove", vmRemovalMessage{id}, nil)
}

// SetVMListLag sets the delay with which changes appear in the served VM list.
// It is truncated to milliseconds.
func (c *Client) SetVMListLag(ctx context.Context, lag time.Duration) error {
	return c.post(ctx, "/control/vms/lag", vmLagMessage{lag.Milliseconds()}, nil)
}

// PutWeights publishes the weights of a version.
func (c *Client) PutWeights(ctx context.Context, deployment core.DeploymentName, version core.WeightVersion, body []byte) error {
	path := "/weights/" + url.PathEscape(string(deployment)) + "/" + strconv.FormatUint(uint64(version), 10)
	return c.call(ctx, http.MethodPut, path, body, nil)
}

// AddFaultRule adds a fault rule. Its durations are truncated to milliseconds.
func (c *Client) AddFaultRule(ctx context.Context, rule faults.Rule) error {
	message := faultMessage{
		Operation: rule.Operation,
		Event:     rule.Event,
		Table:     rule.Table,
		Count:     rule.Count,
		DelayMS:   rule.Delay.Milliseconds(),
		ForMS:     rule.Duration.Milliseconds(),
	}
	return c.post(ctx, "/control/faults", message, nil)
}

// ClearFaults removes all fault rules. Effects that are held already stay
// held.
func (c *Client) ClearFaults(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, "/control/faults", nil, nil)
}

// AwaitHeld waits until the effects of at least count calls are held.
func (c *Client) AwaitHeld(ctx context.Context, count int) error {
	return c.post(ctx, "/control/await", awaitMessage{count}, nil)
}

// ReleaseHeld runs all held effects and returns their number.
func (c *Client) ReleaseHeld(ctx context.Context) (int, error) {
	var message releaseMessage
	err := c.post(ctx, "/control/release", emptyMessage{}, &message)
	return message.Released, err
}

// Counters returns the platform's counters.
func (c *Client) Counters(ctx context.Context) (Counters, error) {
	var counters Counters
	err := c.call(ctx, http.MethodGet, "/control/counters", nil, &counters)
	return counters, err
}

func (c *Client) post(ctx context.Context, path string, message, out any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

// call sends a request and decodes its reply into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, DefaultMaxTableBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: %s %s: status %d: %s", method, path, response.StatusCode, answer)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
