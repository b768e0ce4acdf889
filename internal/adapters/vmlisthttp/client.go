// Package vmlisthttp implements ports.VMList with the HTTP protocol of the
// platform.
package vmlisthttp

import (
	"context"
	"net/http"
	"time"

	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

// maxReplyBytes is the largest encoded list. A VM takes about 200 bytes.
const maxReplyBytes = 16 << 20

// Client is a ports.VMList. It is safe for concurrent use.
type Client struct {
	platform *platformhttp.Client
}

var _ ports.VMList = (*Client)(nil)

type vmMessage struct {
	ID      core.ServerID   `json:"id"`
	Kind    core.ServerKind `json:"kind"`
	Service string          `json:"service"`
	Address string          `json:"address"`
	Zone    core.ZoneName   `json:"zone"`
	Region  core.RegionName `json:"region"`
	State   core.VMState    `json:"state"`
	Slots   int             `json:"slots,omitempty"`

	Software core.SoftwareVersion `json:"software,omitempty"`
}

type vmsMessage struct {
	VMs []vmMessage `json:"vms"`
}

// New returns a client for the VM list at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{platform: platformhttp.New(baseURL, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.platform.Close() }

// VMs implements ports.VMList. It returns VMs of an unknown kind or state too,
// unchanged.
func (c *Client) VMs(ctx context.Context) ([]core.VM, error) {
	call := platformhttp.Call{Method: http.MethodGet, Path: "/vms", MaxReply: maxReplyBytes}
	answer, err := c.platform.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	var message vmsMessage
	if err := call.Decode(answer, &message); err != nil {
		return nil, err
	}
	list := make([]core.VM, len(message.VMs))
	for i, vm := range message.VMs {
		list[i] = core.VM(vm)
	}
	return list, nil
}
