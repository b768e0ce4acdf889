package entryclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"
)

type addressesBody struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

// renewIfDue asks for the addresses when the list may no longer be kept. If no
// address answers, the list stays.
func (c *Client) renewIfDue(ctx context.Context) {
	for _, address := range c.due(time.Now()) {
		body, err := c.askAddresses(ctx, address)
		if err == nil && len(body.Addresses) > 0 {
			c.keep(body, time.Now())
			return
		}
	}
}

// due returns the addresses to ask, none while the list may be kept. It keeps
// the list for the time of the asking, so that one request asks.
func (c *Client) due(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.keepUntil) {
		return nil
	}
	c.keepUntil = now.Add(addressesTimeout)
	return slices.Clone(c.addresses)
}

// keep replaces the list. Old addresses stay at its end, for the case that all
// new ones fail.
func (c *Client) keep(body addressesBody, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := slices.Clone(body.Addresses)
	for _, old := range c.addresses {
		if !slices.Contains(addresses, old) && len(addresses) < maxAddresses {
			addresses = append(addresses, old)
		}
	}
	c.addresses = addresses
	c.keepUntil = now.Add(time.Duration(body.KeepSeconds) * time.Second)
}

// maxAddresses bounds the list.
const maxAddresses = 16

func (c *Client) askAddresses(ctx context.Context, address string) (addressesBody, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	var body addressesBody
	response, err := c.sendTo(ctx, address, Request{Method: http.MethodGet, Path: "/v1/addresses"})
	if err != nil {
		return body, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, readFailure(response)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&body)
	return body, err
}
