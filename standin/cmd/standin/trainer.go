package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fescuespar/internal/core"
	"fescuespar/standin/platform"
	"fescuespar/standin/trainer"
)

func init() {
	register("trainer", "stand-in for a trainer: fetches batches and checks the samples", &trainerCommand{})
}

type trainerCommand struct {
	Entry entryFlags `group:"Entry VMs"`

	Steps          int           `long:"steps" default:"1" description:"steps to train"`
	FirstStep      uint64        `long:"first-step" default:"1" description:"number of the first step"`
	FirstVersion   uint64        `long:"first-version" default:"1" description:"weight version of the first step"`
	StalenessBound uint64        `long:"staleness-bound" default:"1" description:"maximum number of versions by which a sample may lag"`
	StepTime       time.Duration `long:"step-time" description:"simulated duration of training on a batch"`
	StepTimeout    time.Duration `long:"step-timeout" default:"60s" description:"timeout for publishing and fetching in one step"`
	FetchTwice     bool          `long:"fetch-twice" description:"fetch each batch a second time and compare the copies"`
	Weights        string        `long:"weights" description:"base URL of the weight store; empty stores no weights"`
	WeightBytes    int           `long:"weight-bytes" default:"1024" description:"size of a version's weights"`
}

var errInvalidSamples = errors.New("some samples were repeated, stale or malformed, or a batch was fetched twice with different content")

// Execute implements flags.Commander. It prints a JSON line for each step and
// a summary, and returns an error if any sample was repeated, stale or
// malformed, or if fetching a batch again returned a different one.
func (c *trainerCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	summary, err := trainer.Run(ctx, trainer.Options{
		Addresses: c.Entry.Addresses, Token: c.Entry.Token, Deployment: core.DeploymentName(c.Entry.Deployment),
		FirstStep: core.Step(c.FirstStep), FirstVersion: core.WeightVersion(c.FirstVersion), Steps: c.Steps,
		StalenessBound: c.StalenessBound, StepTime: c.StepTime, StepTimeout: c.StepTimeout, FetchTwice: c.FetchTwice,
		PutWeights: c.putWeights(), Output: os.Stdout,
	})
	err = errors.Join(err, json.NewEncoder(os.Stdout).Encode(summary))
	if err == nil && !summary.IsValid() {
		err = errInvalidSamples
	}
	return err
}

func (c *trainerCommand) putWeights() func(context.Context, core.WeightVersion) error {
	if c.Weights == "" {
		return nil
	}
	store := platform.NewClient(c.Weights)
	return func(ctx context.Context, version core.WeightVersion) error {
		return store.PutWeights(ctx, core.DeploymentName(c.Entry.Deployment), version, make([]byte, c.WeightBytes))
	}
}
