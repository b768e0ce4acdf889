package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

const grace = 8 * time.Second

// relay is one process of the system, on a loopback address of its own.
type relay struct {
	record *record
	name   string
	host   string
	folder string
	gate   *storeGate

	mu      sync.Mutex
	command *exec.Cmd
	done    bool
	ended   chan struct{}
}

func (r *relay) front() string { return r.host + ":8161" }
func (r *relay) ready() string { return r.host + ":8167" }

// settings returns the settings file as the platform writes it, with the fields and bounds of
// a small deployment.
func (r *relay) settings(seed string) string {
	return fmt.Sprintf(`NodeName = %[1]q
Role = "entry"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = %[2]q
Zone = "z1"
Region = "r1"
InternalPorts = [7720,7735]
Seeds = ["%[3]s:8166"]
Bootstrap = true
InFaultBudget = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
z1 = "r1"
[Listen]
Front = "%[2]s:8161"
Ready = "%[2]s:8167"
Control = "%[2]s:8166"
Directory = "%[2]s:8164"
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
Address = %[4]q
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
`, r.name, r.host, seed, r.gate.address)
}

// program returns the path of the program that the deploy file builds.
func program() (string, error) {
	path, err := filepath.Abs(filepath.Join(repository(), "target", "fescuespar"))
	if err == nil {
		_, err = os.Stat(path)
	}
	return path, err
}

func repository() string {
	if root := os.Getenv("REPOSITORY"); root != "" {
		return root
	}
	return "."
}

// start starts the process, and again whenever it ends.
func (r *relay) start(seed string) error {
	path, err := program()
	if err != nil {
		return err
	}
	settings := filepath.Join(r.folder, r.name+".toml")
	if err := os.WriteFile(settings, []byte(r.settings(seed)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.folder, r.name+".log"))
	if err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func() {
		defer close(r.ended)
		defer log.Close()
		runtime.LockOSThread() // the kernel ends the process with this thread
		for {
			command := exec.Command(path, "relay")
			command.Dir = repository()
			command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FESCUESPAR_CONFIG=" + settings}
			command.Stdout, command.Stderr = log, log
			command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			r.mu.Lock()
			if r.done {
				r.mu.Unlock()
				return
			}
			err := command.Start()
			r.command = command
			r.mu.Unlock()
			if err != nil {
				r.record.logf("%s did not start: %v", r.name, err)
				return
			}
			_ = command.Wait()
			r.record.logf("%s ended: %v", r.name, command.ProcessState)
			time.Sleep(restartDelay)
		}
	}()
	return nil
}

// signal sends signals to the current process, one right after the other.
func (r *relay) signal(signals ...syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range signals {
		_ = r.command.Process.Signal(s)
	}
	r.record.logf("%s gets %v", r.name, signals)
}

// terminate sends SIGTERM after some other signals, and SIGKILL after the grace period.
func (r *relay) terminate(before ...syscall.Signal) {
	r.mu.Lock()
	stopped := r.command
	r.mu.Unlock()
	r.signal(append(before, syscall.SIGTERM)...)
	time.AfterFunc(grace, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.command == stopped && !r.done && stopped.ProcessState == nil {
			r.record.logf("%s gets SIGKILL, %v after SIGTERM", r.name, grace)
			_ = stopped.Process.Kill()
		}
	})
}

// stop ends the process for good.
func (r *relay) stop() {
	r.mu.Lock()
	r.done = true
	if r.command != nil && r.command.Process != nil {
		_ = r.command.Process.Signal(syscall.SIGCONT)
		_ = r.command.Process.Kill()
	}
	r.mu.Unlock()
	<-r.ended
}

// isReady asks the process whether it is ready.
func (r *relay) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready()+"/api/readiness", nil)
	if err != nil {
		return false
	}
	response, err := freshClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freshClient opens a connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
