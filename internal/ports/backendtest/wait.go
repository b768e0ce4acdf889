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

// delay waits for some milliseconds or the end of the context.
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

func refusedBy(server core.VM) error {
	return errkind.New(errkind.ServerRefused, "%s refuses", server.ID)
}

func cutBy(server core.VM) error {
	return errkind.New(errkind.ServerFailed, "%s cut the connection", server.ID)
}

func timeoutOf(server core.VM, err error) error {
	return errkind.Wrap(errkind.Timeout, err, "%s did not answer in time", server.ID)
}
