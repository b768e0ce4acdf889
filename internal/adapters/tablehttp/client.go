// Package tablehttp implements ports.TableService over the platform's HTTP
// protocol. Rows hold their records as CBOR.
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

// Bounds of messages, in bytes.
const (
	maxRequestBytes = 4 << 20
	maxReplyBytes   = 16 << 20
)

// Client is a ports.TableService. It is safe for concurrent use.
type Client struct {
	platform *platformhttp.Client
}

var _ ports.TableService = (*Client)(nil)

// New returns a client of the table service at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{platform: platformhttp.New(baseURL, timeout)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.platform.Close() }

// Read implements ports.TableService. Besides it returns BadRequest for an
// unknown table or an id that is not UTF-8, and Internal for a row that holds
// no record of its table.
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

// Scan implements ports.TableService, with the further errors of Read.
func (c *Client) Scan(ctx context.Context, table core.TableName, prefix, after string, limit int) ([]core.Row, error) {
	message, err := encodeScan(table, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	return c.readRows(ctx, "/tables/scan", message)
}

// Commit implements ports.TableService. Besides it returns BadRequest for an
// unknown table, an id that is not UTF-8 or a record of another table, and
// TooLarge; none of these has an effect.
func (c *Client) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	message, err := encodeCommit(commit)
	if err != nil {
		return core.CommitResult{}, err
	}
	call := tableCall("/tables/commit")
	call.Changes = true
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

// checkKeys makes sure that the rows answer exactly the keys asked for.
func checkKeys(keys []core.RowKey, rows []core.Row) error {
	if len(rows) != len(keys) {
		return errkind.New(errkind.StoreUnavailable, "%d rows came for %d keys", len(rows), len(keys))
	}
	for i, key := range keys {
		if rows[i].Key != key {
			return errkind.New(errkind.StoreUnavailable, "row %v came for key %v", rows[i].Key, key)
		}
	}
	return nil
}
