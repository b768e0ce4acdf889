package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// directory is a client's answer of a directory. It is asked for a new one when the time
// to live is over; keep multiplies that time.
type directory struct {
	site *site
	keep float64

	// mu guards the fields below.
	mu        sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]time.Time
}

func newDirectory(s *site, keep float64) *directory {
	return &directory{site: s, keep: keep, failed: make(map[string]time.Time)}
}

// pick returns the address for a new connection: one at random among those that have not
// failed in the last seconds.
func (d *directory) pick() (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.until) || d.allFailed() {
		if addresses, ttl, err := d.site.resolve(); err == nil {
			d.addresses, d.until = addresses, time.Now().Add(time.Duration(d.keep*ttl*float64(time.Second)))
			clear(d.failed)
		}
	}
	usable := slices.DeleteFunc(slices.Clone(d.addresses), func(a string) bool { return !d.failed[a].IsZero() })
	if len(usable) == 0 {
		return "", errors.New("no address")
	}
	return usable[rand.IntN(len(usable))], nil
}

func (d *directory) allFailed() bool {
	for _, address := range d.addresses {
		if d.failed[address].IsZero() {
			return false
		}
	}
	return true
}

func (d *directory) fail(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = time.Now()
}

// resolve asks up to three directories, in random order.
func (s *site) resolve() ([]string, float64, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for tried, i := range rand.Perm(len(s.relays)) {
		if tried == 3 {
			break
		}
		response, err := client.Get("http://" + s.relays[i].directory + "/api/resolve?Name=site.example&Region=qc-est&Zone=qc-est-a")
		if err != nil {
			continue
		}
		var message struct {
			Addresses []string
			TtlS      float64
		}
		err = json.NewDecoder(response.Body).Decode(&message)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(message.Addresses) > 0 {
			return message.Addresses, min(message.TtlS, 5), nil
		}
	}
	return nil, 0, errors.New("no directory answered")
}

// attempt is one client attempt and what the client saw of it.
type attempt struct {
	id       string
	address  string
	sent     time.Time // when its last byte was sent
	ended    time.Time
	status   int // zero for none
	stamp    string
	events   int   // of a stream
	err      error // the connection ended without a complete answer
	complete bool
}

const host = "site.example"

// send sends a request on a new connection and reads the whole answer.
func (s *site) send(ctx context.Context, address, method, path, id string, header map[string]string, body []byte, onData func()) (a attempt, answer []byte) {
	a = attempt{id: id, address: address}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a, nil
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if id != "" {
		request.Header.Set("Attempt-Id", id)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	a.sent = time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.ended, a.err = time.Now(), err
		return a, nil
	}
	defer response.Body.Close()
	a.status, a.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		answer = append(answer, buffer[:n]...)
		if n > 0 && onData != nil {
			onData()
		}
		if err != nil {
			a.ended = time.Now()
			a.complete = err == io.EOF
			if !a.complete {
				a.err = err
			}
			a.events = bytes.Count(answer, []byte("\n\n"))
			return a, answer
		}
	}
}

// trainerItem is an item of a batch job.
type trainerItem struct {
	ID        string            `json:"Id"`
	Path      string            `json:"Path"`
	Headers   map[string]string `json:"Headers"`
	Body      []byte            `json:"Body"`
	Tokens    int               `json:"Tokens"`
	Group     string            `json:"Group"`
	ScorerUri map[string]any    `json:"ScorerUri,omitempty"`
}

// batch is a batch job of a trainer.
type batch struct {
	id        string
	step      int
	desired   int
	items     []trainerItem
	submitted time.Time
	accepted  time.Time // when the 202 arrived
	ended     time.Time // when the 200 to its end arrived
	listed    map[string]bool
}

// withoutRewards removes the reward calls.
func (b *batch) withoutRewards() *batch {
	for i := range b.items {
		b.items[i].ScorerUri = nil
	}
	return b
}

// newBatch returns a batch job whose items have reward calls.
func newBatch(step, groups, size, desired int) *batch {
	b := &batch{id: newID(), step: step, desired: desired, listed: make(map[string]bool)}
	for group := range groups {
		for range size {
			id := newID()
			b.items = append(b.items, trainerItem{
				ID: id, Path: "/rollout/" + id, Headers: map[string]string{"Model": "m0", "Token-Count": "255,24", "Prompt-Prefix": fmt.Sprintf("%x:255", step*100+group)},
				Body: []byte("prompt"), Tokens: 279, Group: fmt.Sprintf("g%d-%d", step, group),
				ScorerUri: map[string]any{"Id": newID(), "Host": host, "Path": "/reward/" + id, "Body": []byte("score it")},
			})
		}
	}
	return b
}

// submit submits a batch job, again after each failure at another address.
func (s *site) submit(d *directory, b *batch) error {
	body, err := json.Marshal(map[string]any{"Step": b.step, "Model": "m0", "MinVersion": 1, "DesiredCount": b.desired, "Requests": b.items})
	if err != nil {
		return err
	}
	b.submitted = time.Now()
	for range 5 {
		address, err := d.pick()
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		a, _ := s.send(ctx, address, http.MethodPost, "/rollout/"+b.id, b.id, map[string]string{"Content-Type": "application/json"}, body, nil)
		cancel()
		s.log("job submitted", "job", b.id, "address", address, "status", a.status, "error", a.err)
		if a.status == http.StatusAccepted {
			b.accepted = time.Now()
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("job not accepted")
}

// poll reads the results of a job once.
func (s *site) poll(d *directory, b *batch, after int) (next int) {
	address, err := d.pick()
	if err != nil {
		return after
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	a, answer := s.send(ctx, address, http.MethodGet, "/api/lots/"+b.id+"?After="+strconv.Itoa(after), "", map[string]string{"Wait-Ms": "300"}, nil, nil)
	var page struct {
		Next    int
		Results []struct{ Id, State string }
	}
	if a.status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
		return after
	}
	for _, result := range page.Results {
		b.listed[result.Id] = true
		s.log("result read", "job", b.id, "item", result.Id, "state", result.State)
	}
	return page.Next
}

// completeGroups returns the number of groups of which all items are listed.
func (b *batch) completeGroups() int {
	open, all := map[string]bool{}, map[string]bool{}
	for _, item := range b.items {
		all[item.Group] = true
		if !b.listed[item.ID] {
			open[item.Group] = true
		}
	}
	return len(all) - len(open)
}

// end ends a job until it is acknowledged.
func (s *site) end(d *directory, b *batch) bool {
	for range 10 {
		address, err := d.pick()
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		a, _ := s.send(ctx, address, http.MethodDelete, "/api/lots/"+b.id, "", nil, nil, nil)
		cancel()
		if a.status == http.StatusOK {
			b.ended = time.Now()
			s.log("job end acknowledged", "job", b.id, "address", address, "listed", len(b.listed))
			return true
		}
	}
	return false
}

// step runs one step of a trainer: it ends the job when enough groups are complete, or at
// its deadline.
func (s *site) step(d *directory, b *batch, deadline time.Duration) error {
	if err := s.submit(d, b); err != nil {
		return err
	}
	for next := 0; b.completeGroups() < b.desired && time.Since(b.submitted) < deadline; time.Sleep(100 * time.Millisecond) {
		next = s.poll(d, b, next)
	}
	s.log("step over", "job", b.id, "step", b.step, "groups", b.completeGroups(), "of", b.desired)
	if !s.end(d, b) {
		return errors.New("the end of a job was not acknowledged")
	}
	return nil
}
