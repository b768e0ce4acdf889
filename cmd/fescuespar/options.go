package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/errkind"
)

// The exit codes of every subcommand.
const (
	exitOK          = 0
	exitRefused     = 1 // invalid input, or refused by the service
	exitUsage       = 2
	exitUnreachable = 3 // the service or one of its processes did not answer in time
)

const exitCodesHelp = `

Exit codes: 0 done; 1 mistakes in the input or refused by the service; 2 wrong usage; 3 the service, or with --wait one of its processes, did not answer in time; when a change was sent, it may or may not have been made.`

// stdout is where commands write their results; tests replace it.
var stdout io.Writer = os.Stdout

// exitCode returns the exit code for an error of a subcommand.
func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	}
	switch errkind.Of(err) {
	case errkind.PeerUnreachable, errkind.OutcomeUnknown, errkind.Timeout, errkind.Canceled:
		return exitUnreachable
	default:
		return exitRefused
	}
}

// usageError returns an error for missing, conflicting or unusable arguments; it
// results in exitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}

// outputOption selects text or JSON output.
type outputOption struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// print writes the result to stdout as JSON, or as text with the given function.
func (o outputOption) print(result any, text func(w io.Writer)) error {
	if o.Output != "json" {
		text(stdout)
		return nil
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return errkind.Wrap(errkind.Internal, encoder.Encode(result), "write the result")
}

// accessOptions hold the bearer token and the timeout of one request.
type accessOptions struct {
	Token     string        `long:"token" env:"FESCUESPAR_TOKEN" value-name:"TOKEN" description:"bearer token"`
	TokenFile string        `long:"token-file" value-name:"FILE" description:"file that holds the bearer token"`
	Timeout   time.Duration `long:"timeout" default:"10s" value-name:"DURATION" description:"longest wait for one answer"`
}

// client returns a client of the entry process at an address. Errors: a usage
// error when no token is given or the token file cannot be read.
func (o accessOptions) client(address string) (*operatorclient.Client, error) {
	token := o.Token
	if o.TokenFile != "" {
		body, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, usageError("--token-file: %s", err)
		}
		token = strings.TrimSpace(string(body))
	}
	if token == "" {
		return nil, usageError("one of --token, --token-file and FESCUESPAR_TOKEN is required")
	}
	return operatorclient.New(address, token, o.Timeout), nil
}

// serviceOptions select the entry process to connect to.
type serviceOptions struct {
	accessOptions
	Address string `long:"address" required:"yes" value-name:"HOST:PORT" description:"callers' address of an entry process"`
}

// fetch creates a client from the options and returns the result of one request.
func fetch[T any](o serviceOptions, request func(c *operatorclient.Client, ctx context.Context) (T, error)) (T, error) {
	client, err := o.client(o.Address)
	if err != nil {
		var zero T
		return zero, err
	}
	return request(client, context.Background())
}
