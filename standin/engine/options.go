// Package engine is a stand-in for a model engine. It batches streams, caches
// prompt prefixes, reports with a lag and takes orders and fault orders. Its
// tokens are those of package tokens.
package engine

import (
	"context"
	"time"

	"fescuespar/internal/core"
)

// Fencing says what an engine does with an order whose fencing number is below
// the highest that it has seen.
type Fencing string

// The kinds of engines.
const (
	FencingChecks  Fencing = "checks"  // refuses it
	FencingIgnores Fencing = "ignores" // obeys it
)

// Options configures an engine. Zero values take the defaults below.
type Options struct {
	Model   core.ModelName
	Adapter core.AdapterName
	Version core.WeightVersion
	Fencing Fencing // default FencingChecks

	MoreAdapters int // adapters that it can hold beside Adapter; zero keeps to that one

	MaxRunning    int           // streams in the batch
	MaxQueued     int           // streams waiting for it
	StepInterval  time.Duration // between two steps of the batch
	TokensPerStep int           // tokens that each stream gains in a step
	PrefillBytes  int           // bytes of prompt that each stream processes in a step

	CacheBlocks int           // prompt blocks kept
	EventDelay  time.Duration // from a cache event to its report
	EventGap    int           // every EventGap-th cache event is lost; zero loses none

	ReportInterval time.Duration // lag of the status; zero reports the present
	LoadTime       time.Duration // to load a version or model
	KeepStreams    time.Duration // for which a stream without reader is kept

	// Fetch gets the weights of a version before they are loaded; nil loads
	// without fetching.
	Fetch func(ctx context.Context, version core.WeightVersion) error
	// Exit ends the process on a crash. Nil makes the handler close all
	// connections and refuse everything until it is revived.
	Exit func()
}

// Defaults of Options.
const (
	defaultMaxRunning    = 16
	defaultMaxQueued     = 256
	defaultStepInterval  = time.Millisecond
	defaultTokensPerStep = 1
	defaultPrefillBytes  = 4096
	defaultCacheBlocks   = 256
	defaultKeepStreams   = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Fencing, FencingChecks)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	setDefault(&o.StepInterval, defaultStepInterval)
	setDefault(&o.TokensPerStep, defaultTokensPerStep)
	setDefault(&o.PrefillBytes, defaultPrefillBytes)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.KeepStreams, defaultKeepStreams)
	return o
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Faults are fault orders. They hold until replaced, but those marked "once".
type Faults struct {
	DelayMillis    int    `json:"delay_ms"`         // before each answer
	Refuse         bool   `json:"refuse"`           // refuse streams and orders
	CutAfter       int    `json:"cut_after"`        // once: cut a connection after so many tokens
	HoldAfter      int    `json:"hold_after"`       // pause streams that have so many tokens
	CrashMarker    string `json:"crash_marker"`     // crash when a prompt that contains it is run
	Freeze         bool   `json:"freeze"`           // answer nothing and generate nothing
	FailNextSwap   bool   `json:"fail_next_swap"`   // once: a load ends without effect
	DropOrderReply bool   `json:"drop_order_reply"` // once: obey an order and cut the connection
}

// Counts tells what an engine has done since it started.
type Counts struct {
	Streams int `json:"streams"` // streams accepted
	Tokens  int `json:"tokens"`
	Orders  int `json:"orders"` // orders obeyed
	Swaps   int `json:"swaps"`
	Crashes int `json:"crashes"`
}
