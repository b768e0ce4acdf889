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
	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/adapters/logwrite"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/adapters/metricstext"
	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/adapters/wallclock"
	"fescuespar/internal/app/relay"
	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/connection"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/metrics"
	"fescuespar/platform/cloud"
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
	storeTimeout      = 3 * time.Second // a slow store still answers within this time
	relayWorkers      = 4
	leaseReclaimDelay = 10 * time.Second        // longer than most store outages during which processes restart
	heapMemoryShare   = 0.6                     // share of the VM's memory for the Go heap
	heldMemoryShare   = 0.35                    // share of the VM's memory for what callers send and what is read for them; on the smallest VM, two thirds of it hold the largest body of 32 MB
	jobMemoryShare    = 0.125                   // share of the VM's memory for the jobs that the process coordinates; on the smallest VM it holds a job of 8 MB while it is read
	logBufferLines    = 4096                    // log lines buffered for standard output; beyond it lines are dropped and counted
	maxCloseTime      = 1500 * time.Millisecond // for answers that are being written when the shutdown is over
	closeReserve      = 500 * time.Millisecond  // part of the shutdown grace reserved for closing connections
)

// Execute runs the service until SIGTERM or SIGINT.
func (*relayCommand) Execute([]string) error {
	loaded, err := settings.Load(os.Getenv(settings.PathVariable))
	if err != nil {
		return err
	}
	log, output := logwrite.New(os.Stdout, string(loaded.VM), zerolog.InfoLevel, logBufferLines)
	defer func() { _ = output.Close() }() // the process exits: there is nowhere left to report an error
	logwrite.RedirectStandard(log)
	debug.SetMemoryLimit(int64(float64(loaded.MemoryBytes) * heapMemoryShare))
	service, servers, err := wireRelay(loaded, log)
	if err != nil {
		return err
	}
	service.Start()
	log.Info().Str("callers", loaded.CallerAddress).Str("zone", string(loaded.Zone)).Str("store", loaded.StoreAddress).
		Int64("memory_bytes", loaded.MemoryBytes).Msg(logs.Started)
	return runRelayUntilSignal(loaded, service, servers, log)
}

// wireRelay connects the adapters to the relay service and starts the HTTP
// servers. The service is not started yet.
func wireRelay(loaded *settings.Settings, log zerolog.Logger) (*relay.Service, []*httpguard.Server, error) {
	incarnation := newIncarnation()
	memory := memorybudget.New(int64(float64(loaded.MemoryBytes) * heldMemoryShare))
	clients := metrics.NewClients()
	direct := store.HideKeys(platformhttp.NewTransport())
	var service *relay.Service
	node, err := detour.Listen(loaded.PeerAddress, loaded.StoreAddress, direct, detour.Limits{
		MaxConnections: connection.BoundsFor(loaded.MemoryBytes, loaded.MaxDescriptors).Peers, Memory: memory,
		Refused: func() { clients.PeersRefused.Inc(1) },
	})
	if err != nil {
		return nil, nil, err
	}
	transport := detour.NewTransport(direct, node, func() detour.Peers {
		near, far := service.PeerAddresses()
		return detour.Peers{SameZone: near, OtherZones: far}
	})
	platform := store.New(transport, loaded.StoreAddress, storeTimeout, loaded.Regions, log)
	node.ServeNewest(platform.NewestAnswer)
	if loaded.Duties.IsActive() {
		platform.ObserveTime(bootclock.Clock{}, func(reading core.StoreTime) { service.ObserveStoreTime(reading) })
	}
	service = relay.New(relay.Options{
		Self: core.Member{
			VM: loaded.VM, Incarnation: incarnation, Zone: loaded.Zone, Region: loaded.Region, CallAddress: loaded.CallerAddress,
			PeerAddress: loaded.PeerAddress, Power: loaded.CPUMillicores,
		},
		Seed: uint64(incarnation), Seeds: loaded.Seeds, Workers: relayWorkers, AddressCacheTime: loaded.AddressCacheTime,
		MinOrderInterval: loaded.MinOrderInterval, GracePeriod: loaded.GracePeriod, RegistryRecovery: loaded.RegistryRecovery, ReclaimPeriod: leaseReclaimDelay,
		MaxResultBytes: loaded.MaxRowBytes * 3 / 4, JobMemory: int64(float64(loaded.MemoryBytes) * jobMemoryShare), StoreReadsPerSecond: loaded.StoreReadsPerSecond, StoreWritesPerSecond: loaded.StoreWritesPerSecond,
		MaxRequests: admission.Capacity(loaded.MemoryBytes, loaded.MaxDescriptors),
		Duties: relay.DutyOptions{
			ReportsUsage: loaded.Duties.UsageReport, CallsPerSecond: loaded.Duties.CallsPerSecond,
			ReportWindow: loaded.Duties.ReportWindow, ReportDue: loaded.Duties.ReportDue,
		},
	}, relay.Ports{
		Tables: platform, Objects: platform, Registry: platform, Bodies: bodycodec.Codec{},
		Backend: worker.New(memory), Clock: bootclock.Clock{}, Memory: memory,
		PlatformAPI: cloud.New(loaded.Duties.Address, bootclock.Clock{}, loaded.Duties.ThawSlack), TimeOfDay: wallclock.Clock{},
	}, log)
	callers := front.New(service, service, bootclock.Clock{}, memory, log)
	servers, err := serveClients(loaded, service, callers, memory, clients, log)
	if err != nil {
		return nil, nil, err
	}
	clients.Register(service.Metrics().Registry, metrics.RelayPrefix, clientGauges(servers, memory))
	return service, servers, nil
}

