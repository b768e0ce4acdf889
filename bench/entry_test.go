package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/standin/entryclient"
	"fescuespar/standin/site"
)

// benchTimeout bounds one benchmark with its setup.
const benchTimeout = 60 * time.Second

// startSite starts three engines and one entry process that uses one core. It
// returns the entry process's address and one of the engines.
func startSite(b *testing.B) (entry string, engine core.VM) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	b.Cleanup(cancel)
	directory := b.TempDir()
	build := exec.CommandContext(ctx, "go", "build", "-o", directory+"/", "./cmd/fescuespar", "./standin/cmd/standin")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		b.Fatal(string(output))
	}
	product := directory + "/fescuespar"
	s, err := site.Open(ctx, site.Options{Product: product, Standin: directory + "/standin"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	for i := range 3 {
		id := fmt.Sprintf("engine-%d", i)
		_, address, err := s.StartServer(ctx, "engine", site.Server{ID: id, Service: "coach-model", Zone: "z1", Region: "r"},
			"--model", "coach-model", "--step", "1ms")
		if err != nil {
			b.Fatal(err)
		}
		engine = core.VM{ID: core.ServerID(id), Kind: core.KindEngine, Address: address}
	}
	b.Setenv("GOMAXPROCS", "1")
	started, err := s.StartEntry(ctx, "z1", "r")
	if err != nil {
		b.Fatal(err)
	}
	publish := exec.CommandContext(ctx, product, "publish", "../examples/demo", "--address", started.Address,
		"--token", site.OperatorToken, "--operator", "op", "--wait")
	if output, err := publish.CombinedOutput(); err != nil {
		b.Fatal(string(output))
	}
	return started.Address, engine
}

// complete requests one token and reads the full answer.
func complete(client *http.Client, address string) error {
	body := strings.NewReader(`{"model":"coach","prompt":"how do I mend a kettle","max_tokens":1}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+site.CallerToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, answer)
	}
	return err
}

// BenchmarkEntry compares a request sent directly to an engine with one sent
// through an entry process, and measures the throughput of one entry process on
// one core.
func BenchmarkEntry(b *testing.B) {
	entry, engine := startSite(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: benchTimeout}
	direct := enginehttp.New(5 * time.Second)
	ready, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	var backoff entryclient.Backoff
	for err := complete(client, entry); err != nil; err = complete(client, entry) { // until the entry process has discovered the engines
		if backoff.Wait(ready) != nil {
			b.Fatal(err)
		}
	}
	b.Run("direct", func(b *testing.B) {
		for i := range b.N {
			request := core.GenerateRequest{Stream: fmt.Sprintf("direct-%d-%d", b.N, i), Model: "coach-model",
				Prompt: "how do I mend a kettle", MaxTokens: 1}
			if _, err := direct.Generate(context.Background(), engine, request, func(core.Chunk) error { return nil }); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("through an entry process", func(b *testing.B) {
		for range b.N {
			if err := complete(client, entry); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("16 at once", func(b *testing.B) {
		failed := make(chan error, 16)
		for range 16 {
			go func() {
				var err error
				for i := 0; i < (b.N+15)/16 && err == nil; i++ {
					err = complete(client, entry)
				}
				failed <- err
			}()
		}
		for range 16 {
			if err := <-failed; err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	})
}
