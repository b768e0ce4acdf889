package main

import (
	gometrics "github.com/rcrowley/go-metrics"

	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/metrics"
)

// countEvents returns the function that counts the events of guards.
func countEvents(c *metrics.Clients) func(httpguard.Event) {
	counters := map[httpguard.Event]gometrics.Counter{
		httpguard.ConnectionRefused: c.ConnectionsRefused, httpguard.ConnectionClosed: c.ConnectionsClosed,
		httpguard.HeadTooLarge: c.HeadsTooLarge, httpguard.HeadTooSlow: c.HeadsTooSlow, httpguard.BodyTooSlow: c.BodiesTooSlow,
		httpguard.AnswerUnread: c.AnswersUnread, httpguard.NoMemory: c.NoMemory, httpguard.Ambiguous: c.AmbiguousLengths,
	}
	return func(e httpguard.Event) { counters[e].Inc(1) }
}

// clientGauges returns the gauges of servers and of the memory that they share.
func clientGauges(servers []*httpguard.Server, memory *memorybudget.Budget) metrics.ClientGauges {
	return metrics.ClientGauges{
		Connections: func() int64 {
			open := 0
			for _, server := range servers {
				open += server.Guard.Connections()
			}
			return int64(open)
		},
		HeldBytes: func() int64 { return memory.State().Held },
	}
}
