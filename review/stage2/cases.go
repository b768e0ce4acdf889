package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// summarize records what became of the processes. It returns how often they ended by
// themselves, and on how many machines three times or more.
func (d *site) summarize() (ended, thrice int) {
	for _, m := range d.relays {
		ends, over, peak := m.counts()
		d.record.line("%s: its process ended %d times by itself, %d of them over MemoryMb; most memory %d MB", m.name, ends, over, peak)
		ended += ends
	}
	return ended, d.machinesThrice()
}

// machinesThrice returns on how many machines processes ended by themselves three times.
func (d *site) machinesThrice() int {
	thrice := 0
	for _, m := range d.relays {
		if ends, _, _ := m.counts(); ends >= 3 {
			thrice++
		}
	}
	return thrice
}

// verdict records and prints the outcome.
func (d *site) verdict(isBroken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	d.record.line("%s", text)
	fmt.Println(text)
	if isBroken {
		return broken
	}
	return held
}

// playPrefix lets one client submit a batch job of one item whose prompt has a part of very
// many tokens, among the steps of an ordinary trainer.
func playPrefix(root, folder string, trouble bool) int {
	d, err := startSite(root, folder, shape{machines: 4, memoryMB: 154, engines: 4, slots: 16, eventEvery: 20 * time.Millisecond, eventBytes: 220, itemTTL: 40})
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	step := func(n int) (accepted bool, read, items int) {
		b := newBatch(fmt.Sprintf("7c41e09b52d6a3%02x", n), 16, 22, 600)
		if !d.submit(b, n, time.Now().Add(5*time.Second)) {
			return false, 0, 16
		}
		read = d.readAll(b, n+1, time.Now().Add(7500*time.Millisecond))
		d.end(b, n)
		return true, read, 16
	}
	if accepted, read, items := step(0); !accepted || read < items {
		return fail(fmt.Errorf("an ordinary batch job is not done in calm"))
	}
	tokens := 16
	if trouble {
		tokens = 4_000_000_000_000
	}
	odd := &batch{id: "aa41e09b52d6a3f8", items: []item{{id: "aab2907c14da6f38", group: "g1", prefix: fmt.Sprintf("9c2e41:1000,5d07b8:%d", tokens), events: 22, bodyBytes: 600}}}
	d.submit(odd, 1, time.Now().Add(5*time.Second))
	steps, whole := 0, 0
	for n, end := 1, time.Now().Add(55*time.Second); time.Now().Before(end) && d.machinesThrice() < 2; n++ {
		accepted, read, items := step(n)
		steps++
		if accepted && read == items {
			whole++
		}
		time.Sleep(time.Second)
	}
	ended, thrice := d.summarize()
	return d.verdict(thrice >= 2, "%d of %d later steps of the ordinary trainer done; processes ended %d times by themselves, three times or more on %d of %d machines", whole, steps, ended, thrice, len(d.relays))
}

// playUpgrade lets the workers of a service start again in place, under their ids, with
// another version of their software, while items run on them.
func playUpgrade(root, folder string, trouble bool) int {
	d, err := startSite(root, folder, shape{machines: 4, memoryMB: 154, engines: 2, slots: 16, eventEvery: 20 * time.Millisecond, eventBytes: 60, itemTTL: 60})
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	time.Sleep(2 * time.Second)
	mixed, read := 0, 0
	for round := range 4 {
		b := newBatch(fmt.Sprintf("6c41e09b52d6a3%02x", round), 8, 200, 600)
		if !d.submit(b, round, time.Now().Add(8*time.Second)) {
			return fail(fmt.Errorf("the batch job is not accepted"))
		}
		time.Sleep(2800 * time.Millisecond)
		software := "s1"
		if trouble && round%2 == 0 {
			software = "s2"
		}
		var all sync.WaitGroup
		for _, w := range d.workers[:2] {
			all.Go(func() {
				w.crash()
				time.Sleep(650 * time.Millisecond)
				if err := w.restart(software); err != nil {
					d.record.line("restart: %v", err)
				}
			})
		}
		all.Wait()
		next := 0
		for end := time.Now().Add(14 * time.Second); time.Now().Before(end) && next < len(b.items); time.Sleep(200 * time.Millisecond) {
			page, _ := d.read(b, d.relays[round], next)
			for _, r := range page.Results {
				read++
				if strings.Contains(r.Text, "/s1 ") && strings.Contains(r.Text, "/s2 ") {
					mixed++
					d.record.line("result %s holds events of both software versions", r.ID)
				}
			}
			next += len(page.Results)
		}
		d.end(b, round)
	}
	return d.verdict(mixed > 2, "%d results read, %d of them with events of two software versions", read, mixed)
}

