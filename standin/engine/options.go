// Package engine is a stand-in for a model engine. It batches streams, caches
// prompt prefixes, reports its status with a delay, executes orders and
// injects faults. It generates the tokens defined by package tokens.
package engine

import (
	"context"
	"time"

	"fescuespar/internal/core"
)

// Fencing defines how an engine handles an order whose fencing number is lower
// than the highest one it has received.
type Fencing string

// Values of Fencing.
const (
	FencingChecks  Fencing = "checks"  // the engine refuses the order
	FencingIgnores Fencing = "ignores" // the engine executes the order
)

// Options configures an engine. Fields with a default below may be zero.
type Options struct {
	Model   core.ModelName
	Adapter core.AdapterName
	Version core.WeightVersion
	Fencing Fencing // default FencingChecks

	ExtraAdapters int // number of adapters the engine can hold in addition to Adapter; zero for none

	MaxRunning    int           // maximum number of streams in the batch
	MaxQueued     int           // maximum number of streams waiting to enter the batch
	StepInterval  time.Duration // time between two steps of the batch
	TokensPerStep int           // tokens generated per stream and step
	PrefillBytes  int           // bytes of prompt processed per stream and step

	CacheBlocks int           // capacity of the prefix cache, in blocks
	EventDelay  time.Duration // delay before a cache event is reported
	EventGap    int           // every EventGap-th cache event is dropped; zero drops none

	ReportInterval  time.Duration // age of the reported status; zero reports the current status
	LoadTime        time.Duration // time to load a version or model
	StreamRetention time.Duration // how long a stream without a reader is kept

	// FetchWeights downloads the weights of a version before they are loaded.
	// Nil loads without downloading.
	FetchWeights func(ctx context.Context, version core.WeightVersion) error
	// Exit terminates the process on an injected crash. If nil, the handler
	// closes all streams and refuses all requests until Revive instead.
	Exit func()
}

// Defaults of Options.
const (
	defaultMaxRunning      = 16
	defaultMaxQueued       = 256
	defaultStepInterval    = time.Millisecond
	defaultTokensPerStep   = 1
	defaultPrefillBytes    = 4096
	defaultCacheBlocks     = 256
	defaultStreamRetention = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Fencing, FencingChecks)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	setDefault(&o.StepInterval, defaultStepInterval)
	setDefault(&o.TokensPerStep, defaultTokensPerStep)
	setDefault(&o.PrefillBytes, defaultPrefillBytes)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.StreamRetention, defaultStreamRetention)
	return o
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Faults are the faults to inject. They remain in effect until replaced,
// except those marked "once".
type Faults struct {
	DelayMillis    int    `json:"delay_ms"`         // delay before each answer
	Refuse         bool   `json:"refuse"`           // refuse streams and orders
	CutAfter       int    `json:"cut_after"`        // once: close a connection after this many tokens
	HoldAfter      int    `json:"hold_after"`       // pause streams that have this many tokens
	CrashMarker    string `json:"crash_marker"`     // crash when a prompt that contains this text is run
	Freeze         bool   `json:"freeze"`           // answer no request and generate no tokens
	FailNextSwap   bool   `json:"fail_next_swap"`   // once: a load ends without taking effect
	DropOrderReply bool   `json:"drop_order_reply"` // once: execute an order, then close the connection without a reply
}

// Counts are the engine's counters since it started.
type Counts struct {
	Streams int `json:"streams"` // streams accepted
	Tokens  int `json:"tokens"`
	Orders  int `json:"orders"` // orders executed
	Swaps   int `json:"swaps"`
	Crashes int `json:"crashes"`
}
