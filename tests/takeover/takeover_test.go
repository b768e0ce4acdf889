// Package takeover measures what it costs a process to take over a job of which another
// coordinator has listed most results.
package takeover

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/bodycodec"
	"fescuespar/internal/adapters/logwrite"
	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/platform/standin"
	"fescuespar/platform/store"
)

const (
	remaining        = 32                      // items whose results are not listed
	rowLatency       = 4 * time.Millisecond    // of a call about rows
	objectLatency    = 25 * time.Millisecond   // of a call about an object
	formerTerm       = 1500 * time.Millisecond // of the lease of the coordinator that is gone
	longestWait      = 60 * time.Second        // for the first run
	samplingInterval = 2 * time.Millisecond
	logDelay         = 500 * time.Millisecond // until a log line is written
	target           = 3 * time.Second        // from the lease to the first run
	serviceName      = "coach"
	routeHost        = "h"
)

var programPath = flag.String("program", "", "program to measure; empty to build this one")

// program returns the program to measure.
func program(b *testing.B) string {
	if *programPath != "" {
		return *programPath
	}
	path := filepath.Join(b.TempDir(), "fescuespar")
	command := exec.Command("go", "build", "-o", path, "./cmd/fescuespar")
	command.Dir = "../.."
	if output, err := command.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, output)
	}
	return path
}

// BenchmarkTakeover kills no process: a row names a coordinator that never renews its
// lease. One process with a VM of 184 MB takes the lease and runs the other items. Texts of
// 60 KB are objects, those of 40 KB are in rows. "unindexed" are results that an earlier
// release has listed, which keeps no record of the settled items.
func BenchmarkTakeover(b *testing.B) {
	path := program(b)
	for _, c := range []struct {
		items, textBytes int
		isIndexed        bool
	}{
		{600, 60_000, true}, {2048, 60_000, true}, {8192, 60_000, true}, {8192, 40_000, true},
		{600, 60_000, false}, {2048, 60_000, false}, {8192, 60_000, false}, {8192, 40_000, false},
	} {
		name := fmt.Sprintf("items=%d/text=%d", c.items, c.textBytes)
		if !c.isIndexed {
			name += "/unindexed"
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measure(b, path, c.items, c.textBytes, c.isIndexed)
			}
		})
	}
}

func measure(b *testing.B, path string, items, textBytes int, isIndexed bool) {
	platform, err := standin.StartStore()
	if err != nil {
		b.Fatal(err)
	}
	defer platform.Close()
	var firstRun atomic.Int64
	engine := startEngine(b, platform, &firstRun)
	defer engine.Close()
	seed(b, platform, items, textBytes, isIndexed)
	platform.SetLatency(rowLatency, objectLatency)
	host := fmt.Sprintf("127.%d.%d.2", 100+os.Getpid()>>8%100, 1+os.Getpid()%250)
	folder := b.TempDir()
	settings := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(settings, []byte(settingsFor(host, platform.Address())), 0o600); err != nil {
		b.Fatal(err)
	}
	logPath := filepath.Join(folder, "log")
	log, err := os.Create(logPath)
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(path, "relay")
	command.Env, command.Stdout, command.Stderr = append(os.Environ(), "FESCUESPAR_CONFIG="+settings), log, log
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	var samples []sample // of the store's traffic until the first run
	for end := time.Now().Add(longestWait); firstRun.Load() == 0 && time.Now().Before(end); time.Sleep(samplingInterval) {
		samples = append(samples, sample{time.Now(), platform.Traffic()})
	}
	after := platform.Traffic()
	time.Sleep(logDelay)
	acquired := leaseAcquired(b, logPath)
	atLease := samples[0].traffic
	for _, s := range samples {
		if s.at.Before(acquired) {
			atLease = s.traffic
		}
	}
	took := longestWait
	if firstRun.Load() != 0 {
		took = time.Unix(0, firstRun.Load()).Sub(acquired)
	}
	b.ReportMetric(took.Seconds(), "s/first-run")
	b.ReportMetric(float64(after.Calls[faults.ObjectRead]-atLease.Calls[faults.ObjectRead]), "object-reads")
	b.ReportMetric(float64(after.Calls[faults.TableRead]-atLease.Calls[faults.TableRead]), "row-reads")
	b.ReportMetric(float64(after.Bytes-atLease.Bytes)/1e6, "MB-read")
	b.ReportMetric(peakMemory(b, command.Process.Pid), "MB-peak")
	b.ReportMetric(0, "ns/op")
	if isIndexed && took > target {
		b.Errorf("first run after %v, want %v", took, target)
	}
}

