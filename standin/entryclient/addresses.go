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

// refreshAddressesIfDue fetches the list of addresses if the current one has
// expired. If no address answers, the list is left unchanged.
func (c *Client) refreshAddressesIfDue(ctx context.Context) {
	for _, address := range c.claimRefresh(time.Now()) {
		body, err := c.fetchAddresses(ctx, address)
		if err == nil && len(body.Addresses) > 0 {
			c.replaceAddresses(body, time.Now())
			return
		}
	}
}

// claimRefresh returns the addresses to fetch a new list from, or nil if the
// list has not expired. It extends the list's validity by the timeout of a
// fetch, so that only one request refreshes it at a time.
func (c *Client) claimRefresh(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.refreshAt) {
		return nil
	}
	c.refreshAt = now.Add(addressesTimeout)
	return slices.Clone(c.addresses)
}

// replaceAddresses replaces the list. Old addresses are kept at its end as a
// fallback in case all new ones fail.
func (c *Client) replaceAddresses(body addressesBody, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := slices.Clone(body.Addresses)
	for _, previous := range c.addresses {
		if !slices.Contains(addresses, previous) && len(addresses) < maxAddresses {
			addresses = append(addresses, previous)
		}
	}
	c.addresses = addresses
	c.refreshAt = now.Add(time.Duration(body.KeepSeconds) * time.Second)
}

// maxAddresses is the maximum length of the list.
const maxAddresses = 16

func (c *Client) fetchAddresses(ctx context.Context, address string) (addressesBody, error) {
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
