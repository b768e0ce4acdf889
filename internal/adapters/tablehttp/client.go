// Package tablehttp implements ports.TableService with the HTTP protocol of the
// platform. Records are encoded as CBOR.
package tablehttp

import (
	"context"
	"net/http"
	"time"

	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Size limits of messages.
const (
	maxRequestBytes = 4 << 20
	maxReplyBytes   = 16 << 20
)

// Client is a ports.TableService. It is safe for concurrent use.
type Client struct {
	platform *platformhttp.Client
}

var _ ports.TableService = (*Client)(nil)

// New returns a client for the table service at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{platform: platformhttp.New(baseURL, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.platform.Close() }

// Read implements ports.TableService. In addition to the errors of the port it
// returns BadRequest for an unknown table or an ID that is not valid UTF-8, and
// Internal for a row whose value is not a record of its table.
func (c *Client) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	message, err := encodeRead(keys)
	if err != nil {
		return nil, err
	}
	rows, err := c.readRows(ctx, "/tables/read", message)
	if err != nil {
		return nil, err
	}
	return rows, checkKeys(keys, rows)
}

// Scan implements ports.TableService, with the additional errors of Read.
func (c *Client) Scan(ctx context.Context, table core.TableName, prefix, after string, limit int) ([]core.Row, error) {
	message, err := encodeScan(table, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	return c.readRows(ctx, "/tables/scan", message)
}

// Commit implements ports.TableService. In addition to the errors of the port it
// returns BadRequest for an unknown table, an ID that is not valid UTF-8 or a
// record of another table, and TooLarge. With these errors nothing is committed.
func (c *Client) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	message, err := encodeCommit(commit)
	if err != nil {
		return core.CommitResult{}, err
	}
	call := tableCall("/tables/commit")
	call.IsWrite = true
	var reply commitReplyMessage
	if err := c.platform.DoJSON(ctx, call, message, &reply); err != nil {
		return core.CommitResult{}, err
	}
	return decodeCommitReply(reply), nil
}

func tableCall(path string) platformhttp.Call {
	return platformhttp.Call{
		Method:   http.MethodPost,
		Path:     path,
		MaxBody:  maxRequestBytes,
		MaxReply: maxReplyBytes,
	}
}

func (c *Client) readRows(ctx context.Context, path string, message any) ([]core.Row, error) {
	var reply rowsMessage
	if err := c.platform.DoJSON(ctx, tableCall(path), message, &reply); err != nil {
		return nil, err
	}
	return decodeRows(reply)
}

// checkKeys returns StoreUnavailable unless the rows have the requested keys in the
// same order.
func checkKeys(keys []core.RowKey, rows []core.Row) error {
	if len(rows) != len(keys) {
		return errkind.New(errkind.StoreUnavailable, "table service returned %d rows for %d keys", len(rows), len(keys))
	}
	for i, key := range keys {
		if rows[i].Key != key {
			return errkind.New(errkind.StoreUnavailable, "table service returned row %v for key %v", rows[i].Key, key)
		}
	}
	return nil
}
