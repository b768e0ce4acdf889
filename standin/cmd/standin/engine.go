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

// crashStatus is the exit status of a stand-in after an injected crash.
const crashStatus = 3

type engineCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	VM     vmFlags `group:"VM list"`

	Model      string `long:"model" required:"true" description:"model that the engine serves"`
	Adapter    string `long:"adapter" description:"adapter on top of the model"`
	More       int    `long:"more-adapters" description:"number of additional adapters the engine can hold"`
	Version    uint64 `long:"weight-version" default:"1" description:"initial weight version"`
	Fencing    string `long:"fencing" default:"checks" choice:"checks" choice:"ignores" description:"how to handle an order with an outdated fencing number"`
	Weights    string `long:"weights" description:"base URL of the weight store to fetch from"`
	Deployment string `long:"deployment" description:"deployment whose weights are fetched"`

	MaxRunning     int           `long:"max-running" default:"16" description:"maximum number of streams in the batch"`
	Step           time.Duration `long:"step" default:"5ms" description:"time between two steps of the batch"`
	TokensPerStep  int           `long:"tokens-per-step" default:"1" description:"tokens generated per stream and step"`
	CacheBlocks    int           `long:"cache-blocks" default:"256" description:"capacity of the prefix cache, in blocks"`
	EventDelay     time.Duration `long:"event-delay" default:"200ms" description:"delay before a cache event is reported"`
	EventGap       int           `long:"event-gap" description:"every n-th cache event is dropped; zero drops none"`
	ReportInterval time.Duration `long:"report-interval" default:"200ms" description:"age of the reported status"`
	LoadTime       time.Duration `long:"load-time" default:"200ms" description:"time to load a version or model"`
	KeepStreams    time.Duration `long:"keep-streams" default:"5s" description:"how long a stream without a reader is kept"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	options := engine.Options{
		Model: core.ModelName(c.Model), Adapter: core.AdapterName(c.Adapter),
		ExtraAdapters: c.More, Version: core.WeightVersion(c.Version), Fencing: engine.Fencing(c.Fencing),
		MaxRunning: c.MaxRunning, StepInterval: c.Step, TokensPerStep: c.TokensPerStep,
		CacheBlocks: c.CacheBlocks, EventDelay: c.EventDelay, EventGap: c.EventGap,
		ReportInterval: c.ReportInterval, LoadTime: c.LoadTime, StreamRetention: c.KeepStreams,
		Exit: func() { os.Exit(crashStatus) },
	}
	if c.Weights != "" {
		options.FetchWeights = engine.FetchWeightsFrom(c.Weights, core.RegionName(c.VM.Region), core.DeploymentName(c.Deployment))
	}
	standin := engine.New(options)
	defer standin.Close()
	return backend{kind: core.KindEngine, listen: c.Listen, vm: c.VM}.serve(standin)
}
