package main

import (
	"fmt"
	"net/http"
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
		if ends >= 3 {
			thrice++
		}
	}
	return ended, thrice
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

// lookups sends ordinary requests to all machines until stop is called, which returns how
// many were sent and served.
func (d *site) lookups() (stop func() (sent, served int)) {
	var mu sync.Mutex
	var all sync.WaitGroup
	sent, served := 0, 0
	done := make(chan struct{})
	for _, m := range d.relays {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(300 * time.Millisecond):
				}
				id := fmt.Sprintf("b%s%04x", m.name[len(m.name)-1:], n)
				status, _ := d.call(m, http.MethodPost, "/pufi791/"+id, id, []byte("{}"), 2*time.Second)
				mu.Lock()
				if sent++; status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		close(done)
		all.Wait()
		return sent, served
	}
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
	for n, end := 1, time.Now().Add(55*time.Second); time.Now().Before(end); n++ {
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

// playOpen lets clients have 30 batch jobs open at a time, each with 32 bodies of 150 KiB.
func playOpen(root, folder string, trouble bool) int {
	d, err := startSite(root, folder, shape{machines: 4, memoryMB: 154, engines: 4, slots: 16, eventEvery: 100 * time.Millisecond, eventBytes: 220, itemTTL: 100})
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	bytes := 600
	if trouble {
		bytes = 150 << 10
	}
	accepted := 0
	for n := range 30 {
		if d.submit(newBatch(fmt.Sprintf("5c41e09b52d6a3%02x", n), 32, 60, bytes), n, time.Now().Add(6*time.Second)) {
			accepted++
		}
	}
	thrice := 0
	for end := time.Now().Add(65 * time.Second); time.Now().Before(end) && thrice < 2; time.Sleep(200 * time.Millisecond) {
		thrice = 0
		for _, m := range d.relays {
			if ends, _, _ := m.counts(); ends >= 3 {
				thrice++
			}
		}
		if !trouble && time.Until(end) < 40*time.Second {
			break
		}
	}
	ended, thrice := d.summarize()
	return d.verdict(thrice >= 2, "%d of 30 batch jobs accepted; processes ended %d times by themselves, three times or more on %d of %d machines", accepted, ended, thrice, len(d.relays))
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

// share returns the share that was served, 1 if nothing was sent.
func share(served, sent int) float64 {
	if sent == 0 {
		return 1
	}
	return float64(served) / float64(sent)
}

// isStarved applies the rule: the items are served less than a quarter as often as all
// requests.
func isStarved(items, itemsServed, lookups, lookupsServed int) bool {
	return share(itemsServed, items) < share(itemsServed+lookupsServed, items+lookups)/4
}

// playFull runs batch jobs, each of which ends before the next one is submitted, until the
// store holds what it may.
func playFull(root, folder string, trouble bool) int {
	d, err := startSite(root, folder, shape{machines: 3, memoryMB: 324, engines: 4, slots: 16, eventEvery: 10 * time.Millisecond, eventBytes: 900, itemTTL: 100})
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	bytes := 600
	if trouble {
		bytes = 600 << 10
	}
	done := 0
	run := func(b *batch, from int) bool {
		if !d.submit(b, from, time.Now().Add(time.Second)) {
			return false
		}
		if d.readAll(b, from, time.Now().Add(6*time.Second)) == len(b.items) {
			done++
		}
		d.end(b, from)
		return true
	}
	for n := 0; n < 60 && run(newBatch(fmt.Sprintf("2c41e09b52d6a3%02x", n), 12, 2, bytes), n); n++ {
	}
	for n, size := 0, 1<<20; trouble && size > 200<<10; n++ {
		if !run(newBatch(fmt.Sprintf("3c41e09b52d6a3%02x", n), 1, 2, size), n) {
			size /= 2
		}
	}
	d.store.mu.Lock()
	stored := d.store.blobBytes
	d.store.mu.Unlock()
	d.record.line("%d batch jobs done and ended; the store holds %d bytes of objects", done, stored)
	stop := d.lookups()
	long, short := newBatch("4c41e09b52d6a3f8", 4, 350, 600), newBatch("5c41e09b52d6a3f8", 16, 22, 200)
	accepted, items, served := 0, 0, 0
	hasLong := d.submit(long, 0, time.Now().Add(6*time.Second))
	time.Sleep(5 * time.Second)
	hasShort := d.submit(short, 1, time.Now().Add(6*time.Second))
	for _, b := range []struct {
		is bool
		*batch
	}{{hasShort, short}, {hasLong, long}} {
		if b.is {
			accepted++
			items += len(b.items)
			served += d.readAll(b.batch, 2, time.Now().Add(10*time.Second))
		}
	}
	sent, answered := stop()
	finished := 0
	for _, b := range []*batch{long, short} {
		for _, i := range b.items {
			if d.record.isFinished(i.id) {
				finished++
			}
		}
	}
	return d.verdict(isStarved(items, served, sent, answered), "the store holds %d MB; %d of 2 later batch jobs accepted, %d of their %d items finished by workers, %d listed; %d of %d lookups served", stored>>20, accepted, finished, items, served, answered, sent)
}

// playID lets one client submit a batch job with an id of 190 bytes, before an ordinary one.
func playID(root, folder string, trouble bool) int {
	d, err := startSite(root, folder, shape{machines: 3, memoryMB: 154, engines: 4, slots: 16, eventEvery: 20 * time.Millisecond, eventBytes: 220, itemTTL: 40})
	if err != nil {
		return fail(err)
	}
	defer d.stop()
	id := "2c41e09b52d6a3f8"
	if trouble {
		id += strings.Repeat("0", 190-len(id))
	}
	odd := &batch{id: id, items: []item{{id: "aab2907c14da6f38", group: "g1", prefix: "9c2e41:1000,5d07b8:16", events: 5, bodyBytes: 600}}}
	oddAccepted := d.submit(odd, 0, time.Now().Add(5*time.Second))
	time.Sleep(2 * time.Second)
	stop := d.lookups()
	short := newBatch("5c41e09b52d6a3f8", 16, 22, 200)
	accepted := d.submit(short, 1, time.Now().Add(6*time.Second))
	read := d.readAll(short, 2, time.Now().Add(20*time.Second))
	sent, answered := stop()
	return d.verdict(accepted && isStarved(16, read, sent, answered), "batch job with the id of %d bytes accepted: %t; ordinary one accepted: %t, %d of 16 items listed; %d of %d lookups served", len(id), oddAccepted, accepted, read, answered, sent)
}
