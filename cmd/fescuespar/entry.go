package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/adapters/logwrite"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/adapters/settings"
	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/metrics"
)

// entryCommand runs the service on an entry VM.
type entryCommand struct {
	Settings flags.Filename `long:"settings" required:"yes" value-name:"FILE" description:"TOML settings of this entry process"`
}

func init() {
	register("entry", "Run the service on an entry VM until SIGTERM. Example: fescuespar entry --settings entry.toml", &entryCommand{})
}

// closeTimeout bounds the time to close connections after the service has shut
// down.
const closeTimeout = 5 * time.Second

// Execute runs the service until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	loaded, err := settings.Load(string(c.Settings))
	if err != nil {
		return err
	}
	log, output := newLogger(loaded)
	defer func() { _ = output.Close() }() // the process exits: there is nowhere left to report an error
	logwrite.RedirectStandard(log)
	parts, err := wireEntry(loaded, log)
	if err != nil {
		return err
	}
	memory, clients := memorybudget.New(loaded.BodyLimits.MaxHeldBytes), metrics.NewClients()
	server := httpfront.NewServer(parts.handler, httpfront.ServerLimits{
		MaxHeaderBytes: int(loaded.BodyLimits.MaxHeaderBytes), ReadTimeout: loaded.BodyLimits.ReadTimeout,
		MaxConnections: loaded.BodyLimits.MaxConnections, Memory: memory, Count: countEvents(clients), Log: log,
	})
	clients.Register(parts.service.Metrics().Registry, "", clientGauges([]*httpguard.Server{server}, memory))
	parts.peers.OnRefusal(func() { clients.PeersRefused.Inc(1) })
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(parts.listener) }()
	parts.service.Start()
	log.Info().Str("callers", parts.self.CallAddress).Str("peers", parts.self.PeerAddress).Msg("serving")
	return c.runUntilSignal(loaded, parts, server, serveErrors, log)
}

// runUntilSignal logs the state on SIGUSR1 and shuts down on SIGTERM or SIGINT.
// Errors: Internal when the server for callers fails.
func (c *entryCommand) runUntilSignal(loaded *settings.Settings, parts *entryProcess, server *httpguard.Server, serveErrors <-chan error, log zerolog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for {
		select {
		case err := <-serveErrors:
			return errkind.Wrap(errkind.Internal, err, "serve callers")
		case received := <-signals:
			if received == syscall.SIGUSR1 {
				logState(parts.service, log)
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), loaded.Intervals.AddressCacheTime+drainTimeout)
			defer cancel()
			parts.service.Shutdown(ctx)
			closeCtx, closeCancel := context.WithTimeout(context.Background(), closeTimeout)
			defer closeCancel()
			_ = server.Shutdown(closeCtx)
			parts.peers.Shutdown(closeCtx)
			return nil
		}
	}
}

// drainTimeout bounds the wait for requests in flight during a shutdown.
const drainTimeout = 10 * time.Minute

func newLogger(loaded *settings.Settings) (zerolog.Logger, io.Closer) {
	level, err := zerolog.ParseLevel(string(loaded.LogLevel))
	if err != nil {
		level = zerolog.InfoLevel
	}
	return logwrite.New(os.Stdout, string(loaded.VM), level, logBufferLines)
}

func logState(service *app.Service, log zerolog.Logger) {
	encoded, err := json.Marshal(service.State())
	if err != nil {
		log.Error().Err(err).Msg("state dump failed")
		return
	}
	log.Info().RawJSON("state", encoded).Msg("state dump")
}

// advertisedAddress returns the address announced to callers: the configured
// one, or the one that the listener is bound to if none is configured.
func advertisedAddress(configured string, bound net.Addr) string {
	if configured != "" {
		return configured
	}
	return bound.String()
}

// newIncarnation returns the number of this start of the process, the present
// time in ms. Later starts have larger numbers as long as the VM's clock is not
// set back between them.
func newIncarnation() core.Incarnation {
	return core.Incarnation(time.Now().UnixMilli())
}
