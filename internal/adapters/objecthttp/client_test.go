package objecthttp_test

import (
	"testing"
	"time"

	"fescuespar/internal/adapters/objecthttp"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest"
	"fescuespar/standin/platform"
	"fescuespar/standin/platform/platformtest"
)

const callTimeout = 10 * time.Second

func newClient(t *testing.T, url string) *objecthttp.Client {
	client := objecthttp.New(url, callTimeout)
	t.Cleanup(client.Close)
	return client
}

func TestClientConformance(t *testing.T) {
	porttest.ObjectStore(t, func(t *testing.T) porttest.ObjectHarness {
		server := platformtest.Start(t, platform.Options{})
		return porttest.ObjectHarness{Store: newClient(t, server.URL), Control: server}
	})
}

func TestObjectAboveSizeLimitIsRefused(t *testing.T) {
	const limit = 100
	server := platformtest.Start(t, platform.Options{MaxObjectBytes: limit})
	client := newClient(t, server.URL)
	if err := client.Put(t.Context(), "a", make([]byte, limit+1)); !errkind.Is(err, errkind.TooLarge) {
		t.Errorf("Put: error %v, want %s", err, errkind.TooLarge)
	}
	if _, err := client.Get(t.Context(), "a"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("Get: error %v, want %s", err, errkind.NotFound)
	}
}
