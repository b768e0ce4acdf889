// Package warnings decides what operators are warned of, from what one entry
// process knows. It does no I/O.
package warnings

import (
	"fmt"
	"time"

	"fescuespar/internal/core"
)

const (
	// outageNotice is the length of an outage that is worth a warning.
	outageNotice = 2 * time.Second
	// refusalNotice is for how long a refusal is worth a warning.
	refusalNotice = time.Minute
	// expiryNotice is the rest of a certificate's validity that is worth a warning.
	expiryNotice = 30 * 24 * time.Hour
	// lagNotice is the time for which engines may lack the newest version: that
	// of one swap.
	lagNotice = 30 * time.Second
	// waitNotice is the shortest wait of a trainer that is worth a warning.
	waitNotice = time.Minute
)

// The faults of the operators' page that warnings point to.
const (
	SectionPlatform = "outage of the platform"
	SectionSilent   = "lost entry VM"
	SectionBehind   = "an entry VM behind"
	SectionServer   = "failing or slow backend server"
	SectionQueue    = "full queue"
	SectionExpiry   = "keys near their end"
	SectionKeys     = "keys do not fit"
	SectionWeights  = "engines without the newest weights"
	SectionPrompts  = "prompts missing"
	SectionTrainer  = "trainer waits"
)

// Facts are what a process knows at one moment.
type Facts struct {
	Now         time.Time
	Generation  core.Generation // in force in this process
	Members     []core.Member
	Outages     []core.PlatformOutage
	Ejected     []Ejection
	Keys        core.KeysState // zero when the process has none
	Deployments []Deployment
}

// Ejection is a backend server that gets no new work.
type Ejection struct {
	Server  core.ServerID
	Service string
	Until   time.Time
}

// Deployment is what a process knows of one deployment.
type Deployment struct {
	Name      core.DeploymentName
	Refused   uint64 // requests refused for their limits since the process started
	RefusedAt time.Time
	Waiting   int // requests
	Weights   Weights
	Problem   string // why the coordinator's work can't start
	Step      Step
}

// Weights says how far a deployment's newest version has come.
type Weights struct {
	Newest  core.WeightVersion // zero when none is known
	Learned time.Time          // when this process learnt of it
	Engines int
	Behind  int // engines that do not serve it
	Failing int // engines whose last swap failed, as far as the coordinator knows
}

// Step is the step that a deployment's trainer waits for.
type Step struct {
	Number core.Step
	Since  time.Time     // zero when the trainer does not wait
	Work   time.Duration // usual work of the trainer on one step
}

// maxOfAKind bounds the warnings of one kind: a bad night at a large site has
// hundreds, and the first ones tell what to look at.
const maxOfAKind = 10

// Find returns the warnings, of the platform first. Beyond ten of a kind one
// more says how many are left out.
func Find(facts *Facts) []core.Warning {
	var found []core.Warning
	found = append(found, outages(facts)...)
	found = append(found, members(facts)...)
	found = append(found, keys(facts)...)
	found = append(found, ejections(facts)...)
	for i := range facts.Deployments {
		found = append(found, deployment(&facts.Deployments[i], facts.Now)...)
	}
	return limit(found)
}

// limit leaves out the warnings beyond maxOfAKind of each kind and counts them
// in a warning at the end.
func limit(found []core.Warning) []core.Warning {
	counts := make(map[core.WarningKind]int)
	var kept, left []core.Warning
	for _, warning := range found {
		counts[warning.Kind]++
		switch {
		case counts[warning.Kind] <= maxOfAKind:
			kept = append(kept, warning)
		case counts[warning.Kind] == maxOfAKind+1:
			left = append(left, core.Warning{Kind: warning.Kind, Section: warning.Section})
		}
	}
	for _, warning := range left {
		more := counts[warning.Kind] - maxOfAKind
		warning.Subject = "others"
		warning.Message = fmt.Sprintf("%d more of the kind %s", more, warning.Kind)
		kept = append(kept, warning)
	}
	return kept
}

func outages(facts *Facts) (found []core.Warning) {
	for _, outage := range facts.Outages {
		if outage.Seen.Sub(outage.Since) < outageNotice {
			continue
		}
		found = append(found, core.Warning{
			Kind: core.WarnPlatformOut, Subject: string(outage.Service), Since: outage.Since, Section: SectionPlatform,
			Message: fmt.Sprintf("the platform's %s has not answered since %s, last asked %s ago",
				outage.Service, moment(outage.Since), elapsed(outage.Seen, facts.Now)),
		})
	}
	return found
}