// playRoute removes the route of one trainer, whose batch job is open, while a step of
// another trainer is in progress on the same workers.
func playRoute(root, folder string, trouble bool) int {
	s := shape{machines: 4, memoryMB: 154, engines: 4, slots: 16, eventEvery: 40 * time.Millisecond, eventBytes: 220, itemTTL: 40, two: true}
	d, err := startSite(root, folder, s)
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	time.Sleep(2 * time.Second)
	guide, triage := newBatch("6c41e09b52d6a3f8", 96, 60, 600), newBatch("7c41e09b52d6a3f8", 400, 12, 600)
	for n := range guide.items {
		guide.items[n].events = 50 + 100*(n%64)/64 // texts of 2 to 6 s
	}
	ahead := newBatch("8c41e09b52d6a3f8", 400, 12, 600)
	triage.route, ahead.route = "/trig118/", "/trig118/"
	began := time.Now()
	if !d.submit(guide, 0, time.Now().Add(2*time.Second)) {
		return fail(fmt.Errorf("not accepted"))
	}
	time.Sleep(300 * time.Millisecond)
	if !d.submit(triage, 1, time.Now().Add(2*time.Second)) || !d.submit(ahead, 2, time.Now().Add(2*time.Second)) {
		return fail(fmt.Errorf("not accepted"))
	}
	if trouble {
		s.two = false
		d.publish(s)
		d.record.line("configuration without the route of %s acknowledged", triage.id)
	}
	deadline := began.Add(12 * time.Second)
	read := make(chan int)
	go func() { read <- d.readAll(guide, 2, deadline) }()
	busiest, idleSince := 0, time.Time{}
	for time.Now().Before(deadline) {
		running := 0
		for _, w := range d.workers[:s.engines] {
			running += w.load()
		}
		if running*2 >= s.engines*s.slots {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
			d.record.line("the workers are under half full from now on: %d runs", running)
		}
		busiest = max(busiest, running)
		time.Sleep(50 * time.Millisecond)
	}
	listed := <-read
	begun, waiting := 0, 0
	for _, i := range guide.items {
		if d.record.hasBegun(i.id) {
			begun++
		} else {
			waiting++
		}
	}
	idle := time.Duration(0)
	if !idleSince.IsZero() {
		idle = time.Since(idleSince)
	}
	return d.verdict(begun > 0 && waiting > 0 && idle >= 5*time.Second,
		"step of %d items: %d begun, %d at no worker until its time was out, %d listed; the workers were under half full for the last %.1f s", len(guide.items), begun, waiting, listed, idle.Seconds())
}

