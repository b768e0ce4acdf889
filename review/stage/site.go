package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site abi-adopt, as in the settings below.
const (
	grace       = 8 * time.Second
	cancelBound = 3 * time.Second
)

// site is a small deployment: relays as separate processes, and stand-ins of the store,
// the workers and the platform's supervisor.
type site struct {
	folder string
	store  *store
	began  time.Time
	relays []*relay

	// starting guards closed, and is held while a process is started.
	starting sync.Mutex
	closed   bool // no process may be started any more

	// mu guards record and its writes.
	mu     sync.Mutex
	record *os.File
}

// relay is one entry machine.
type relay struct {
	site      *site
	name, ip  string
	front     string
	directory string
	ready     string
	settings  string

	// mu guards the fields below.
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newSite starts a store and prepares relays, which the caller starts.
func newSite(caseFolder string, relays int) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, store: newStore(), began: time.Now(), record: record}
	network := fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), 1+rand.IntN(250))
	var seeds []string
	for i := range relays {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8166", network, i+1))
	}
	for i := range relays {
		r := &relay{site: s, name: fmt.Sprintf("front-qc-est-a-%d", i+1), ip: fmt.Sprintf("%s.%d", network, i+1)}
		if err := r.prepare(seeds[:min(3, len(seeds))]); err != nil {
			return nil, err
		}
		s.relays = append(s.relays, r)
	}
	return s, nil
}

// prepare chooses addresses and writes the settings file.
func (r *relay) prepare(seeds []string) error {
	for _, address := range []*string{&r.front, &r.directory, &r.ready} {
		listener, err := net.Listen("tcp", r.ip+":0")
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		defer listener.Close()
	}
	storeAddress, err := r.site.store.listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	list, _ := json.Marshal(seeds)
	r.settings = filepath.Join(r.site.folder, r.name+".toml")
	return os.WriteFile(r.settings, []byte(fmt.Sprintf(settingsText, r.name, r.ip, list, r.front, r.ready, r.ip, r.directory, storeAddress)), 0o600)
}

const settingsText = `NodeName = "%s"
Role = "entry"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = "%s"
Zone = "qc-est-a"
Region = "qc-est"
InternalPorts = [7720,7735]
Seeds = %s
Bootstrap = true
InFaultBudget = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
qc-est-a = "qc-est"
[Listen]
Front = "%s"
Ready = "%s"
Control = "%s:8166"
Directory = "%s"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 324
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4.9
DrainMs = 2500
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
OuterBoundMs = 6000
RecoveryS = 12
PassMs = 250
RetryAfterS = 0
FinishS = 10
StatusTtlS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOverage = 0.1
FencingRequired = false
LeaseMs = 3000
ThawSlackMs = 300
ttl_max_s = 5
[Platform]
Address = "%s"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 3.0
PartitionWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
`

// start starts the relay's process with the command of the deploy file.
func (r *relay) start() error {
	r.site.starting.Lock()
	defer r.site.starting.Unlock()
	if r.site.closed {
		return errors.New("the case is over")
	}
	log, err := os.OpenFile(filepath.Join(r.site.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command("target/fescuespar", "relay")
	process.Env = []string{"FESCUESPAR_CONFIG=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		r.site.log("process ended", "machine", r.name, "state", process.ProcessState.String())
		close(ended)
	}()
	r.mu.Lock()
	r.process, r.ended = process, ended
	r.mu.Unlock()
	r.site.log("process started", "machine", r.name, "front", r.front)
	return nil
}

// signal sends a signal to the relay's process.
func (r *relay) signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		r.site.log("signal", "machine", r.name, "signal", signal.String())
		_ = r.process.Process.Signal(signal)
	}
}

// terminate stops the process as the platform does and waits for its end.
func (r *relay) terminate() {
	r.signal(syscall.SIGTERM)
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		r.signal(syscall.SIGKILL)
		<-ended
	}
}

// startAll starts all relays and waits until they are ready.
func (s *site) startAll() error {
	for _, r := range s.relays {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range s.relays {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // until all know of each other
	return nil
}

func (r *relay) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(r.name + " is not ready")
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.starting.Lock()
	defer s.starting.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, r := range s.relays {
		r.mu.Lock()
		process, ended := r.process, r.ended
		r.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs of the processes:", s.folder)
	}
	_ = s.record.Close()
}

// at returns the time since the start in ms.
func (s *site) at(t time.Time) int64 { return t.Sub(s.began).Milliseconds() }

// log writes a line to the record: what happened and its fields.
func (s *site) log(what string, fields ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%7d %s", s.at(time.Now()), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(s.record, line.String())
}

// newID returns an id of one client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Parts of the operator's configuration.
var limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}

func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConnections": 180, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": slots, "KvCapacity": 95290, "KvTokenBytes": 18432, "LinkMbps": 530000.0, "Models": []any{map[string]any{"Name": "m0"}}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
}
