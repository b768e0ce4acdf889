package main

import (
	"math"
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
)

// Times of the faults.
const (
	crashEvery = 2 * time.Minute // of any engine
	sagFrom    = 9 * time.Minute
	sagTo      = 10 * time.Minute
	sagFactor  = 0.4 // of the usual speed
	killerAt   = 5 * time.Minute
	resends    = 20
	resendWait = 10 * time.Millisecond
)

// killer is the fingerprint of the request that crashes servers.
const killer = 1

func (w *world) engines() (engines []*server) {
	for _, s := range w.servers {
		if s.vm.Kind == core.KindEngine {
			engines = append(engines, s)
		}
	}
	return engines
}

// ordinary is what happens in every run: engines crash now and then, and all
// servers sag once.
func ordinary(w *world) {
	random := rand.New(rand.NewPCG(7, 7))
	engines := w.engines()
	for at := crashEvery; at < runTime; at += crashEvery {
		s := engines[random.IntN(len(engines))]
		w.clock.After(at, func() { s.crash(w, restartTime) })
	}
	for _, s := range w.servers {
		w.clock.After(sagFrom, func() { s.sag(w, sagFactor) })
		w.clock.After(sagTo, func() { s.sag(w, 1) })
	}
}

// outage takes a share of the engines away at once.
func outage(w *world) {
	engines := w.engines()
	dead := int(math.Ceil(outageShare * float64(len(engines))))
	for _, s := range engines[:dead] {
		w.clock.After(outageFrom, func() { s.crash(w, outageTo-outageFrom) })
	}
}

// sendKiller sends a request that crashes its server, and sends it again after
// each failure through any entry VM.
func sendKiller(w *world) {
	random := rand.New(rand.NewPCG(8, 8))
	for i := range w.site.deployments {
		if d := &w.site.deployments[i]; d.Kind == core.KindEngine && d.Class == core.ClassPeople {
			w.clock.After(killerAt, func() { w.resend(d, i, resends, random) })
			return
		}
	}
}

func (w *world) resend(d *core.Deployment, number, left int, random *rand.Rand) {
	r := generation(d, number, 1, talkBlocks, talkAnswerMost, talkAnswerMost)
	r.kills, r.fingerprint, r.class, r.entry = true, killer, core.ClassPeople, random.IntN(entryCount)
	r.ended = func(bool) {
		if left > 1 {
			w.clock.After(resendWait, func() { w.resend(d, number, left-1, random) })
		}
	}
	w.submit(r)
}
