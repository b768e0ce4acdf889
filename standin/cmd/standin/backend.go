package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/httpjson"
	"fescuespar/standin/platform"
)

// Timeouts of a stand-in server.
const (
	shutdownTimeout = 10 * time.Second // limit for requests in flight during shutdown
	idleTimeout     = 2 * time.Minute  // of idle connections; longer than the clients' idle timeout
)

// vmFlags are the flags that register a stand-in in the platform's VM list.
type vmFlags struct {
	Platform string        `long:"vm-platform" description:"base URL of the platform; empty skips registration"`
	ID       string        `long:"vm-id" description:"id in the VM list"`
	Service  string        `long:"vm-service" description:"model or service that the VM serves"`
	Zone     string        `long:"vm-zone" description:"availability zone"`
	Region   string        `long:"vm-region" description:"region"`
	Leave    time.Duration `long:"vm-leave" description:"time from marking the VM as leaving to shutdown"`
}

// backend is a stand-in that serves HTTP and is registered as a VM.
type backend struct {
	kind   core.ServerKind
	listen string
	vm     vmFlags
}

// serve registers the VM, prints the line "listening HOST:PORT" and serves
// until SIGTERM or SIGINT. Then it marks the VM as leaving, waits for the
// configured time, finishes the requests in flight and removes the VM from the
// list.
func (b backend) serve(handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", b.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, IdleTimeout: idleTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	address := listener.Addr().String()
	if err := b.register(address, core.VMLive); err != nil {
		return errors.Join(err, server.Close())
	}
	fmt.Println("listening", address)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return b.shutDown(server, address)
	}
}

func (b backend) shutDown(server *http.Server, address string) error {
	markErr := b.register(address, core.VMLeaving)
	sleepErr := httpjson.Sleep(context.Background(), b.vm.Leave)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Join(markErr, sleepErr, server.Shutdown(ctx), b.unregister())
}

func (b backend) register(address string, state core.VMState) error {
	if b.vm.Platform == "" {
		return nil
	}
	return platform.NewClient(b.vm.Platform).AddVM(context.Background(), core.VM{
		ID: core.ServerID(b.vm.ID), Kind: b.kind, Service: b.vm.Service, Address: address,
		Zone: core.ZoneName(b.vm.Zone), Region: core.RegionName(b.vm.Region), State: state,
	})
}

func (b backend) unregister() error {
	if b.vm.Platform == "" {
		return nil
	}
	return platform.NewClient(b.vm.Platform).RemoveVM(context.Background(), core.ServerID(b.vm.ID))
}
