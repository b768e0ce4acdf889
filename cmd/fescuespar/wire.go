package main

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/adapters/callerhttp"
	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/adapters/objecthttp"
	"fescuespar/internal/adapters/operatorhttp"
	"fescuespar/internal/adapters/peerquic"
	"fescuespar/internal/adapters/plainhttp"
	"fescuespar/internal/adapters/scorerhttp"
	"fescuespar/internal/adapters/settings"
	"fescuespar/internal/adapters/tablehttp"
	"fescuespar/internal/adapters/trainerhttp"
	"fescuespar/internal/adapters/vmlisthttp"
	"fescuespar/internal/app"
	"fescuespar/internal/core"
)

// platformTimeout bounds one call to the platform; backendTimeout bounds one
// short call to the control interface of a backend server.
const (
	platformTimeout = 3 * time.Second
	backendTimeout  = 3 * time.Second
)

// entryProcess holds the components of an entry process.
type entryProcess struct {
	service  *app.Service
	peers    *peerquic.Node
	self     core.Member
	listener net.Listener
	handler  http.Handler
}

// systemClock implements ports.Clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// wireEntry binds the listeners and connects the adapters to the ports. The
// service is not started yet.
func wireEntry(loaded *settings.Settings, log zerolog.Logger) (*entryProcess, error) {
	identity, err := keys.Load(keys.Files{
		Authority: loaded.TLS.Authority, Certificate: loaded.TLS.Certificate, Key: loaded.TLS.Key,
	})
	if err != nil {
		return nil, err
	}
	node, err := peerquic.Listen(loaded.Listen.Peers, identity)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loaded.Listen.Callers)
	if err != nil {
		return nil, err
	}
	self := core.Member{
		VM: loaded.VM, Incarnation: newIncarnation(), Zone: loaded.Zone, Region: loaded.Region,
		CallAddress: advertisedAddress(loaded.Advertise.Callers, listener.Addr()),
		PeerAddress: loaded.Advertise.Peers,
	}
	if self.PeerAddress == "" {
		self.PeerAddress = node.Address()
	}
	service := app.New(appOptions(loaded, self), newPorts(loaded, node, identity), log)
	if err := node.Serve(service); err != nil {
		return nil, err
	}
	handler, err := newHandler(loaded, service, log)
	if err != nil {
		return nil, err
	}
	return &entryProcess{service: service, peers: node, self: self, listener: listener, handler: handler}, nil
}

// newPorts creates the adapters for the ports of the service.
func newPorts(loaded *settings.Settings, node *peerquic.Node, identity *keys.Identity) app.Ports {
	return app.Ports{
		Tables:      tablehttp.New(loaded.Platform.Table, platformTimeout),
		Objects:     objecthttp.New(loaded.Platform.Objects, platformTimeout),
		VMs:         vmlisthttp.New(loaded.Platform.VMList, platformTimeout),
		Engine:      enginehttp.New(backendTimeout),
		Plain:       plainhttp.New(backendTimeout),
		Scorer:      scorerhttp.New(backendTimeout),
		BodyCodec:   bodycodec.Codec{},
		Peers:       node,
		Clock:       systemClock{},
		Certificate: identity,
	}
}

func appOptions(loaded *settings.Settings, self core.Member) app.Options {
	return app.Options{
		Self: self, Seeds: loaded.Seeds, Seed: uint64(self.Incarnation),
		Workers: loaded.Workers.Count, QueueLength: loaded.Workers.QueueLength,
		Streams:            laneOptions(loaded.Lanes.Engines),
		PlainCalls:         laneOptions(loaded.Lanes.Plain),
		Scoring:            laneOptions(loaded.Lanes.Scorers),
		Table:              laneOptions(loaded.Lanes.Table),
		Peers:              laneOptions(loaded.Lanes.Peers),
		AnswerRetention:    loaded.Intervals.AnswerRetention,
		AddressCacheTime:   loaded.Intervals.AddressCacheTime,
		VMListInterval:     loaded.Intervals.VMListPoll,
		StatusInterval:     loaded.Intervals.EngineStatusPoll,
		ConfigInterval:     loaded.Intervals.ConfigurationPoll,
		LeaseTerm:          loaded.Intervals.LeaseTerm,
		LeaseRenewInterval: loaded.Intervals.LeaseRenewal,
		OrderTimeout:       loaded.Intervals.OrderTimeout,
	}
}

func laneOptions(l settings.Lane) app.LaneOptions {
	return app.LaneOptions{MaxInFlight: l.InFlight, MaxWaiting: l.Waiting}
}

func newHandler(loaded *settings.Settings, service *app.Service, log zerolog.Logger) (http.Handler, error) {
	front := httpfront.New(httpfront.Options{
		Tokens: auth.New(authTokens(loaded.Tokens)), BodyLimit: loaded.BodyLimits.MaxBodyBytes,
		NewRequestID: service.NewRequestID,
		OnPanic: func(value any, stack []byte) {
			log.Error().Any("panic", value).Bytes("stack", stack).Msg("handler panicked")
		},
	})
	callerhttp.Register(front, service)
	trainerhttp.Register(front, service)
	operatorhttp.Register(front, service, service.Metrics().Values)
	return front.Handler()
}

func authTokens(loaded []settings.Token) []auth.Token {
	var accepted []auth.Token
	for _, token := range loaded {
		accepted = append(accepted, auth.Token{
			Identity: auth.Identity{Role: auth.Role(token.Role), Name: string(token.Name)},
			Secret:   string(token.Value),
		})
	}
	return accepted
}
