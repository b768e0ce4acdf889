package configuration

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fescuespar/internal/core"
)

// Bounds of a deployment's fields.
const (
	MaxDeployments          = 4096
	MaxNameBytes            = 63
	MaxConcurrent           = 1 << 18 // requests in flight, of one deployment and of all deployments together
	MaxQueueLength          = 1 << 18 // requests
	MaxRequestTimeout       = time.Hour
	MinTimeout              = time.Millisecond
	MaxGroupSize            = 1024    // samples
	MaxSamplesPerStep       = 1 << 16 // samples
	MaxTokens               = 1 << 20 // tokens per sample
	MaxStalenessBound       = 1 << 20 // weight versions
	MaxTextBytes            = 512     // of a service name, object key or path
	MaxOncePatterns         = 256
	MaxCallersPerDeployment = 1024
	MinIdleWeight           = 0.0
	MaxIdleWeight           = 1.0
	allowedName             = "1 to 63 of a-z, 0-9 and -, starting with a letter or digit"
	allowedPathPrefix       = "a path that starts with / and has no ? or space"
	allowedOnceMethods      = "GET, POST, PUT, PATCH or DELETE"
)

// Validate returns all problems in the deployments of a configuration. If there are
// none, the configuration may be published.
func Validate(deployments []core.Deployment) []Problem {
	v := &validation{deployments: deployments}
	if len(deployments) > MaxDeployments {
		v.report(MaxDeployments, FieldName, strconv.Itoa(len(deployments))+" deployments",
			"at most "+strconv.Itoa(MaxDeployments))
	}
	for i := range deployments {
		v.checkDeployment(i, &deployments[i])
	}
	v.checkAcrossDeployments()
	return v.problems
}

// validation collects the problems of a set of deployments.
type validation struct {
	deployments []core.Deployment
	problems    []Problem
}

func (v *validation) place(i int, field Field) Place {
	return Place{Index: i, Deployment: v.deployments[i].Name, Field: field}
}

func (v *validation) report(i int, field Field, found, allowed string, others ...Place) {
	v.problems = append(v.problems, Problem{v.place(i, field), found, allowed, others})
}

func (v *validation) checkDeployment(i int, d *core.Deployment) {
	v.checkName(i, FieldName, string(d.Name))
	v.checkText(i, FieldService, d.Service)
	v.checkClass(i, d)
	v.checkCallers(i, d)
	v.checkLimits(i, d)
	switch d.Kind {
	case core.KindEngine:
		v.checkEngine(i, d)
	case core.KindPlain:
		v.checkPlain(i, d)
	default:
		v.report(i, FieldKind, quote(string(d.Kind)), `"engine" or "plain"`)
	}
}

func (v *validation) checkClass(i int, d *core.Deployment) {
	if d.Class != core.ClassInteractive && d.Class != core.ClassRollout {
		v.report(i, FieldClass, quote(d.Class.String()), `"people" or "rollout"`)
	}
}

func (v *validation) checkCallers(i int, d *core.Deployment) {
	if len(d.Callers) == 0 && d.Rollout == nil {
		v.report(i, FieldCallers, "no caller", "at least one caller, or a rollout: nobody could use the deployment")
	}
	if len(d.Callers) > MaxCallersPerDeployment {
		v.report(i, FieldCallers, strconv.Itoa(len(d.Callers))+" callers", "at most "+strconv.Itoa(MaxCallersPerDeployment))
	}
	first := map[core.CallerName]int{}
	for j, caller := range d.Callers {
		v.checkName(i, FieldCallers.Item(j), string(caller))
		if earlier, repeated := first[caller]; repeated {
			v.report(i, FieldCallers.Item(j), quote(string(caller))+" again", "each caller once",
				v.place(i, FieldCallers.Item(earlier)))
			continue
		}
		first[caller] = j
	}
}

func (v *validation) checkEngine(i int, d *core.Deployment) {
	for j, pattern := range d.NonIdempotent {
		v.report(i, FieldOnce.Item(j), quote(pattern.Method+" "+pattern.PathPrefix),
			`no once pattern in a deployment of kind "engine": completions may be repeated`, v.place(i, FieldKind))
	}
	if d.Adapter != "" {
		v.checkText(i, FieldAdapter, string(d.Adapter))
	}
	if d.Rollout != nil {
		v.checkRollout(i, d)
	}
}

func (v *validation) checkPlain(i int, d *core.Deployment) {
	const only = `nothing: only a deployment of kind "engine" has it`
	kind := v.place(i, FieldKind)
	if d.Rollout != nil {
		v.report(i, FieldRollout, "a rollout", only, kind)
	}
	if d.Adapter != "" {
		v.report(i, FieldAdapter, quote(string(d.Adapter)), only, kind)
	}
	if d.Fencing {
		v.report(i, FieldFencing, "true", only, kind)
	}
	if d.Versions.Pinned != 0 {
		v.report(i, FieldPinned, formatUint(d.Versions.Pinned), only, kind)
	}
	v.checkOncePatterns(i, d)
}

func (v *validation) checkOncePatterns(i int, d *core.Deployment) {
	if len(d.NonIdempotent) > MaxOncePatterns {
		v.report(i, FieldOnce, strconv.Itoa(len(d.NonIdempotent))+" patterns", "at most "+strconv.Itoa(MaxOncePatterns))
	}
	first := map[core.CallPattern]int{}
	for j, pattern := range d.NonIdempotent {
		v.checkOncePattern(i, FieldOnce.Item(j), pattern)
		if earlier, repeated := first[pattern]; repeated {
			v.report(i, FieldOnce.Item(j), quote(pattern.Method+" "+pattern.PathPrefix)+" again", "each pattern once",
				v.place(i, FieldOnce.Item(earlier)))
			continue
		}
		first[pattern] = j
	}
}

func (v *validation) checkOncePattern(i int, field Field, pattern core.CallPattern) {
	switch pattern.Method {
	case "GET", "POST", "PUT", "PATCH", "DELETE":
	default:
		v.report(i, field+".method", quote(pattern.Method), allowedOnceMethods)
	}
	path := pattern.PathPrefix
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "? #") || len(path) > MaxTextBytes {
		v.report(i, field+".path_prefix", quote(path), allowedPathPrefix)
	}
}

func (v *validation) checkName(i int, field Field, name string) {
	if !validName(name) {
		v.report(i, field, quote(name), allowedName)
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || name[0] == '-' {
		return false
	}
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

func (v *validation) checkText(i int, field Field, text string) {
	if text == "" || len(text) > MaxTextBytes {
		v.report(i, field, quote(text), fmt.Sprintf("1 to %d bytes", MaxTextBytes))
	}
}

func quote(text string) string {
	const maxShown = 60
	if len(text) > maxShown {
		return strconv.Quote(text[:maxShown]) + "..."
	}
	return strconv.Quote(text)
}

func formatUint[T ~uint64](number T) string { return strconv.FormatUint(uint64(number), 10) }