// startEngine starts an engine that registers itself and holds each run.
func startEngine(b *testing.B, platform *standin.Store, firstRun *atomic.Int64) *httptest.Server {
	report := map[string]any{"Models": []any{map[string]any{"Name": "m", "Version": 1}}}
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/report" {
			_ = json.NewEncoder(w).Encode(report)
			return
		}
		firstRun.CompareAndSwap(0, time.Now().UnixNano())
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	write := func(table, key string, message any) {
		value, err := json.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		platform.Write(table, key, value)
	}
	write("servers", "engine-1", map[string]any{
		"Service": serviceName, "Address": engine.Listener.Addr().String(), "Zone": "z1", "Version": "v1", "State": "ready",
		"SeqNo": 1, "born": 1, "Slots": 16, "Models": report["Models"],
	})
	write("op", "config", map[string]any{
		"Version": 1, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 25, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Routes": []any{map[string]any{"Name": "jobs", "Host": routeHost, "Prefix": "/jobs/", "Kind": "rollout", "Service": serviceName,
			"MaxAttempts": 3, "TimeoutMs": 10000, "TargetLatencyMs": 400, "ResultDeadlineMs": 60000, "ItemTtlS": 600}},
		"Services": []any{map[string]any{"Name": serviceName, "MaxConnections": 100, "Engine": map[string]any{"Slots": 16}}},
	})
	return engine
}

// seed stores a job, the results of all but the last items, and the lease of a coordinator
// that is gone.
func seed(b *testing.B, platform *standin.Store, items, textBytes int, isIndexed bool) {
	client := store.New(platformhttp.NewTransport(), platform.Address(), 10*time.Second, nil, zerolog.Nop())
	put := func(key core.ObjectKey, body []byte, err error) {
		if err == nil {
			err = client.Put(b.Context(), key, body)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	commit := func(writes ...core.Write) {
		result, err := client.Commit(b.Context(), core.Commit{Attempt: "seed", Writes: writes})
		if err != nil || !result.Applied {
			b.Fatalf("%+v, %v", result, err)
		}
	}
	key := func(table core.TableName, format string, arguments ...any) core.RowKey {
		return core.RowKey{Table: table, ID: "work|" + fmt.Sprintf(format, arguments...)}
	}
	submitted := core.Job{ID: "j", Host: routeHost, Path: "/jobs/x", Model: "m", Oldest: 1}
	for n := range items {
		submitted.Items = append(submitted.Items, core.JobItem{ID: core.ItemID(fmt.Sprintf("item-%d", n)), Path: "/jobs/item", Body: bytes.Repeat([]byte("p"), 500), Tokens: 2000})
	}
	body, err := bodycodec.Codec{}.EncodeJob(submitted)
	put("job-j", body, err)
	commit(core.Write{Key: key(core.TableJob, "job/j"), Record: core.JobRecord{Service: serviceName, Items: items, Body: "job-j"}})
	text := strings.Repeat("t", textBytes)
	settled := make([]byte, (items+7)/8)
	for n := range items - remaining {
		result := core.ItemResult{Item: submitted.Items[n].ID, State: core.ItemCompleted, Text: text, Versions: []core.WeightVersion{1}}
		record := core.ResultRecord{Result: result}
		if textBytes > 48<<10 {
			object := core.ObjectKey(fmt.Sprint("result-j-", n))
			body, err := bodycodec.Codec{}.EncodeResult(result)
			put(object, body, err)
			record = core.ResultRecord{Overflow: object}
		}
		settled[n/8] |= 1 << (n % 8)
		commit(core.Write{Key: key(core.TableResult, "list/j/%08d", n), Record: record})
	}
	if named := job.SettledItems(&submitted, core.SettledRecord{Items: settled}); len(named) != items-remaining {
		b.Fatalf("the record names %d items", len(named))
	}
	if isIndexed {
		commit(core.Write{Key: key(core.TableSettled, "settled/j/items"), Record: core.SettledRecord{Items: settled}})
	}
	commit(
		core.Write{Key: key(core.TableLease, "service/"+serviceName), Record: core.LeaseRecord{Holder: "vm-gone", Incarnation: 1, Term: formerTerm, OrdersClear: true}},
		core.Write{Key: key(core.TableFence, "service/"+serviceName), Record: core.FenceRecord{Number: 1, Holder: "vm-gone", Incarnation: 1}})
}

func settingsFor(host, platform string) string {
	return fmt.Sprintf(`NodeName = "vm-1"
Ip = %[1]q
Zone = "z1"
Region = "r"
InternalPorts = [17720,17735]
Seeds = ["%[1]s:1"]
[Zones]
z1 = "r"
[Listen]
Front = "%[1]s:18161"
Ready = "%[1]s:18167"
Directory = "%[1]s:18164"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 184
[Bounds]
GraceS = 8
LeaseMs = 3000
ttl_max_s = 2
[Platform]
Address = %[2]q
RowBytes = 65536
`, host, platform)
}

// sample is the store's traffic at a time.
type sample struct {
	at      time.Time
	traffic standin.Traffic
}

// leaseAcquired returns the time at which a process logged that it acquired the lease.
func leaseAcquired(b *testing.B, path string) time.Time {
	content, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		var entry struct{ Message, Time string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == logs.LeaseAcquired {
			at, err := time.Parse(logwrite.TimeFormat, entry.Time)
			if err != nil {
				b.Fatal(err)
			}
			return at
		}
	}
	b.Fatalf("no lease after %v:\n%s", longestWait, content)
	return time.Time{}
}

// peakMemory returns the largest resident size of a process in MB.
func peakMemory(b *testing.B, pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kilobytes); err == nil {
			return kilobytes / 1e3
		}
	}
	b.Fatal("no peak in the status of the process")
	return 0
}
