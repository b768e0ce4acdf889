// Package warnings derives warnings to operators from the state that one entry
// process knows. It performs no I/O.
package warnings

import (
	"fmt"
	"time"

	"fescuespar/internal/core"
)

const (
	// minOutage is the shortest outage that causes a warning.
	minOutage = 2 * time.Second
	// refusalWindow is how long a warning is shown after a request was rejected.
	refusalWindow = time.Minute
	// expiryWindow is the remaining validity of a certificate below which a warning is
	// shown.
	expiryWindow = 30 * 24 * time.Hour
	// maxWeightsLag is how long engines may lack the newest version: the duration of
	// one weight swap.
	maxWeightsLag = 30 * time.Second
	// minTrainerWait is the shortest wait of a trainer that causes a warning.
	minTrainerWait = time.Minute
)

// The sections of core.WarningPage that warnings refer to.
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

// Facts is the state known to a process at one time, from which warnings are derived.
type Facts struct {
	Now         time.Time
	Generation  core.Generation // applied by this process
	Members     []core.Member
	Outages     []core.PlatformOutage
	Ejected     []Ejection
	Keys        core.KeysState // zero if the process has no keys
	Deployments []Deployment
}

// Ejection is a backend server that temporarily gets no new work.
type Ejection struct {
	Server  core.ServerID
	Service string
	Until   time.Time
}

// Deployment is the state of one deployment as known to the process.
type Deployment struct {
	Name      core.DeploymentName
	Refused   uint64    // requests rejected because of limits since the process started
	RefusedAt time.Time // when the last one was rejected
	Waiting   int       // queued requests
	Weights   Weights
	Problem   string // why the coordinator cannot start work
	Step      Step
}

// Weights is the state of the distribution of a deployment's newest version.
type Weights struct {
	Newest  core.WeightVersion // zero if none is known
	Learned time.Time          // when this process learned of it
	Engines int
	Behind  int // engines that do not serve it
	Failing int // engines whose last swap is known to the coordinator to have failed
}

// Step is the step that a deployment's trainer is waiting for.
type Step struct {
	Number core.Step
	Since  time.Time     // zero if the trainer is not waiting
	Work   time.Duration // usual time that the trainer works on one step
}

// maxPerKind limits the warnings of one kind: an incident at a large site can cause
// hundreds, and the first ones are enough to find the cause.
const maxPerKind = 10

// Find returns the warnings, those about the platform first. If there are more than
// ten of one kind, one more warning gives the number of those omitted.
func Find(facts *Facts) []core.Warning {
	var found []core.Warning
	found = append(found, outageWarnings(facts)...)
	found = append(found, memberWarnings(facts)...)
	found = append(found, keyWarnings(facts)...)
	found = append(found, ejectionWarnings(facts)...)
	for i := range facts.Deployments {
		found = append(found, deploymentWarnings(&facts.Deployments[i], facts.Now)...)
	}
	return limitPerKind(found)
}

// limitPerKind omits the warnings beyond maxPerKind of each kind and appends a warning
// with their number.
func limitPerKind(found []core.Warning) []core.Warning {
	counts := make(map[core.WarningKind]int)
	var limited, summaries []core.Warning
	for _, warning := range found {
		counts[warning.Kind]++
		switch {
		case counts[warning.Kind] <= maxPerKind:
			limited = append(limited, warning)
		case counts[warning.Kind] == maxPerKind+1:
			summaries = append(summaries, core.Warning{Kind: warning.Kind, Section: warning.Section})
		}
	}
	for _, warning := range summaries {
		omitted := counts[warning.Kind] - maxPerKind
		warning.Subject = "others"
		warning.Message = fmt.Sprintf("%d more of the kind %s", omitted, warning.Kind)
		limited = append(limited, warning)
	}
	return limited
}

func outageWarnings(facts *Facts) (found []core.Warning) {
	for _, outage := range facts.Outages {
		if outage.Seen.Sub(outage.Since) < minOutage {
			continue
		}
		found = append(found, core.Warning{
			Kind: core.WarnPlatformOutage, Subject: string(outage.Service), Since: outage.Since, Section: SectionPlatform,
			Message: fmt.Sprintf("the platform's %s has not answered since %s, last call %s ago",
				outage.Service, formatTime(outage.Since), roundedSince(outage.Seen, facts.Now)),
		})
	}
	return found
}