// playModel lets one of two trainers on the same workers stop, and the other one go on.
func playModel(root, folder string, trouble bool) int {
	s := shape{machines: 4, memoryMB: 154, engines: 8, slots: 8, eventEvery: 25 * time.Millisecond, eventBytes: 220, itemTTL: 40, models: true}
	d, err := startSite(root, folder, s)
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	time.Sleep(4 * time.Second)
	for n := range 2 {
		if !trouble {
			break
		}
		b := newBatch(fmt.Sprintf("aa41e09b52d6a3%02x", n), 196, 160, 600)
		b.model = otherModel
		if !d.submit(b, n, time.Now().Add(4*time.Second)) {
			return fail(fmt.Errorf("a step of the first trainer is not accepted"))
		}
		time.Sleep(5 * time.Second)
		d.end(b, n)
	}
	d.record.line("the trainer of %s has stopped", otherModel)
	time.Sleep(5 * time.Second)
	for v := uint64(2); v < 4; v++ {
		d.name(v)
		time.Sleep(7 * time.Second)
	}
	var versions []uint64
	for _, w := range d.workers[:s.engines] {
		w.mu.Lock()
		versions = append(versions, w.versions[modelName])
		w.mu.Unlock()
	}
	d.record.line("version of %s at the workers: %v", modelName, versions)
	b := newBatch("6c41e09b52d6a3f8", 96, 150, 600)
	b.least = 2
	began := time.Now()
	if !d.submit(b, 0, time.Now().Add(4*time.Second)) {
		return fail(fmt.Errorf("the step is not accepted"))
	}
	deadline := began.Add(7500 * time.Millisecond) // ResultDeadlineMs of the route
	read := make(chan int)
	go func() { read <- d.readAll(b, 2, deadline) }()
	peak := 0
	for time.Now().Before(deadline) {
		running := 0
		for _, w := range d.workers[:s.engines] {
			running += w.load()
		}
		peak = max(peak, running)
		time.Sleep(50 * time.Millisecond)
	}
	lastBegan, begun := d.record.lastBegun(b.items)
	listed := <-read
	quiet := deadline.Sub(lastBegan)
	return d.verdict(begun > 0 && begun < len(b.items) && 2*peak < s.engines*s.slots && quiet >= 3*time.Second,
		"version of %s at the 8 workers: %v; step of %d items: %d begun, the last %.1f s before its time was out, %d listed; never more than %d of %d places taken", modelName, versions, len(b.items), begun, quiet.Seconds(), listed, peak, s.engines*s.slots)
}

// playAdded adds one route after another for batch jobs whose results may have one version
// only, and submits a batch job on each as soon as the configuration is acknowledged. While
// it runs, the next version of the model is named.
func playAdded(root, folder string, trouble bool) int {
	s := shape{machines: 4, memoryMB: 154, engines: 2, slots: 16, eventEvery: 20 * time.Millisecond, eventBytes: 60, itemTTL: 60}
	d, err := startSite(root, folder, s)
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	time.Sleep(4 * time.Second)
	rounds, after, wait := 30, time.Duration(0), 2700*time.Millisecond
	if !trouble {
		rounds, after, wait = 6, 3*time.Second, 9*time.Second // texts of one version begin anew
	}
	several, read, begun := 0, 0, time.Now()
	for round := 0; round < rounds && several == 0 && time.Since(begun) < 95*time.Second; round++ {
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		s.added++
		d.publish(s)
		d.record.line("configuration with route /solo77%d/ acknowledged", round)
		time.Sleep(after)
		b := newBatch(fmt.Sprintf("6c41e09b52d6a3%02x", round), 16, 110, 600)
		b.route = fmt.Sprintf("/solo77%d/", round)
		if !d.submit(b, rand.IntN(len(d.relays)), time.Now().Add(4*time.Second)) {
			return fail(fmt.Errorf("the batch job is not accepted"))
		}
		time.Sleep(250 * time.Millisecond)
		d.name(uint64(round + 2))
		next := 0
		for end := time.Now().Add(wait); time.Now().Before(end) && next < len(b.items); time.Sleep(100 * time.Millisecond) {
			page, _ := d.read(b, d.relays[round%len(d.relays)], next)
			for _, r := range page.Results {
				read++
				if len(r.Versions) > 1 {
					several++
					d.record.line("result %s has the versions %v", r.ID, r.Versions)
				}
			}
			next += len(page.Results)
		}
		d.end(b, round)
	}
	return d.verdict(several > 0, "%d results read, %d of them with several versions on a route that allows one", read, several)
}