// serveClients starts the HTTP servers of a process, each with its own bound on
// connections and all with one budget of memory.
func serveClients(loaded *settings.Settings, service *relay.Service, callers *front.Front, memory *memorybudget.Budget, clients *metrics.Clients, log zerolog.Logger) ([]*httpguard.Server, error) {
	bounds := connection.BoundsFor(loaded.MemoryBytes, loaded.MaxDescriptors)
	var servers []*httpguard.Server
	for _, endpoint := range []struct {
		name, address  string
		handler        http.Handler
		maxConnections int
	}{
		{"callers", loaded.CallerAddress, callers.CallerHandler(), bounds.Callers},
		{"directory", loaded.DirectoryAddress, callers.DirectoryHandler(), bounds.Directory},
		{"readiness", loaded.ReadinessAddress, callers.ReadinessHandler(), bounds.Monitoring},
		{"metrics", loaded.MetricsAddress, monitoringHandler(service, log), bounds.Monitoring},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return nil, err
		}
		guard := httpguard.New(httpguard.Options{
			Name: endpoint.name, MaxConnections: endpoint.maxConnections, Memory: memory, Limits: service.Limits,
			Count: countEvents(clients), Log: log,
		})
		server := guard.NewServer(endpoint.handler)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				log.Error().Err(err).Str("address", endpoint.address).Msg("HTTP server failed")
			}
		}()
	}
	return servers, nil
}

// URL paths served on the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// monitoringHandler returns the handler of the metrics address: it serves the
// metrics as text and the state dump as JSON.
func monitoringHandler(service *relay.Service, log zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, metricstext.Handler(service.Metrics().Registry))
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(service.State()); err != nil {
			log.Info().Err(err).Msg("could not write the state dump")
		}
	})
	return mux
}

// reloadInterval is how often the settings file is read again without a signal.
const reloadInterval = 2 * time.Second

// runRelayUntilSignal reloads the settings periodically and on SIGHUP, and shuts
// down on SIGTERM or SIGINT.
func runRelayUntilSignal(loaded *settings.Settings, service *relay.Service, servers []*httpguard.Server, log zerolog.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		var received os.Signal
		select {
		case received = <-signals:
		case <-ticker.C:
		}
		if received == nil || received == syscall.SIGHUP {
			loaded = reloadSettings(loaded, service, received != nil, log)
			continue
		}
		log.Info().Str("signal", received.String()).Msg("shutting down on signal")
		killed := time.Now().Add(loaded.GracePeriod)
		ctx, cancel := context.WithDeadline(context.Background(), killed.Add(-closeReserve))
		service.Shutdown(ctx)
		cancel()
		// The last answers may still be on their way over a slow link.
		closeTimeout := min(maxCloseTime, time.Until(killed)-closeReserve/2)
		closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
		for _, server := range servers {
			if err := server.Shutdown(closeCtx); err != nil {
				log.Info().Err(err).Msg("connections closed with requests in flight")
			}
		}
		cancelClose()
		service.Stop()
		return nil
	}
}

// reloadSettings reads the settings file again and applies the settings that a
// running process can change. It returns the new settings, or the current ones
// when the file cannot be read. requested says that a signal caused the reload.
func reloadSettings(current *settings.Settings, service *relay.Service, requested bool, log zerolog.Logger) *settings.Settings {
	loaded, err := settings.Load(os.Getenv(settings.PathVariable))
	if err != nil {
		log.Error().Err(err).Msg("could not reload the settings; keeping the current ones")
		return current
	}
	changed := !reflect.DeepEqual(loaded, current)
	if requested || changed {
		log.Info().Bool("asked", requested).Bool("changed", changed).
			Bool("needs_start", !reflect.DeepEqual(loaded.WithoutReloadable(), current.WithoutReloadable())).Msg("reload")
	}
	service.Reconfigure(loaded.AddressCacheTime, loaded.GracePeriod)
	return loaded
}
