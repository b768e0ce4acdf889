package main

import (
	"fmt"
	"net"
	"time"

	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func init() {
	register("keys", "Create the keys and certificates of entry VMs", &keysCommand{})
}

// keysCommand groups the subcommands that create keys and certificates.
type keysCommand struct {
	Authority authorityCommand `command:"authority" description:"Create the site's certificate authority" long-description:"Creates the site's certificate authority. Do not copy its key to the entry VMs.\n\nExample:\n  fescuespar keys authority --out authority"`
	Issue     issueCommand     `command:"issue" description:"Create the certificate of one entry VM" long-description:"Creates the certificate of one entry VM. A running entry process uses replaced files from its next handshake on.\n\nExample:\n  fescuespar keys issue --authority authority --vm entry-1 --address 192.0.2.10 --out keys/entry-1"`
	Trust     trustCommand     `command:"trust" description:"Set the authorities that one entry VM trusts" long-description:"Sets the authorities that one entry VM trusts: both the old and the new one while the authority is being replaced, only the new one afterwards.\n\nExample:\n  fescuespar keys trust --authority authority --authority authority-new --out keys/entry-1"`
}

// LongDescription returns the command's help.
func (*keysCommand) LongDescription() string {
	return "Creates a site's certificate authority and the certificates of its entry VMs.\n\nExample: fescuespar keys authority --out authority"
}

// Execute is never called: go-flags requires one of the subcommands.
func (*keysCommand) Execute([]string) error { return nil }

type authorityCommand struct {
	Out  string `long:"out" value-name:"DIR" required:"true" description:"directory to write to"`
	Site string `long:"site" value-name:"NAME" default:"fescuespar" description:"site named in the certificate"`
}

// Execute creates the authority's key and certificate.
func (c *authorityCommand) Execute([]string) error {
	if err := keys.CreateAuthority(c.Out, c.Site, time.Now()); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "wrote %s and %s to %s\n", keys.AuthorityFile, keys.AuthorityKeyFile, c.Out)
	return nil
}

type issueCommand struct {
	Authority string   `long:"authority" value-name:"DIR" required:"true" description:"directory of the authority"`
	VM        string   `long:"vm" value-name:"NAME" required:"true" description:"name of the VM in the platform's VM list"`
	Address   []string `long:"address" value-name:"IP" required:"true" description:"IP number at which peers reach the VM; may be repeated"`
	Days      int      `long:"days" value-name:"N" default:"365" description:"days for which the certificate is valid"`
	Out       string   `long:"out" value-name:"DIR" required:"true" description:"directory to write to"`
}

const day = 24 * time.Hour

// Execute creates the VM's key and certificate.
func (c *issueCommand) Execute([]string) error {
	request := keys.IssueRequest{
		Authority: c.Authority,
		VM:        core.VMID(c.VM),
		Lifetime:  time.Duration(c.Days) * day,
		Directory: c.Out,
	}
	for _, text := range c.Address {
		address := net.ParseIP(text)
		if address == nil {
			return errkind.New(errkind.BadRequest, "--address: found %q, want an IP number", text)
		}
		request.Addresses = append(request.Addresses, address)
	}
	if err := keys.Issue(request, time.Now()); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "wrote %s, %s and %s to %s\n", keys.CertificateFile, keys.KeyFile, keys.AuthorityFile, c.Out)
	return nil
}

type trustCommand struct {
	Authority []string `long:"authority" value-name:"DIR" required:"true" description:"directory of an authority; may be repeated"`
	Out       string   `long:"out" value-name:"DIR" required:"true" description:"directory of the VM's files"`
}

// Execute writes the authorities that the VM trusts.
func (c *trustCommand) Execute([]string) error {
	if err := keys.SetTrustedAuthorities(c.Out, c.Authority); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "wrote %s with %d authorities to %s\n", keys.AuthorityFile, len(c.Authority), c.Out)
	return nil
}
