package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/adapters/objecthttp"
	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/core"
	"fescuespar/standin/platform"
)

// certificateLifetime is longer than any site runs.
const certificateLifetime = 24 * time.Hour

// Tokens that a site's entry processes accept.
const (
	OperatorToken = "operator-token-0001"
	CallerToken   = "caller-token-0001"
	TrainerToken  = "trainer-token-0001"
)

// Names of the accounts that the tokens belong to.
const (
	OperatorName = "demo-operator"
	CallerName   = "demo-caller"
	TrainerName  = "demo-trainer"
)

// Options configures a site.
type Options struct {
	Product  string // path of the fescuespar binary
	Standin  string // path of the standin binary
	Settings string // additional TOML settings for every entry process
}

// Site is a running site. Close kills all its processes.
type Site struct {
	Platform           *platform.Client
	PlatformAddress    string
	AuthorityDirectory string   // directory of the authority that issues the certificates of entry processes started later
	TrustedAuthorities []string // directories of the authorities that those processes trust; empty for the issuing authority alone

	options    Options
	directory  string
	processes  []*Process
	entryCount int
}

// Entry is a running entry process.
type Entry struct {
	*Process
	VM           core.VMID
	Address      string // address for callers
	PeerAddress  string // address for other entry processes
	KeyDirectory string // directory of its certificate
}

// Open starts a site that consists of a platform only.
func Open(ctx context.Context, options Options) (*Site, error) {
	directory, err := os.MkdirTemp("", "fescuespar-site-")
	if err != nil {
		return nil, err
	}
	s := &Site{options: options, directory: directory}
	s.AuthorityDirectory = s.path("authority")
	if err := keys.CreateAuthority(s.AuthorityDirectory, "demo", time.Now()); err != nil {
		s.Close()
		return nil, err
	}
	_, s.PlatformAddress, err = s.startStandin(ctx, "platform", "platform")
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Platform = platform.NewClient(s.PlatformURL())
	return s, nil
}

// PlatformURL returns the base URL of the platform.
func (s *Site) PlatformURL() string { return "http://" + s.PlatformAddress }

// Directory returns the directory of the site's files.
func (s *Site) Directory() string { return s.directory }

func (s *Site) path(name string) string { return filepath.Join(s.directory, name) }

// Close kills all processes that are still running and removes the site's
// files.
func (s *Site) Close() {
	for _, p := range s.processes {
		_ = p.Resume()
		p.Kill()
	}
	_ = os.RemoveAll(s.directory)
}

// PutObject stores an object in the platform's object store.
func (s *Site) PutObject(ctx context.Context, key core.ObjectKey, body []byte) error {
	client := objecthttp.New(s.PlatformURL(), platformTimeout)
	defer client.Close()
	return client.Put(ctx, key, body)
}

// platformTimeout is the timeout of one call to the platform.
const platformTimeout = 5 * time.Second

// Server describes the VM of a backend server.
type Server struct {
	ID      string
	Service string
	Zone    string
	Region  string
}

// StartServer starts a stand-in of the given kind (engine, plain or scorer)
// and registers it in the VM list. It returns the process and its address.
func (s *Site) StartServer(ctx context.Context, kind string, server Server, args ...string) (*Process, string, error) {
	allArgs := append([]string{
		kind, "--vm-platform", s.PlatformURL(), "--vm-id", server.ID, "--vm-service", server.Service,
		"--vm-zone", server.Zone, "--vm-region", server.Region,
	}, args...)
	return s.startStandin(ctx, server.ID, allArgs...)
}

const listeningPrefix = "listening "

func (s *Site) startStandin(ctx context.Context, name string, args ...string) (*Process, string, error) {
	p, address, err := startProcess(ctx, name, s.options.Standin, args, func(line string) (string, bool) {
		return strings.CutPrefix(line, listeningPrefix)
	})
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, address, err
}

