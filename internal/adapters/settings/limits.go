package settings

import (
	"time"

	"fescuespar/internal/adapters/stricttoml"
)

// Allowed ranges of counts, sizes in bytes and durations.
const (
	maxWorkers     = 1024
	maxQueueLength = 1 << 20
	maxInFlight    = 1 << 16
	maxWaiting     = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	maxHeaderBytes = 1 << 20
	minHeldBytes   = 1 << 20
	maxHeldBytes   = 1 << 40
	minConnections = 16
	maxConnections = 1 << 20
	minInterval    = time.Millisecond
	maxInterval    = time.Minute
	maxRetention   = time.Hour
	minReadTimeout = 100 * time.Millisecond
	maxReadTimeout = time.Hour
)

func readWorkers(r *stricttoml.Reader, w *Workers) {
	stricttoml.Integer(r, "count", &w.Count, stricttoml.Optional, stricttoml.Range[int]{Min: 1, Max: maxWorkers})
	stricttoml.Integer(r, "queue_length", &w.QueueLength, stricttoml.Optional, stricttoml.Range[int]{Min: 1, Max: maxQueueLength})
	r.Finish()
}

func readLanes(r *stricttoml.Reader, l *Lanes) {
	readLane(r.Section("table"), &l.Table)
	readLane(r.Section("engines"), &l.Engines)
	readLane(r.Section("plain"), &l.Plain)
	readLane(r.Section("scorers"), &l.Scorers)
	readLane(r.Section("peers"), &l.Peers)
	r.Finish()
}

func readLane(r *stricttoml.Reader, l *Lane) {
	stricttoml.Integer(r, "in_flight", &l.InFlight, stricttoml.Optional, stricttoml.Range[int]{Min: 1, Max: maxInFlight})
	stricttoml.Integer(r, "waiting", &l.Waiting, stricttoml.Optional, stricttoml.Range[int]{Min: 0, Max: maxWaiting})
	r.Finish()
}

func readIntervals(r *stricttoml.Reader, i *Intervals) {
	interval := stricttoml.Range[time.Duration]{Min: minInterval, Max: maxInterval}
	retention := stricttoml.Range[time.Duration]{Min: minInterval, Max: maxRetention}
	stricttoml.Duration(r, "vm_list_poll", &i.VMListPoll, stricttoml.Optional, interval)
	stricttoml.Duration(r, "engine_status_poll", &i.EngineStatusPoll, stricttoml.Optional, interval)
	stricttoml.Duration(r, "configuration_poll", &i.ConfigurationPoll, stricttoml.Optional, interval)
	stricttoml.Duration(r, "lease_term", &i.LeaseTerm, stricttoml.Optional, interval)
	stricttoml.Duration(r, "lease_renewal", &i.LeaseRenewal, stricttoml.Optional, interval)
	stricttoml.Duration(r, "order_timeout", &i.OrderTimeout, stricttoml.Optional, interval)
	stricttoml.Duration(r, "address_keep", &i.AddressCacheTime, stricttoml.Optional, retention)
	stricttoml.Duration(r, "answer_keep", &i.AnswerRetention, stricttoml.Optional, retention)
	r.Finish()
}

func readBodyLimits(r *stricttoml.Reader, b *BodyLimits) {
	body := stricttoml.Range[int64]{Min: minBodyBytes, Max: maxBodyBytes}
	stricttoml.Size(r, "request", &b.MaxBodyBytes, stricttoml.Optional, body)
	stricttoml.Size(r, "header", &b.MaxHeaderBytes, stricttoml.Optional, stricttoml.Range[int64]{Min: minBodyBytes, Max: maxHeaderBytes})
	stricttoml.Duration(r, "arrival", &b.ReadTimeout, stricttoml.Optional, stricttoml.Range[time.Duration]{Min: minReadTimeout, Max: maxReadTimeout})
	stricttoml.Size(r, "memory", &b.MaxHeldBytes, stricttoml.Optional, stricttoml.Range[int64]{Min: minHeldBytes, Max: maxHeldBytes})
	stricttoml.Integer(r, "connections", &b.MaxConnections, stricttoml.Optional, stricttoml.Range[int]{Min: minConnections, Max: maxConnections})
	r.Finish()
}
