package tablehttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/tablehttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest"
	"fescuespar/standin/platform"
	"fescuespar/standin/platform/platformtest"
)

const callTimeout = 10 * time.Second

func newClient(t *testing.T, url string) *tablehttp.Client {
	client := tablehttp.New(url, callTimeout)
	t.Cleanup(client.Close)
	return client
}

func TestClientConformance(t *testing.T) {
	porttest.TableService(t, func(t *testing.T) porttest.TableHarness {
		server := platformtest.Start(t, platform.Options{})
		return porttest.TableHarness{Service: newClient(t, server.URL), Control: server}
	})
}

func weightRow(id string) core.RowKey { return core.RowKey{Table: core.TableWeight, ID: id} }

func TestInvalidRowsAreErrors(t *testing.T) {
	cases := []struct {
		name, reply string
		want        errkind.Kind
	}{
		{"no record", `{"rows":[{"table":"weight","id":"a","version":1,"value":"AA=="}]}`, errkind.Internal},
		{"truncated record", `{"rows":[{"table":"weight","id":"a","version":1,"value":"oQ=="}]}`, errkind.Internal},
		{"unknown table", `{"rows":[{"table":"odd","id":"a","version":1,"value":"oA=="}]}`, errkind.Internal},
		{"another row", `{"rows":[{"table":"weight","id":"b","version":0}]}`, errkind.StoreUnavailable},
		{"too few rows", `{"rows":[]}`, errkind.StoreUnavailable},
		{"truncated reply", `{"rows":[`, errkind.StoreUnavailable},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(c.reply))
		}))
		_, err := newClient(t, server.URL).Read(t.Context(), []core.RowKey{weightRow("a")})
		server.Close()
		if !errkind.Is(err, c.want) {
			t.Errorf("%s: error %v, want %s", c.name, err, c.want)
		}
	}
}

func TestOversizeCommitIsNotSent(t *testing.T) {
	server := platformtest.Start(t, platform.Options{})
	const overLimit = 4 << 20
	record := core.ConfigRecord{Operator: strings.Repeat("x", overLimit)}
	write := core.Write{Key: core.RowKey{Table: core.TableConfig, ID: "a"}, Record: record}
	_, err := newClient(t, server.URL).Commit(t.Context(), core.Commit{Writes: []core.Write{write}})
	if !errkind.Is(err, errkind.TooLarge) {
		t.Errorf("error %v, want %s", err, errkind.TooLarge)
	}
	if commits := server.Counters().Tables.Commits; commits != 0 {
		t.Errorf("platform got %d commits, want 0", commits)
	}
}

// TestStoredFormat checks the encoded bytes of a record. Processes of an earlier
// version could not read rows that are encoded differently.
func TestStoredFormat(t *testing.T) {
	const stored = `"value":"o2ZOdW1iZXIHZkhvbGRlcmR2bS0xa0luY2FybmF0aW9uAg=="`
	var sent strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, r.ContentLength)
		n, _ := r.Body.Read(body)
		sent.Write(body[:n])
		_, _ = w.Write([]byte(`{"applied":true,"version":1}`))
	}))
	defer server.Close()
	record := core.FenceRecord{Number: 7, Holder: "vm-1", Incarnation: 2}
	write := core.Write{Key: core.RowKey{Table: core.TableFence, ID: "a"}, Record: record}
	if _, err := newClient(t, server.URL).Commit(context.Background(), core.Commit{Writes: []core.Write{write}}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(sent.String(), stored) {
		t.Errorf("sent %s, want it to contain %s", sent.String(), stored)
	}
}
