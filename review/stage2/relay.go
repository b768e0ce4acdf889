package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort, readyPort, directoryPort, metricsPort, peerPort = 18161, 18167, 18164, 9464, 17720

	restartDelay = 2 * time.Second
	graceS       = 8
)

// relay is one machine of the deployment, which runs the program's process. Like the
// platform it ends a process that exceeds its memory, and starts a process that has ended
// again after a short delay.
type relay struct {
	name, ip  string
	memoryMB  int
	folder    string
	record    *recorder
	processMu sync.Mutex
	command   *exec.Cmd
	stopped   bool
	ends      int // by itself or for its memory
	overLimit int // of them, for its memory
	peakKB    int
	disturbed bool // the next end was caused by the script
	done      chan struct{}
}

func freeNetwork(machines int) (string, error) {
	for range 200 {
		network := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for n := range machines {
			for _, port := range []int{frontPort, readyPort, directoryPort, metricsPort, peerPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, n+10, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func startRelay(record *recorder, root, folder, network string, n, machines, memoryMB int, storeAddress string) (*relay, error) {
	m := &relay{name: fmt.Sprintf("front-nelson-hall-%d", n), ip: fmt.Sprintf("%s.%d", network, n+10), memoryMB: memoryMB, folder: folder, record: record, done: make(chan struct{})}
	var seeds []string
	for other := range min(3, machines) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8166", network, other+10)))
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = %q
Zone = "nelson-hall"
Region = "kootenay"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
[Zones]
nelson-hall = "kootenay"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:8166"
Directory = "%s:%d"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = %d
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 4000
AckMs = 5000
DrainMs = 2500
GraceS = %d
ConfigApplyMs = 2500
RecoveryS = 12
FinishS = 10
StatusTtlS = 120
CancelMs = 3000
SettleMs = 1000
FencingRequired = false
LeaseMs = 3000
ThawSlackMs = 300
ttl_max_s = 5
[Platform]
Address = %q
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
`, m.name, m.ip, peerPort, peerPort+15, strings.Join(seeds, ","), m.ip, frontPort, m.ip, readyPort, m.ip, m.ip, directoryPort, memoryMB, graceS, storeAddress)
	settings := filepath.Join(folder, m.name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	go m.keep(root, settings)
	return m, nil
}

// keep runs the process until stop.
func (m *relay) keep(root, settings string) {
	defer close(m.done)
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer log.Close()
	// The kernel ends the process when the thread that started it ends.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		command := exec.Command(filepath.Join(root, "target/fescuespar"), "relay")
		command.Dir = root
		command.Env = []string{"FESCUESPAR_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		m.processMu.Lock()
		if m.stopped {
			m.processMu.Unlock()
			return
		}
		err := command.Start()
		m.command, m.disturbed = command, false
		m.processMu.Unlock()
		if err != nil {
			m.record.line("%s does not start: %v", m.name, err)
			return
		}
		ended := make(chan struct{})
		go m.watchMemory(command.Process, ended)
		err = command.Wait()
		close(ended)
		m.processMu.Lock()
		stopped, disturbed := m.stopped, m.disturbed
		if !stopped && !disturbed {
			m.ends++
		}
		m.processMu.Unlock()
		if stopped {
			return
		}
		m.record.line("process of %s ended: %v", m.name, err)
		time.Sleep(restartDelay)
	}
}

// watchMemory ends a process whose own memory exceeds the limit of its machine.
func (m *relay) watchMemory(process *os.Process, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentKB(process.Pid)
		m.processMu.Lock()
		m.peakKB = max(m.peakKB, used)
		over := used > m.memoryMB<<10 && !m.stopped
		if over {
			m.overLimit++
		}
		m.processMu.Unlock()
		if over {
			m.record.line("process of %s holds %d MB of its own memory, over MemoryMb = %d: killed", m.name, used>>10, m.memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// residentKB returns the anonymous memory of a process, without the pages of its program.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(status), "RssAnon:")
	if fields := strings.Fields(rest); found && len(fields) > 0 {
		used, _ := strconv.Atoi(fields[0])
		return used
	}
	return 0
}

// signal sends a signal to the process as a disruption.
func (m *relay) signal(s syscall.Signal) {
	m.processMu.Lock()
	defer m.processMu.Unlock()
	if m.command != nil && m.command.Process != nil {
		m.disturbed = s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = m.command.Process.Signal(s)
	}
}

func (m *relay) counts() (ends, overLimit, peakMB int) {
	m.processMu.Lock()
	defer m.processMu.Unlock()
	return m.ends, m.overLimit, m.peakKB >> 10
}

func (m *relay) stop() {
	m.processMu.Lock()
	m.stopped = true
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
	}
	m.processMu.Unlock()
	<-m.done
}

func (m *relay) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

func (m *relay) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isCoordinator reports whether the process says in its state that it holds the lease.
func (m *relay) isCoordinator() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/state", m.ip, metricsPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return readState(response.Body)
}
