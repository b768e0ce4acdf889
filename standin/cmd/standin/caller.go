package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fescuespar/standin/caller"
)

func init() {
	register("caller", "stand-in for callers: sends requests and checks the answers", &callerCommand{})
}

// entryFlags are the flags for connecting to the entry VMs.
type entryFlags struct {
	Addresses  []string `long:"address" required:"true" description:"host:port of an entry VM; may be repeated"`
	Token      string   `long:"token" required:"true" description:"bearer token"`
	Deployment string   `long:"deployment" required:"true" description:"deployment to use"`
}

type callerCommand struct {
	Entry entryFlags `group:"Entry VMs"`

	Count       int           `long:"count" default:"1" description:"requests to send"`
	Concurrency int           `long:"concurrency" default:"1" description:"maximum number of concurrent requests"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"timeout of one request, including all retries"`
	RequestID   string        `long:"request-id" default:"caller" description:"prefix of request ids and idempotency keys"`

	Prompt    string `long:"prompt" default:"Tell me of the donkey" description:"prompt; the request's number is appended"`
	MaxTokens int    `long:"max-tokens" default:"64" description:"maximum number of tokens of an answer"`
	Seed      int64  `long:"seed" default:"1" description:"seed of the first request"`
	Chat      bool   `long:"chat" description:"use chat completions"`

	Path   string `long:"path" description:"send plain calls to this path; the request's number is appended"`
	Method string `long:"method" default:"POST" description:"method of plain calls"`
	Body   string `long:"body" description:"body of plain calls"`
	Keyed  bool   `long:"keyed" description:"send an idempotency key with plain calls"`
	Twice  bool   `long:"twice" description:"send each plain call a second time"`
}

var errIncorrectAnswers = errors.New("some answers were incomplete or incorrect")

// Execute implements flags.Commander. It prints a JSON summary and returns an
// error unless every answer was complete and correct.
func (c *callerCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	summary, err := caller.Run(ctx, caller.Options{
		Addresses: c.Entry.Addresses, Token: c.Entry.Token, Deployment: c.Entry.Deployment,
		Count: c.Count, Concurrency: c.Concurrency, Timeout: c.Timeout, RequestID: c.RequestID,
		Prompt: c.Prompt, MaxTokens: c.MaxTokens, Seed: c.Seed, Chat: c.Chat,
		Path: c.Path, Method: c.Method, Body: []byte(c.Body), Keyed: c.Keyed, SendTwice: c.Twice,
	})
	err = errors.Join(err, json.NewEncoder(os.Stdout).Encode(summary))
	if err == nil && summary.Correct != c.Count {
		err = errIncorrectAnswers
	}
	return err
}
