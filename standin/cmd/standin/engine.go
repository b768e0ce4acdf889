package main

import (
	"os"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/engine"
)

func init() {
	register("engine", "stand-in for a model engine", &engineCommand{})
}

// crashStatus is the exit status of a stand-in that was ordered to crash.
const crashStatus = 3

type engineCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	VM     vmFlags `group:"VM list"`

	Model      string `long:"model" required:"true" description:"model that the engine holds"`
	Adapter    string `long:"adapter" description:"adapter on top of the model"`
	More       int    `long:"more-adapters" description:"adapters that it can hold beside that one"`
	Version    uint64 `long:"weight-version" default:"1" description:"version of its weights"`
	Fencing    string `long:"fencing" default:"checks" choice:"checks" choice:"ignores" description:"what it does with an old fencing number"`
	Weights    string `long:"weights" description:"base URL of the weight store to fetch from"`
	Deployment string `long:"deployment" description:"deployment whose weights are fetched"`

	MaxRunning     int           `long:"max-running" default:"16" description:"streams in the batch"`
	Step           time.Duration `long:"step" default:"5ms" description:"time between two steps of the batch"`
	TokensPerStep  int           `long:"tokens-per-step" default:"1" description:"tokens that a stream gains in a step"`
	CacheBlocks    int           `long:"cache-blocks" default:"256" description:"prompt blocks kept"`
	EventDelay     time.Duration `long:"event-delay" default:"200ms" description:"from a cache event to its report"`
	EventGap       int           `long:"event-gap" description:"every n-th cache event is lost"`
	ReportInterval time.Duration `long:"report-interval" default:"200ms" description:"lag of the status"`
	LoadTime       time.Duration `long:"load-time" default:"200ms" description:"time to load a version or model"`
	KeepStreams    time.Duration `long:"keep-streams" default:"5s" description:"for which a stream without reader is kept"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	options := engine.Options{
		Model: core.ModelName(c.Model), Adapter: core.AdapterName(c.Adapter),
		MoreAdapters: c.More, Version: core.WeightVersion(c.Version), Fencing: engine.Fencing(c.Fencing),
		MaxRunning: c.MaxRunning, StepInterval: c.Step, TokensPerStep: c.TokensPerStep,
		CacheBlocks: c.CacheBlocks, EventDelay: c.EventDelay, EventGap: c.EventGap,
		ReportInterval: c.ReportInterval, LoadTime: c.LoadTime, KeepStreams: c.KeepStreams,
		Exit: func() { os.Exit(crashStatus) },
	}
	if c.Weights != "" {
		options.Fetch = engine.FetchFrom(c.Weights, core.RegionName(c.VM.Region), core.DeploymentName(c.Deployment))
	}
	standin := engine.New(options)
	defer standin.Close()
	return backend{kind: core.KindEngine, listen: c.Listen, vm: c.VM}.serve(standin)
}
