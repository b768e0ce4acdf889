package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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

// Names that the tokens stand for.
const (
	OperatorName = "demo-operator"
	CallerName   = "demo-caller"
	TrainerName  = "demo-trainer"
)

// Options says what a site consists of.
type Options struct {
	Product  string // path of the fescuespar binary
	Standin  string // path of the standin binary
	Settings string // further TOML tables for every entry process
}

// Site is a running site. Close ends all its processes.
type Site struct {
	Platform        *platform.Client
	PlatformAddress string
	Authority       string   // directory of the authority that issues further entry processes' certificates
	Trust           []string // directories of the authorities that they trust; empty for Authority alone

	options   Options
	directory string
	processes []*Process
	entries   int
}

// Entry is a running entry process.
type Entry struct {
	*Process
	VM      core.VMID
	Address string // for callers
	Peer    string // for other entry processes
	Keys    string // directory of its certificate
}

// Open starts a site that consists of a platform only.
func Open(ctx context.Context, options Options) (*Site, error) {
	directory, err := os.MkdirTemp("", "fescuespar-site-")
	if err != nil {
		return nil, err
	}
	s := &Site{options: options, directory: directory}
	s.Authority = s.path("authority")
	if err := keys.CreateAuthority(s.Authority, "demo", time.Now()); err != nil {
		s.Close()
		return nil, err
	}
	_, s.PlatformAddress, err = s.standin(ctx, "platform", "platform")
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Platform = platform.NewClient(s.PlatformURL())
	return s, nil
}

// PlatformURL returns the base URL of the platform.
func (s *Site) PlatformURL() string { return "http://" + s.PlatformAddress }

// Directory returns where the site keeps its files.
func (s *Site) Directory() string { return s.directory }

func (s *Site) path(name string) string { return filepath.Join(s.directory, name) }

// Close kills every process that is still running and removes the files.
func (s *Site) Close() {
	for _, p := range s.processes {
		_ = p.Thaw()
		p.Kill()
	}
	_ = os.RemoveAll(s.directory)
}

// PutObject puts an object into the platform's object store.
func (s *Site) PutObject(ctx context.Context, key core.ObjectKey, body []byte) error {
	client := objecthttp.New(s.PlatformURL(), platformTimeout)
	defer client.Close()
	return client.Put(ctx, key, body)
}

// platformTimeout bounds one call to the platform.
const platformTimeout = 5 * time.Second

// Server says where a backend server runs.
type Server struct {
	ID      string
	Service string
	Zone    string
	Region  string
}

// StartServer starts a stand-in of the kind (engine, plain, scorer) and
// registers it in the VM list.
func (s *Site) StartServer(ctx context.Context, kind string, server Server, args ...string) (*Process, string, error) {
	all := append([]string{
		kind, "--vm-platform", s.PlatformURL(), "--vm-id", server.ID, "--vm-service", server.Service,
		"--vm-zone", server.Zone, "--vm-region", server.Region,
	}, args...)
	return s.standin(ctx, server.ID, all...)
}

const listeningPrefix = "listening "

func (s *Site) standin(ctx context.Context, name string, args ...string) (*Process, string, error) {
	p, address, err := start(ctx, name, s.options.Standin, args, func(line string) (string, bool) {
		return strings.CutPrefix(line, listeningPrefix)
	})
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, address, err
}

// StartEntry starts a further entry process and registers it in the VM list.
func (s *Site) StartEntry(ctx context.Context, zone, region string) (*Entry, error) {
	entry, err := s.StartEntryUnlisted(ctx, zone, region)
	if err != nil {
		return nil, err
	}
	err = s.Platform.AddVM(ctx, core.VM{
		ID: core.ServerID(entry.VM), Kind: core.KindEntry, Address: entry.Peer,
		Zone: core.ZoneName(zone), Region: core.RegionName(region), State: core.VMLive,
	})
	return entry, err
}

// StartEntryUnlisted starts a further entry process that knows the seeds'
// peer addresses; the VM list does not show it.
func (s *Site) StartEntryUnlisted(ctx context.Context, zone, region string, seeds ...string) (*Entry, error) {
	s.entries++
	vm := core.VMID(fmt.Sprintf("entry-%d", s.entries))
	settings, err := s.writeSettings(vm, zone, region, seeds)
	if err != nil {
		return nil, err
	}
	entry := &Entry{VM: vm, Keys: filepath.Dir(settings)}
	args := []string{"entry", "--settings", settings}
	entry.Process, _, err = start(ctx, string(vm), s.options.Product, args, entry.readServing)
	if err != nil {
		return nil, err
	}
	s.processes = append(s.processes, entry.Process)
	return entry, nil
}

// readServing takes the addresses from the log line that says that the process
// is serving.
func (e *Entry) readServing(line string) (string, bool) {
	var event struct{ Message, Callers, Peers string }
	if json.Unmarshal([]byte(line), &event) != nil || event.Message != "serving" {
		return "", false
	}
	e.Address, e.Peer = event.Callers, event.Peers
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
		Authority: s.Authority, VM: vm, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		Lifetime: certificateLifetime, Directory: directory,
	}, time.Now())
	if err != nil {
		return "", err
	}
	if len(s.Trust) > 0 {
		if err := keys.Trust(directory, s.Trust); err != nil {
			return "", err
		}
	}
	files := keys.InDirectory(directory)
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = strconv.Quote(seed)
	}
	body := fmt.Sprintf(settingsTemplate, vm, zone, region, strings.Join(quoted, ", "), files.Authority, files.Certificate, files.Key, s.PlatformURL())
	path := filepath.Join(directory, "entry.toml")
	return path, os.WriteFile(path, []byte(body+s.options.Settings), 0o600)
}

// Status asks an entry process for its status.
func (s *Site) Status(ctx context.Context, entry *Entry) (configjson.Status, error) {
	return operatorclient.New(entry.Address, OperatorToken, http.DefaultClient).Status(ctx)
}

// InFlight returns the requests in flight at an entry process, from its state
// dump, or -1 when it does not answer.
func (s *Site) InFlight(ctx context.Context, entry *Entry) int {
	dump, err := operatorclient.New(entry.Address, OperatorToken, http.DefaultClient).Dump(ctx)
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
