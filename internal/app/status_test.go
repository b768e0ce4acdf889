package app_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/internal/ports/porttest/faults"
)

// awaitWarning waits until a service's status has a warning of the kind and
// subject.
func (c *cluster) awaitWarning(s *app.Service, kind core.WarningKind, subject string) core.Warning {
	c.t.Helper()
	var found core.Warning
	c.await(string(kind)+" of "+subject, func() bool {
		warnings := s.Status().Warnings
		index := slices.IndexFunc(warnings, func(w core.Warning) bool { return w.Kind == kind && w.Subject == subject })
		if index >= 0 {
			found = warnings[index]
		}
		return index >= 0
	})
	return found
}

// TestStatusWarnsOfOutage checks the warning during and after an outage of the
// table service.
func TestStatusWarnsOfOutage(t *testing.T) {
	c := newCluster(t, 2)
	s := c.services[0]
	c.await("no warning without a fault", func() bool { return len(s.Status().Warnings) == 0 })
	// A call that is in flight when the fault begins dates the outage by its start, which
	// is after the answer to the call made here.
	startedAt := time.Now()
	if err := s.PublishWeights(c.ctx, coach, model, 1); err != nil {
		t.Fatal(err)
	}
	c.tables.Inject(faults.Rule{Operation: faults.All, Event: faults.Refuse})
	w := c.awaitWarning(s, core.WarnPlatformOutage, string(core.PlatformTables))
	if w.Since.Before(startedAt) || w.Since.After(time.Now()) {
		t.Errorf("outage since %s, want a time between the last answered call at %s and now", w.Since, startedAt)
	}
	c.tables.ClearFaults()
	c.await("no warning after the outage", func() bool {
		return !slices.ContainsFunc(s.Status().Warnings, func(w core.Warning) bool { return w.Kind == core.WarnPlatformOutage })
	})
}

// TestStatusWarnsOfFullQueue checks the warning when a deployment's queue is
// full.
func TestStatusWarnsOfFullQueue(t *testing.T) {
	limits := core.Limits{Concurrent: 2, QueueLength: 1, QueueTimeout: time.Second, RequestTimeout: 2 * time.Second}
	deployments := slices.Clone(testDeployments)
	deployments[1].Limits = limits
	c := newClusterWith(t, clusterOptions{size: 1, timeout: testTimeout, deployments: deployments})
	refused := 0
	for number := range 20 {
		request := newCompletion(core.RequestID(string(rune('a' + number))))
		if err := c.services[0].Complete(c.ctx, request, nil); errkind.Is(err, errkind.Overloaded) {
			refused++
		}
	}
	c.awaitWarning(c.services[0], core.WarnQueueFull, string(model))
	if refused == 0 {
		t.Error("no request was refused, want some")
	}
}

// TestStatusWarnsOfRefusedWeights checks the warning when every engine refuses
// a version.
func TestStatusWarnsOfRefusedWeights(t *testing.T) {
	c := newCluster(t, 1)
	if err := c.services[0].PublishWeights(c.ctx, coach, model, 1); err != nil {
		t.Fatal(err)
	}
	c.await("version 1 known", func() bool { return c.services[0].Status().Deployments[1].Version == 1 })
	c.setEngineFaults(backendtest.EngineFaults{Refuse: true})
	if err := c.services[0].PublishWeights(c.ctx, coach, model, 2); err != nil {
		t.Fatal(err)
	}
	c.awaitWarning(c.services[0], core.WarnWeightsLag, string(model))
}

// TestStatusWarnsOfEjectedServer checks the warning when one engine refuses all
// streams.
func TestStatusWarnsOfEjectedServer(t *testing.T) {
	c := newCluster(t, 1)
	c.engine.Server("engine-2").SetFaults(backendtest.EngineFaults{Refuse: true})
	number := 0
	c.await("warning of the ejected engine", func() bool {
		number++
		_ = c.services[0].Complete(c.ctx, newCompletion(core.RequestID(fmt.Sprint("eject-", number))), nil)
		return slices.ContainsFunc(c.services[0].Status().Warnings, func(w core.Warning) bool {
			return w.Kind == core.WarnServerEjected && w.Subject == "engine-2"
		})
	})
}

// BenchmarkStatus measures the status of a process with the servers and
// deployments of the largest expected site.
func BenchmarkStatus(b *testing.B) {
	const servers, count = 6100, 30
	var deployments []core.Deployment
	for number := range count {
		d := testDeployments[1]
		d.Name = core.DeploymentName(fmt.Sprintf("coach-%d", number))
		d.Adapter = core.AdapterName(fmt.Sprintf("adapter-%d", number))
		deployments = append(deployments, d)
	}
	c := newClusterWith(b, clusterOptions{size: 1, timeout: testTimeout, deployments: deployments})
	var vms []core.VM
	for number := range servers {
		vm := backendServers[0]
		vm.ID = core.ServerID(fmt.Sprintf("engine-%d", number))
		vms = append(vms, vm)
	}
	c.setVMList(vms)
	s := c.services[0]
	c.await("all servers known", func() bool { return len(s.State().(app.State).Servers) == servers })
	for number := range count {
		if err := s.PublishWeights(c.ctx, coach, deployments[number].Name, 1); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if len(s.Status().Deployments) != count {
			b.Fatal("the status lacks deployments")
		}
	}
}
