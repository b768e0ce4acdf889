package main

import (
	"math"
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
)

// Parameters of the faults.
const (
	crashInterval        = 2 * time.Minute // between crashes of random engines
	slowdownFrom         = 9 * time.Minute
	slowdownTo           = 10 * time.Minute
	slowdownFactor       = 0.4 // of normal speed
	crashingRequestAt    = 5 * time.Minute
	crashingRequestSends = 20
	resendDelay          = 10 * time.Millisecond
)

// crashingFingerprint identifies the request that crashes servers.
const crashingFingerprint = 1

func (sim *simulation) engines() (engines []*server) {
	for _, s := range sim.servers {
		if s.vm.Kind == core.KindEngine {
			engines = append(engines, s)
		}
	}
	return engines
}

// scheduleUsualFaults schedules the faults of an ordinary run: an engine crashes
// every crashInterval, and all servers slow down once.
func scheduleUsualFaults(sim *simulation) {
	random := rand.New(rand.NewPCG(7, 7))
	engines := sim.engines()
	for at := crashInterval; at < runTime; at += crashInterval {
		s := engines[random.IntN(len(engines))]
		sim.clock.After(at, func() { s.crash(sim, restartTime) })
	}
	for _, s := range sim.servers {
		sim.clock.After(slowdownFrom, func() { s.setSpeed(sim, slowdownFactor) })
		sim.clock.After(slowdownTo, func() { s.setSpeed(sim, 1) })
	}
}

// scheduleOutage crashes a share of the engines at the same time.
func scheduleOutage(sim *simulation) {
	engines := sim.engines()
	failing := int(math.Ceil(outageShare * float64(len(engines))))
	for _, s := range engines[:failing] {
		sim.clock.After(outageFrom, func() { s.crash(sim, outageTo-outageFrom) })
	}
}

// scheduleCrashingRequest sends a request that crashes its server, and resends it
// after each failure through a random entry VM.
func scheduleCrashingRequest(sim *simulation) {
	random := rand.New(rand.NewPCG(8, 8))
	for i := range sim.site.deployments {
		if d := &sim.site.deployments[i]; d.Kind == core.KindEngine && d.Class == core.ClassInteractive {
			sim.clock.After(crashingRequestAt, func() { sim.sendCrashingRequest(d, i, crashingRequestSends, random) })
			return
		}
	}
}

func (sim *simulation) sendCrashingRequest(d *core.Deployment, deploymentIndex, left int, random *rand.Rand) {
	r := newTokenRequest(d, deploymentIndex, 1, conversationBlocks, maxAnswerTokens, maxAnswerTokens)
	r.crashesServer, r.fingerprint, r.class, r.entry = true, crashingFingerprint, core.ClassInteractive, random.IntN(entryCount)
	r.onEnd = func(bool) {
		if left > 1 {
			sim.clock.After(resendDelay, func() { sim.sendCrashingRequest(d, deploymentIndex, left-1, random) })
		}
	}
	sim.submit(r)
}