// StartEntry starts an additional entry process and registers it in the VM
// list.
func (s *Site) StartEntry(ctx context.Context, zone, region string) (*Entry, error) {
	entry, err := s.StartEntryUnlisted(ctx, zone, region)
	if err != nil {
		return nil, err
	}
	err = s.Platform.AddVM(ctx, core.VM{
		ID: core.ServerID(entry.VM), Kind: core.KindEntry, Address: entry.PeerAddress,
		Zone: core.ZoneName(zone), Region: core.RegionName(region), State: core.VMLive,
	})
	return entry, err
}

// StartEntryUnlisted starts an additional entry process with the given seed
// peer addresses, without registering it in the VM list.
func (s *Site) StartEntryUnlisted(ctx context.Context, zone, region string, seeds ...string) (*Entry, error) {
	s.entryCount++
	vm := core.VMID(fmt.Sprintf("entry-%d", s.entryCount))
	settings, err := s.writeSettings(vm, zone, region, seeds)
	if err != nil {
		return nil, err
	}
	entry := &Entry{VM: vm, KeyDirectory: filepath.Dir(settings)}
	args := []string{"entry", "--settings", settings}
	entry.Process, _, err = startProcess(ctx, string(vm), s.options.Product, args, entry.parseServingLine)
	if err != nil {
		return nil, err
	}
	s.processes = append(s.processes, entry.Process)
	return entry, nil
}

// parseServingLine reads the addresses from the log line with the message
// "serving".
func (e *Entry) parseServingLine(line string) (string, bool) {
	var event struct{ Message, Callers, Peers string }
	if json.Unmarshal([]byte(line), &event) != nil || event.Message != "serving" {
		return "", false
	}
	e.Address, e.PeerAddress = event.Callers, event.Peers
	return event.Callers, true
}

const settingsTemplate = `vm = %q
availability_zone = %q
region = %q

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"

[peers]
seeds = [%s]
authority = %q
certificate = %q
key = %q

[platform]
table = %[8]q
objects = %[8]q
vm_list = %[8]q

[[tokens]]
role = "operator"
name = "` + OperatorName + `"
token = "` + OperatorToken + `"

[[tokens]]
role = "caller"
name = "` + CallerName + `"
token = "` + CallerToken + `"

[[tokens]]
role = "trainer"
name = "` + TrainerName + `"
token = "` + TrainerToken + `"

`

func (s *Site) writeSettings(vm core.VMID, zone, region string, seeds []string) (string, error) {
	directory := s.path(string(vm))
	err := keys.Issue(keys.IssueRequest{
		Authority: s.AuthorityDirectory, VM: vm, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		Lifetime: certificateLifetime, Directory: directory,
	}, time.Now())
	if err != nil {
		return "", err
	}
	if len(s.TrustedAuthorities) > 0 {
		if err := keys.SetTrustedAuthorities(directory, s.TrustedAuthorities); err != nil {
			return "", err
		}
	}
	files := keys.FilesInDirectory(directory)
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = strconv.Quote(seed)
	}
	body := fmt.Sprintf(settingsTemplate, vm, zone, region, strings.Join(quoted, ", "), files.Authority, files.Certificate, files.Key, s.PlatformURL())
	path := filepath.Join(directory, "entry.toml")
	return path, os.WriteFile(path, []byte(body+s.options.Settings), 0o600)
}

// Status fetches the status of an entry process.
func (s *Site) Status(ctx context.Context, entry *Entry) (configjson.Status, error) {
	return operatorclient.New(entry.Address, OperatorToken, 0).Status(ctx)
}

// InFlight returns the number of requests in flight at an entry process, as
// reported in its state dump, or -1 if it cannot be fetched.
func (s *Site) InFlight(ctx context.Context, entry *Entry) int {
	dump, err := operatorclient.New(entry.Address, OperatorToken, 0).Dump(ctx)
	if err != nil {
		return -1
	}
	var state struct {
		InFlight int `json:"in_flight"`
	}
	if json.Unmarshal(dump, &state) != nil {
		return -1
	}
	return state.InFlight
}
