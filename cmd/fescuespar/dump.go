package main

import (
	"context"
	"net/http"
	"time"

	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/errkind"
)

func init() {
	register("dump", "Show the state of one process", &dumpCommand{})
}

// dumpCommand prints the state of a process, always as JSON.
type dumpCommand struct {
	accessOptions
	Relay bool `long:"relay" description:"a process on the users' platform: ADDRESS is its metrics address, no token is needed"`
	Args  struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes" description:"callers' address of the process, host:port"`
	} `positional-args:"yes"`
}

// LongDescription returns the command's help.
func (*dumpCommand) LongDescription() string {
	return `Prints the state of the entry process at ADDRESS as JSON.

Example: fescuespar dump 192.0.2.7:8080 --token-file operator.token
Example: fescuespar dump --relay 192.0.2.7:9464` + exitCodesHelp
}

// Execute runs the command.
func (c *dumpCommand) Execute([]string) error {
	if c.Relay {
		return c.dumpRelay()
	}
	client, err := c.client(c.Args.Address)
	if err != nil {
		return err
	}
	state, err := client.Dump(context.Background())
	if err != nil {
		return err
	}
	_, err = stdout.Write(append(state, '\n'))
	return errkind.Wrap(errkind.Internal, err, "write the result")
}

// maxStateBytes bounds the size of a state dump; at the largest sites it has a
// few MB.
const maxStateBytes = 64 << 20

// fetchRelayState fetches the JSON state of a relay process from its metrics
// address. Errors: PeerUnreachable.
func fetchRelayState(address string, timeout time.Duration) ([]byte, error) {
	client := platformhttp.New("http://"+address, timeout)
	defer client.Close()
	state, err := client.Do(context.Background(), platformhttp.Call{Method: http.MethodGet, Path: statePath, MaxReply: maxStateBytes})
	return state, errkind.Wrap(errkind.PeerUnreachable, err, "fetch the state of %s", address)
}

// dumpRelay prints the state that a relay process serves on its metrics address.
func (c *dumpCommand) dumpRelay() error {
	state, err := fetchRelayState(c.Args.Address, c.Timeout)
	if err != nil {
		return err
	}
	_, err = stdout.Write(append(state, '\n'))
	return errkind.Wrap(errkind.Internal, err, "write the result")
}
