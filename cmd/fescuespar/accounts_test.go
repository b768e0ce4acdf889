package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/core"
	"fescuespar/platform/settings"
	"fescuespar/platform/standin"
)

// secret is a part of each key, so that a trace of any of them is found.
const secret = "secretkey"

// accountSite is a process on the users' platform with a store and a backend server that
// record what reaches them.
type accountSite struct {
	t       *testing.T
	store   *standin.Store
	address string // of the callers' listener
	monitor string // address of metrics and state
	version int

	mu       sync.Mutex
	log      bytes.Buffer
	toStore  bytes.Buffer        // values that the process wrote
	toServer bytes.Buffer        // requests with their headers and bodies
	accounts map[string][]string // values of the account's header by request id
}

// Write implements io.Writer for the process's log.
func (s *accountSite) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(line)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startAccountSite(t *testing.T, keys ...string) *accountSite {
	t.Helper()
	store, err := standin.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	s := &accountSite{t: t, store: store, address: freeAddress(t), monitor: freeAddress(t), accounts: make(map[string][]string)}
	server := httptest.NewServer(http.HandlerFunc(s.serveAsServer))
	t.Cleanup(server.Close)
	for name, models := range map[string]string{"desk": "", "engines": `,"Models":[{"Name":"m","Version":1}]`} {
		store.Write("servers", name+"-1", fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"z","Slots":8,"State":"ready"%s}`,
			name, strings.TrimPrefix(server.URL, "http://"), models))
	}
	s.publish(keys...)
	proxy := httptest.NewServer(s.recordWrites(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})))
	t.Cleanup(proxy.Close)
	service, servers, err := wireRelay(&settings.Settings{
		VM: "vm-1", Zone: "z", Region: "r", Regions: map[core.ZoneName]core.RegionName{"z": "r"}, CallerAddress: s.address,
		PeerAddress: freeAddress(t), MetricsAddress: s.monitor, StoreAddress: strings.TrimPrefix(proxy.URL, "http://"),
		MaxRowBytes: 1 << 16, MemoryBytes: 256 << 20, CPUMillicores: 1000, GracePeriod: time.Second, AddressCacheTime: time.Second,
		MinOrderInterval: time.Second, RegistryRecovery: time.Second,
	}, zerolog.New(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, server := range servers {
			_ = server.Close()
		}
		service.Stop()
	})
	service.Start()
	s.eventually("process ready", service.Ready)
	return s
}

// publish publishes the next version of the configuration, with the keys of account a.
func (s *accountSite) publish(keys ...string) {
	s.version++
	encoded, err := json.Marshal(keys)
	if err != nil {
		s.t.Fatal(err)
	}
	route := func(name, kind, service string, exempt bool) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"h","Prefix":"/%s/","Kind":%q,"Service":%q,"MaxAttempts":2,"TimeoutMs":5000,"ItemTtlS":60,"AuthExempt":%t}`,
			name, name, kind, service, exempt)
	}
	s.store.Write("op", "config", fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":"desk"},{"Name":"engines","Engine":{"Slots":8}}],
		"Tenants":[{"Name":"a","ApiKeys":%s},{"Name":"b","ApiKeys":["b-%s"]}]}`, s.version, strings.Join([]string{
		route("lookup", "idempotent", "desk", false), route("once", "non_idempotent", "desk", false), route("open", "idempotent", "desk", true),
		route("stream", "streaming", "engines", false), route("jobs", "rollout", "engines", false),
	}, ","), encoded, secret))
}

// serveAsServer answers as an engine and as a plain server, and records the request.
func (s *accountSite) serveAsServer(w http.ResponseWriter, r *http.Request) {
	dump, err := httputil.DumpRequest(r, true)
	if err != nil {
		s.t.Error(err)
	}
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	_, _ = s.toServer.Write(dump)
	s.accounts[id] = r.Header["Tenant"]
	s.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", "signed")
	switch {
	case r.URL.Path == "/api/report":
		_, _ = io.WriteString(w, `{"Models":[{"Name":"m","Version":1}]}`)
	case strings.HasPrefix(r.URL.Path, "/stream/"), strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weight-Versions", "1")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
}

// recordWrites records the values of rows and objects that the process writes.
func (s *accountSite) recordWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.t.Error(err)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var message struct{ Puts []struct{ Value []byte } }
		s.mu.Lock()
		if json.Unmarshal(body, &message) == nil {
			for _, put := range message.Puts {
				s.toStore.Write(put.Value)
			}
		}
		s.toStore.WriteString(r.RequestURI)
		s.toStore.Write(body)
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// send sends a request and returns the status, the body and whether its connection
// carried an earlier request.
func (s *accountSite) send(method, target, body string, header ...string) (status int, answer string, reused bool) {
	s.t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(s.t.Context(), trace), method, "http://"+s.address+target, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(read), reused
}

func (s *accountSite) eventually(what string, holds func() bool) {
	s.t.Helper()
	const timeout = 20 * time.Second // ample on a loaded machine
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("condition not met within %v: %s", timeout, what)
}

// get returns a page of the monitoring address.
func (s *accountSite) get(path string) string {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.monitor+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(body)
}

// waitVersion waits until the process has the published configuration.
func (s *accountSite) waitVersion() {
	s.t.Helper()
	s.eventually("configuration in force", func() bool {
		return strings.Contains(s.get(statePath), fmt.Sprintf(`"routes_version":%d,`, s.version))
	})
}

const accountJob = `{"Step":1,"Model":"m","MinVersion":1,"DesiredCount":1,"Requests":[{"Id":"i-1","Path":"/jobs/x",
	"Headers":{"api-key":"a1-secretkey","Tenant":"forged"},"Body":"AAAA","Tokens":9,"Group":"g",
	"ScorerUri":{"Id":"s-1","Host":"h","Path":"/lookup/score","Body":"AAAA"}}]}`

// TestKeysReachNobody sends keys on every path of callers. It guards against a key that
// reaches a server, a stored job, a log line, the metrics or a state dump, and against a
// server that gets another account than the caller's, also from an item of a job.
func TestKeysReachNobody(t *testing.T) {
	s := startAccountSite(t, "a1-"+secret, "a2-"+secret)
	for _, c := range []struct {
		id, method, target, key string
		want                    int
		account                 string // that the server gets; empty for none
	}{
		{"r-1", "POST", "/lookup/x", "a1-" + secret, 200, "a"},
		{"r-2", "POST", "/once/x", "b-" + secret, 200, "b"},
		{"r-3", "POST", "/stream/x", "a2-" + secret, 200, "a"},
		{"r-4", "GET", "/open/x", "", 200, ""},
		{"r-5", "GET", "/open/x", "wrong-" + secret, 200, ""},
		{"r-6", "POST", "/lookup/x", "wrong-" + secret, 401, ""},
		{"r-7", "POST", "/jobs/x", "", 401, ""},
		{"r-8", "GET", "/nothing/x", "wrong-" + secret, 401, ""},
		{"r-9", "GET", "/nothing/x", "a1-" + secret, 404, ""},
		{"j-1", "POST", "/jobs/x", "a1-" + secret, 202, ""},
		{"j-1", "POST", "/jobs/x", "b-" + secret, 404, ""},
		{"j-1", "POST", "/jobs/x", "a2-" + secret, 202, ""},
		{"q-1", "GET", "/api/lots/j-1", "b-" + secret, 404, ""},
		{"q-2", "GET", "/api/items/j-1?Id=i-1", "b-" + secret, 404, ""},
		{"q-3", "DELETE", "/api/lots/j-1", "b-" + secret, 404, ""},
		{"q-4", "GET", "/api/lots/j-1", "wrong-" + secret, 401, ""},
	} {
		body := "body"
		if strings.HasPrefix(c.target, "/jobs/") {
			body = accountJob
		}
		status, _, _ := s.send(c.method, c.target, body, "Attempt-Id", c.id, "Model", "m", "Api-Key", c.key, "Tenant", "forged")
		s.mu.Lock()
		got, ran := s.accounts[c.id]
		s.mu.Unlock()
		if status != c.want || strings.Join(got, ",") != c.account || ran != (c.want == 200) {
			t.Errorf("%s %s with key %q: status %d, server got account %q, ran %t; want %d, %q", c.method, c.target, c.key, status, got, ran, c.want, c.account)
		}
	}
	s.eventually("result of the job", func() bool {
		_, answer, _ := s.send("GET", "/api/lots/j-1", "", "Api-Key", "a2-"+secret)
		return strings.Contains(answer, `"State":"completed"`)
	})
	if status, _, _ := s.send("GET", "/api/items/j-1?Id=i-1", "", "Api-Key", "a2-"+secret); status != 200 {
		t.Errorf("item body for the job's account: status %d", status)
	}
	state, metrics := s.get(statePath), s.get(metricsPath)
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, score := s.accounts["i-1"], s.accounts["s-1"]; strings.Join(item, ",") != "a" || len(score) > 0 {
		t.Errorf("the item ran for account %q, its scorer call for %q; want a and none", item, score)
	}
	for where, text := range map[string]string{
		"server": s.toServer.String(), "store": s.toStore.String(), "log": s.log.String(), "state": state, "metrics": metrics,
	} {
		if text == "" || strings.Contains(text, secret) || strings.Contains(text, "forged") {
			t.Errorf("%s: %d bytes, with a key %t, with a forged account %t", where, len(text), strings.Contains(text, secret), strings.Contains(text, "forged"))
		}
	}
}

// TestRemovedKeyOnKeptConnection guards against a connection that goes on with a key that
// was removed, and against a removed key that ends a job or its connection.
func TestRemovedKeyOnKeptConnection(t *testing.T) {
	s := startAccountSite(t, "a1-"+secret, "a2-"+secret)
	send := func(key, target string, want int) {
		t.Helper()
		status, _, reused := s.send("GET", target, "", "Attempt-Id", "r", "Api-Key", key)
		if status != want || !reused {
			t.Errorf("key %q on %s: status %d, kept connection %t; want %d on a kept one", key, target, status, reused, want)
		}
	}
	if status, _, _ := s.send("POST", "/jobs/x", accountJob, "Attempt-Id", "j-1", "Api-Key", "a1-"+secret); status != 202 {
		t.Fatalf("submission: status %d", status)
	}
	send("a1-"+secret, "/lookup/x", 200)
	s.publish("a2-" + secret)
	s.waitVersion()
	send("a1-"+secret, "/lookup/x", 401)
	send("a1-"+secret, "/api/lots/j-1", 401)
	send("a2-"+secret, "/lookup/x", 200)
	s.eventually("result of the job", func() bool {
		_, answer, _ := s.send("GET", "/api/lots/j-1", "", "Api-Key", "a2-"+secret)
		return strings.Contains(answer, `"State":"completed"`)
	})
	s.publish("a1-"+secret, "a3-"+secret) // in force here after a read for the next request, at the latest
	send("a3-"+secret, "/lookup/x", 200)
	send("a1-"+secret, "/lookup/x", 200)
	send("a2-"+secret, "/lookup/x", 401)
	s.mu.Lock()
	defer s.mu.Unlock()
	if log := s.log.String(); !strings.Contains(log, `"reason":"removed_key","account":"a"`) || strings.Contains(log, secret) {
		t.Errorf("the log does not say why the key was refused, or holds it:\n%s", log)
	}
}
