package app

import (
	"context"
	"time"

	"fescuespar/internal/errkind"
	"fescuespar/internal/workers"
)

// controlTimeout bounds one short call to the platform, a peer or an engine's
// control interface.
const controlTimeout = 5 * time.Second

// runOn runs a call on a lane under a timeout and waits for it. It is for the
// goroutines of front ends and peers only; a step must not wait.
func runOn[T any](ctx context.Context, lane *workers.Lane, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var none T
	result := make(chan outcome, 1)
	err := lane.Go(func(laneCtx context.Context) {
		callCtx, cancel := context.WithTimeout(laneCtx, timeout)
		defer cancel()
		value, err := call(callCtx)
		result <- outcome{value, err}
	})
	if err != nil {
		return none, err
	}
	select {
	case o := <-result:
		return o.value, o.err
	case <-ctx.Done():
		return none, errkind.Wrap(errkind.Canceled, ctx.Err(), "the sender left")
	}
}
