package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"fescuespar/internal/core"
)

// Bounds of a stand-in server's life.
const (
	platformTimeout = 10 * time.Second // of one call to the platform
	shutdownTimeout = 10 * time.Second // for requests in flight
	idleTimeout     = 2 * time.Minute  // of kept connections; clients drop them earlier
)

// vmFlags registers a stand-in in the platform's VM list.
type vmFlags struct {
	Platform string        `long:"vm-platform" description:"base URL of the platform; empty registers nowhere"`
	ID       string        `long:"vm-id" description:"id in the VM list"`
	Service  string        `long:"vm-service" description:"model or service that the VM runs"`
	Zone     string        `long:"vm-zone" description:"availability zone"`
	Region   string        `long:"vm-region" description:"region"`
	Leave    time.Duration `long:"vm-leave" description:"time between being marked as leaving and stopping"`
}

// vmRow is a VM as the platform takes it.
type vmRow struct {
	ID      string          `json:"id"`
	Kind    core.ServerKind `json:"kind"`
	Service string          `json:"service"`
	Address string          `json:"address"`
	Zone    string          `json:"zone"`
	Region  string          `json:"region"`
	State   core.VMState    `json:"state"`
}

// backend is a stand-in that serves HTTP and is listed as a VM.
type backend struct {
	kind   core.ServerKind
	listen string
	vm     vmFlags
}

// serve registers the VM, prints the line "listening HOST:PORT" and serves until SIGTERM or SIGINT. Then it marks the VM as leaving, waits,
// finishes the requests in flight and removes the VM.
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
		return b.leave(server, address)
	}
}

func (b backend) leave(server *http.Server, address string) error {
	listed := b.register(address, core.VMLeaving)
	time.Sleep(b.vm.Leave)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Join(listed, server.Shutdown(ctx), b.remove())
}

func (b backend) register(address string, state core.VMState) error {
	raw, err := json.Marshal(vmRow{
		ID: b.vm.ID, Kind: b.kind, Service: b.vm.Service, Address: address,
		Zone: b.vm.Zone, Region: b.vm.Region, State: state,
	})
	if err != nil {
		return err
	}
	return b.callPlatform(http.MethodPost, "/control/vms", raw)
}

func (b backend) remove() error {
	return b.callPlatform(http.MethodDelete, "/control/vms/"+b.vm.ID, nil)
}

func (b backend) callPlatform(method, path string, body []byte) error {
	if b.vm.Platform == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, b.vm.Platform+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("platform answered %s to %s %s", response.Status, method, path)
	}
	return nil
}
