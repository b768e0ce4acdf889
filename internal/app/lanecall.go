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

// callOnLane runs a call on a lane under a timeout and waits for it. Only
// goroutines of front ends and peers may use it, since a step must not wait.
func callOnLane[T any](ctx context.Context, lane *workers.Lane, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var zero T
	result := make(chan outcome, 1)
	err := lane.Go(func(laneCtx context.Context) {
		callCtx, cancel := context.WithTimeout(laneCtx, timeout)
		defer cancel()
		value, err := call(callCtx)
		result <- outcome{value, err}
	})
	if err != nil {
		return zero, err
	}
	select {
	case o := <-result:
		return o.value, o.err
	case <-ctx.Done():
		return zero, errkind.Wrap(errkind.Canceled, ctx.Err(), "caller stopped waiting for the answer")
	}
}
