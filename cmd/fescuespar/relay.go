package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/adapters/bootclock"
	"fescuespar/internal/adapters/detour"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/adapters/logwrite"
	"fescuespar/internal/adapters/metricstext"
	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/app/relay"
	"fescuespar/internal/core"
	"fescuespar/internal/core/logs"
	"fescuespar/platform/front"
	"fescuespar/platform/settings"
	"fescuespar/platform/store"
	"fescuespar/platform/worker"
)

// relayCommand runs the service on an entry VM of the users' platform.
type relayCommand struct{}

func init() {
	register("relay", "Run the service on an entry VM of the users' platform until SIGTERM; "+
		settings.PathVariable+" names the settings file. Example: fescuespar relay", &relayCommand{})
}

const (
	storeTimeout  = 3 * time.Second // a slow store answers within it
	relayWorkers  = 4
	reclaimTime   = 10 * time.Second // longer than most outages of the store in which processes restart
	memoryShare   = 0.6              // of the VM's memory that the heap may take
	bodyShare     = 0.2              // of it that bodies of callers may take
	logLines      = 4096             // lines that wait for standard output; further ones are dropped and counted
	headerBytes   = 1 << 16          // of a caller's header; routes' own limit is lower
	headerArrival = 10 * time.Second
	closeAfter    = 500 * time.Millisecond // of the grace, kept for closing connections
)

// Execute runs until a signal asks for the shutdown.
func (*relayCommand) Execute([]string) error {
	loaded, err := settings.Load(os.Getenv(settings.PathVariable))
	if err != nil {
		return err
	}
	log, output := logwrite.New(os.Stdout, string(loaded.VM), zerolog.InfoLevel, logLines)
	defer func() { _ = output.Close() }() // the process ends: nothing is left to tell it to
	logwrite.Standard(log)
	debug.SetMemoryLimit(int64(float64(loaded.MemoryBytes) * memoryShare))
	service, servers, err := wireRelay(loaded, log)
	if err != nil {
		return err
	}
	service.Start()
	log.Info().Str("callers", loaded.Callers).Str("zone", string(loaded.Zone)).Str("store", loaded.Store).
		Int64("memory_bytes", loaded.MemoryBytes).Msg(logs.Started)
	return relayUntilSignal(loaded, service, servers, log)
}

func wireRelay(loaded *settings.Settings, log zerolog.Logger) (*relay.Service, []*http.Server, error) {
	incarnation := newIncarnation()
	direct := platformhttp.NewTransport()
	node, err := detour.Listen(loaded.Peers, loaded.Store, direct)
	if err != nil {
		return nil, nil, err
	}
	var service *relay.Service
	way := detour.NewWay(direct, node, func() detour.Peers {
		near, far := service.PeerAddresses()
		return detour.Peers{Near: near, Far: far}
	})
	platform := store.New(way, loaded.Store, storeTimeout, loaded.Regions, log)
	service = relay.New(relay.Options{
		Self: core.Member{
			VM: loaded.VM, Incarnation: incarnation, Zone: loaded.Zone, Region: loaded.Region, CallAddress: loaded.Callers,
			PeerAddress: loaded.Peers, Power: loaded.Power,
		},
		Seed: uint64(incarnation), Seeds: loaded.Seeds, Workers: relayWorkers, AddressKeep: loaded.AddressKeep,
		OrdersApart: loaded.OrdersApart, Grace: loaded.Grace, RegistryBack: loaded.RegistryBack, Reclaim: reclaimTime,
		ResultBytes: loaded.RowBytes * 3 / 4, StoreReads: loaded.StoreReads,
	}, relay.Ports{
		Tables: platform, Objects: platform, Registry: platform, Bodies: bodycodec.Codec{},
		Backend: worker.New(), Clock: bootclock.Clock{},
	}, log)
	bodies := int64(float64(loaded.MemoryBytes) * bodyShare)
	callers := front.New(service, service, bootclock.Clock{}, bodies, log)
	var servers []*http.Server
	for _, served := range []struct {
		address string
		handler http.Handler
	}{
		{loaded.Callers, callers.Callers()}, {loaded.Directory, callers.Directory()}, {loaded.Ready, callers.Readiness()},
		{loaded.Metrics, observation(service, log)},
	} {
		if served.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", served.address)
		if err != nil {
			return nil, nil, err
		}
		server := httpfront.NewServer(served.handler, httpfront.ServerLimits{HeaderBytes: headerBytes, Arrival: headerArrival})
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				log.Error().Err(err).Str("address", served.address).Msg("serving ended")
			}
		}()
	}
	return service, servers, nil
}

// Paths on the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// observation returns the handler for those who watch a process: its metrics as
// text and the dump of its state as JSON.
func observation(service *relay.Service, log zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, metricstext.Handler(service.Metrics().Registry))
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(service.State()); err != nil {
			log.Info().Err(err).Msg("state not written")
		}
	})
	return mux
}

// reloadEvery is how often the settings file is looked at without a signal.
const reloadEvery = 2 * time.Second

func relayUntilSignal(loaded *settings.Settings, service *relay.Service, servers []*http.Server, log zerolog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	look := time.NewTicker(reloadEvery)
	defer look.Stop()
	for {
		var received os.Signal
		select {
		case received = <-signals:
		case <-look.C:
		}
		if received == nil || received == syscall.SIGHUP {
			loaded = reload(loaded, service, received != nil, log)
			continue
		}
		log.Info().Str("signal", received.String()).Msg("stop asked for")
		ctx, cancel := context.WithTimeout(context.Background(), loaded.Grace-closeAfter)
		service.Shutdown(ctx)
		cancel()
		closing, cancelClose := context.WithTimeout(context.Background(), closeAfter/2)
		for _, server := range servers {
			if err := server.Shutdown(closing); err != nil {
				log.Info().Err(err).Msg("connections closed with requests in flight")
			}
		}
		cancelClose()
		service.Stop()
		return nil
	}
}

// reload reads the settings again and takes what a running process can. Settings
// that cannot be read leave those in use as they are.
func reload(used *settings.Settings, service *relay.Service, asked bool, log zerolog.Logger) *settings.Settings {
	read, err := settings.Load(os.Getenv(settings.PathVariable))
	if err != nil {
		log.Error().Err(err).Msg("changed settings are not taken")
		return used
	}
	changed := !reflect.DeepEqual(read, used)
	if asked || changed {
		log.Info().Bool("asked", asked).Bool("changed", changed).
			Bool("needs_start", !reflect.DeepEqual(read.Fixed(), used.Fixed())).Msg("reload")
	}
	service.Retime(read.AddressKeep, read.Grace)
	return read
}