func members(facts *Facts) (found []core.Warning) {
	for _, member := range facts.Members {
		if member.State == core.MemberSuspect {
			found = append(found, core.Warning{
				Kind: core.WarnMemberSilent, Subject: string(member.VM), Section: SectionSilent,
				Message: fmt.Sprintf("entry VM %s does not answer heartbeats", member.VM),
			})
		}
		if member.State == core.MemberAlive && member.Generation < facts.Generation {
			found = append(found, core.Warning{
				Kind: core.WarnMemberBehind, Subject: string(member.VM), Section: SectionBehind,
				Message: fmt.Sprintf("entry VM %s runs an older configuration, generation %d", member.VM, member.Generation),
			})
		}
	}
	return found
}

func keys(facts *Facts) (found []core.Warning) {
	if facts.Keys.Problem != "" {
		found = append(found, core.Warning{
			Kind: core.WarnKeysUnusable, Subject: "keys", Section: SectionKeys,
			Message: "changed key files are not in use, the old ones are: " + facts.Keys.Problem,
		})
	}
	found = append(found, expiry("certificate", facts.Keys.CertificateUntil, facts.Now)...)
	return append(found, expiry("authority", facts.Keys.AuthorityUntil, facts.Now)...)
}

func expiry(what string, until, now time.Time) []core.Warning {
	left := until.Sub(now)
	if until.IsZero() || left > expiryNotice {
		return nil
	}
	message := fmt.Sprintf("the %s of this entry VM ends on %s, in %s", what, moment(until), round(left))
	if left <= 0 {
		message = fmt.Sprintf("the %s of this entry VM ended on %s", what, moment(until))
	}
	return []core.Warning{{Kind: core.WarnKeysExpire, Subject: what, Message: message, Section: SectionExpiry}}
}

func ejections(facts *Facts) (found []core.Warning) {
	for _, ejection := range facts.Ejected {
		found = append(found, core.Warning{
			Kind: core.WarnServerEjected, Subject: string(ejection.Server), Section: SectionServer,
			Message: fmt.Sprintf("backend server %s of %s is ejected until %s, as it failed or was slow",
				ejection.Server, ejection.Service, moment(ejection.Until)),
		})
	}
	return found
}

func deployment(d *Deployment, now time.Time) (found []core.Warning) {
	if !d.RefusedAt.IsZero() && now.Sub(d.RefusedAt) < refusalNotice {
		found = append(found, core.Warning{
			Kind: core.WarnQueueFull, Subject: string(d.Name), Section: SectionQueue,
			Message: fmt.Sprintf("deployment %s refuses requests for its limits: %d since this process started, the last %s ago; %d wait",
				d.Name, d.Refused, elapsed(d.RefusedAt, now), d.Waiting),
		})
	}
	found = append(found, weights(d, now)...)
	if d.Problem != "" {
		found = append(found, core.Warning{
			Kind: core.WarnPromptsMissing, Subject: string(d.Name), Message: d.Problem, Section: SectionPrompts,
		})
	}
	return append(found, step(d, now)...)
}

func weights(d *Deployment, now time.Time) []core.Warning {
	lags := d.Weights.Behind > 0 && now.Sub(d.Weights.Learned) > lagNotice
	if d.Weights.Newest == 0 || !lags && d.Weights.Failing == 0 {
		return nil
	}
	message := fmt.Sprintf("%d of %d engines of %s do not serve weight version %d, known for %s",
		d.Weights.Behind, d.Weights.Engines, d.Name, d.Weights.Newest, elapsed(d.Weights.Learned, now))
	if d.Weights.Failing > 0 {
		message += fmt.Sprintf("; the last order to %d of them failed", d.Weights.Failing)
	}
	return []core.Warning{{
		Kind: core.WarnWeightsLag, Subject: string(d.Name), Message: message, Since: d.Weights.Learned, Section: SectionWeights,
	}}
}

// step warns of a trainer that waits longer than it works on a step.
func step(d *Deployment, now time.Time) []core.Warning {
	if d.Step.Since.IsZero() || now.Sub(d.Step.Since) <= max(waitNotice, d.Step.Work) {
		return nil
	}
	return []core.Warning{{
		Kind: core.WarnTrainerWaits, Subject: string(d.Name), Since: d.Step.Since, Section: SectionTrainer,
		Message: fmt.Sprintf("the trainer of %s asked for step %d at %s and has waited %s; its work on a step takes %s",
			d.Name, d.Step.Number, moment(d.Step.Since), elapsed(d.Step.Since, now), usual(d.Step.Work)),
	}}
}

func usual(work time.Duration) string {
	if work == 0 {
		return "a time not yet known"
	}
	return round(work).String()
}

func moment(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") }

func elapsed(since, now time.Time) time.Duration { return round(now.Sub(since)) }

func round(d time.Duration) time.Duration { return d.Round(time.Second) }