func memberWarnings(facts *Facts) (found []core.Warning) {
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

func keyWarnings(facts *Facts) (found []core.Warning) {
	if facts.Keys.Problem != "" {
		found = append(found, core.Warning{
			Kind: core.WarnKeysUnusable, Subject: "keys", Section: SectionKeys,
			Message: "changed key files are not in use, the old ones are: " + facts.Keys.Problem,
		})
	}
	found = append(found, expiryWarnings("certificate", facts.Keys.CertificateUntil, facts.Now)...)
	return append(found, expiryWarnings("authority", facts.Keys.AuthorityUntil, facts.Now)...)
}

func expiryWarnings(subject string, until, now time.Time) []core.Warning {
	left := until.Sub(now)
	if until.IsZero() || left > expiryWindow {
		return nil
	}
	message := fmt.Sprintf("the %s of this entry VM ends on %s, in %s", subject, formatTime(until), roundToSecond(left))
	if left <= 0 {
		message = fmt.Sprintf("the %s of this entry VM ended on %s", subject, formatTime(until))
	}
	return []core.Warning{{Kind: core.WarnKeysExpire, Subject: subject, Message: message, Section: SectionExpiry}}
}

func ejectionWarnings(facts *Facts) (found []core.Warning) {
	for _, ejection := range facts.Ejected {
		found = append(found, core.Warning{
			Kind: core.WarnServerEjected, Subject: string(ejection.Server), Section: SectionServer,
			Message: fmt.Sprintf("backend server %s of %s is ejected until %s, because it failed or was slow",
				ejection.Server, ejection.Service, formatTime(ejection.Until)),
		})
	}
	return found
}

func deploymentWarnings(d *Deployment, now time.Time) (found []core.Warning) {
	if !d.RefusedAt.IsZero() && now.Sub(d.RefusedAt) < refusalWindow {
		found = append(found, core.Warning{
			Kind: core.WarnQueueFull, Subject: string(d.Name), Section: SectionQueue,
			Message: fmt.Sprintf("deployment %s refuses requests for its limits: %d since this process started, the last %s ago; %d wait",
				d.Name, d.Refused, roundedSince(d.RefusedAt, now), d.Waiting),
		})
	}
	found = append(found, weightsWarnings(d, now)...)
	if d.Problem != "" {
		found = append(found, core.Warning{
			Kind: core.WarnPromptsMissing, Subject: string(d.Name), Message: d.Problem, Section: SectionPrompts,
		})
	}
	return append(found, stepWarnings(d, now)...)
}

func weightsWarnings(d *Deployment, now time.Time) []core.Warning {
	isLagging := d.Weights.Behind > 0 && now.Sub(d.Weights.Learned) > maxWeightsLag
	if d.Weights.Newest == 0 || !isLagging && d.Weights.Failing == 0 {
		return nil
	}
	message := fmt.Sprintf("%d of %d engines of %s do not serve weight version %d, known for %s",
		d.Weights.Behind, d.Weights.Engines, d.Name, d.Weights.Newest, roundedSince(d.Weights.Learned, now))
	if d.Weights.Failing > 0 {
		message += fmt.Sprintf("; the last order to %d of them failed", d.Weights.Failing)
	}
	return []core.Warning{{
		Kind: core.WarnWeightsLag, Subject: string(d.Name), Message: message, Since: d.Weights.Learned, Section: SectionWeights,
	}}
}

// stepWarnings warns about a trainer that waits longer than it works on a step.
func stepWarnings(d *Deployment, now time.Time) []core.Warning {
	if d.Step.Since.IsZero() || now.Sub(d.Step.Since) <= max(minTrainerWait, d.Step.Work) {
		return nil
	}
	return []core.Warning{{
		Kind: core.WarnTrainerWaits, Subject: string(d.Name), Since: d.Step.Since, Section: SectionTrainer,
		Message: fmt.Sprintf("the trainer of %s asked for step %d at %s and has waited for %s; its work on a step takes %s",
			d.Name, d.Step.Number, formatTime(d.Step.Since), roundedSince(d.Step.Since, now), formatWork(d.Step.Work)),
	}}
}

func formatWork(work time.Duration) string {
	if work == 0 {
		return "a time not yet known"
	}
	return roundToSecond(work).String()
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") }

func roundedSince(since, now time.Time) time.Duration { return roundToSecond(now.Sub(since)) }

func roundToSecond(d time.Duration) time.Duration { return d.Round(time.Second) }
