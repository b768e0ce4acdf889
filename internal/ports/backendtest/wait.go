package backendtest

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// contextError returns the error for a call whose context has ended.
func contextError(ctx context.Context, server core.VM) error {
	return errkind.Wrap(errkind.Of(ctx.Err()), ctx.Err(), "call to %s", server.ID)
}

// delay waits for the given milliseconds. It returns an error if the context ends
// first.
func delay(ctx context.Context, server core.VM, millis int) error {
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx, server)
	}
}

func refusedError(server core.VM) error {
	return errkind.New(errkind.ServerRefused, "server %s refused the call", server.ID)
}

func connectionCutError(server core.VM) error {
	return errkind.New(errkind.ServerFailed, "server %s closed the connection before the end of its reply", server.ID)
}

func timeoutError(server core.VM, err error) error {
	return errkind.Wrap(errkind.Timeout, err, "server %s did not answer in time", server.ID)
}
