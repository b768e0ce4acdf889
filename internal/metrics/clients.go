package metrics

import gometrics "github.com/rcrowley/go-metrics"

// RelayPrefix begins the names of the metrics of relay processes.
const RelayPrefix = "relay."

// Clients counts what a process did to clients outside the limits, and to senders at the
// port of its peers. Its adapters update it.
type Clients struct {
	ConnectionsRefused gometrics.Counter // too many were open
	ConnectionsClosed  gometrics.Counter // for new ones
	HeadsTooLarge      gometrics.Counter
	HeadsTooSlow       gometrics.Counter
	BodiesTooSlow      gometrics.Counter
	AnswersUnread      gometrics.Counter
	NoMemory           gometrics.Counter // requests that were refused or ended for want of memory
	AmbiguousLengths   gometrics.Counter
	PeersRefused       gometrics.Counter // connections of peers that were refused, or closed for new ones
}

// ClientGauges read what clients and peers make the process hold.
type ClientGauges struct {
	Connections func() int64 // open connections of clients
	HeldBytes   func() int64
}

// NewClients returns zeroed counters that are not registered yet.
func NewClients() *Clients {
	c := &Clients{}
	for _, counter := range c.counters() {
		*counter = gometrics.NewCounter()
	}
	return c
}

// counters returns the counters by their metric names.
func (c *Clients) counters() map[string]*gometrics.Counter {
	return map[string]*gometrics.Counter{
		"clients.refused": &c.ConnectionsRefused, "clients.closed": &c.ConnectionsClosed,
		"clients.large_heads": &c.HeadsTooLarge, "clients.slow_heads": &c.HeadsTooSlow, "clients.slow_bodies": &c.BodiesTooSlow,
		"clients.unread_answers": &c.AnswersUnread, "clients.no_memory": &c.NoMemory, "clients.ambiguous": &c.AmbiguousLengths,
		"clients.peers_refused": &c.PeersRefused,
	}
}

// byName returns the gauges by their metric names.
func (g ClientGauges) byName() map[string]func() int64 {
	return map[string]func() int64{"clients.connections": g.Connections, "clients.held_bytes": g.HeldBytes}
}

// Register registers the counters and the gauges under names with a prefix.
func (c *Clients) Register(registry gometrics.Registry, prefix string, gauges ClientGauges) {
	for name, counter := range c.counters() {
		if err := registry.Register(prefix+name, *counter); err != nil {
			panic(err) // two metrics have the same name, which is a bug
		}
	}
	for name, read := range gauges.byName() {
		gometrics.NewRegisteredFunctionalGauge(prefix+name, registry, read)
	}
}
