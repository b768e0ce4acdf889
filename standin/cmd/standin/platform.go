package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"fescuespar/standin/platform"
)

// platformCommand runs the platform stand-in until SIGINT or SIGTERM.
type platformCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on; port 0 selects a free one"`
	VMListLag   time.Duration `long:"vm-list-lag" description:"delay with which changes appear in the served VM list"`
	WeightRate  int64         `long:"weight-rate" description:"bytes per second sent by the weight store; 0 disables the limit"`
	WeightBurst int64         `long:"weight-burst" description:"bytes that may exceed the weight store's rate in a burst"`
}

// platformStopTimeout limits the wait for requests in flight during shutdown.
const platformStopTimeout = 2 * time.Second

func init() {
	register("platform", "Run the stand-in for tables, objects, VM list and weights", &platformCommand{})
}

// Execute implements flags.Commander. It prints the line "listening HOST:PORT"
// and serves.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	handler := platform.New(platform.Options{
		VMListLag:   c.VMListLag,
		WeightRate:  c.WeightRate,
		WeightBurst: c.WeightBurst,
	})
	defer handler.Close()
	fmt.Println("listening", listener.Addr())
	return servePlatform(ctx, listener, handler)
}

// servePlatform serves until the context ends, then waits for the requests in
// flight.
func servePlatform(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: platformStopTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), platformStopTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
