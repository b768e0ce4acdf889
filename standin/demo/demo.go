// Package demo runs an end-to-end demonstration: it starts a site as separate
// processes, serves requests, kills entry processes while they have work, and
// checks that all answers are complete and every sample is delivered exactly
// once.
package demo

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"text/tabwriter"
	"time"

	"fescuespar/standin/caller"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

// Options are the paths and the output of a demo.
type Options struct {
	Product       string // path of the fescuespar binary
	Standin       string // path of the standin binary
	PublishFolder string // folder of configuration files to publish
	CheckFolder   string // folder of configuration files to check without publishing
	Output        io.Writer
}

// checkResult is one row of the demo's table.
type checkResult struct {
	check   string
	details string
	passed  bool
}

type demo struct {
	options Options
	site    *site.Site
	entries []*site.Entry
	results []checkResult
}

// Run runs the demo and prints a table of its checks. It returns an error if a
// check failed.
func Run(ctx context.Context, options Options) error {
	startTime := time.Now()
	s, err := site.Open(ctx, site.Options{
		Product: options.Product, Standin: options.Standin,
		Settings: "[intervals]\naddress_keep = \"1s\"\n",
	})
	if err != nil {
		return err
	}
	d := &demo{options: options, site: s}
	defer s.Close()
	if err := d.start(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		d.publishConfiguration, d.checkCompletions, d.checkKeyedCalls, d.checkTrainingStep, d.killDuringAnswer, d.killDuringStep, d.checkGracefulShutdown,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.print(startTime)
}

func (d *demo) print(startTime time.Time) error {
	table := tabwriter.NewWriter(d.options.Output, 0, 0, 2, ' ', 0)
	failed := 0
	for _, r := range d.results {
		verdict := "held"
		if !r.passed {
			verdict = "FAILED"
			failed++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, r.check, r.details)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(d.options.Output, "%d of %d checks held, %.1f s\n", len(d.results)-failed, len(d.results), time.Since(startTime).Seconds())
	if failed > 0 {
		return fmt.Errorf("%d of %d checks failed", failed, len(d.results))
	}
	return nil
}

func (d *demo) record(passed bool, check, format string, args ...any) {
	d.results = append(d.results, checkResult{check: check, details: fmt.Sprintf(format, args...), passed: passed})
}

// Region and availability zones of the demo's VMs.
const (
	region    = "qc-est"
	firstZone = "qc-est-1"
	otherZone = "qc-est-2"
)

// engineCount is the number of engines that serve the demo's model.
const engineCount = 3

// start starts the backend servers and three entry processes in two
// availability zones.
func (d *demo) start(ctx context.Context) error {
	if err := d.site.PutObject(ctx, "prompts/coach.txt", []byte(prompts)); err != nil {
		return err
	}
	for _, plan := range d.serverPlans() {
		if _, _, err := d.site.StartServer(ctx, plan.kind, plan.server, plan.args...); err != nil {
			return err
		}
	}
	for _, zone := range []string{firstZone, otherZone, firstZone} {
		entry, err := d.site.StartEntry(ctx, zone, region)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
	}
	return nil
}

const prompts = "How do I mend a torn strap?\nWhy does the lamp flicker?\nThe zipper sticks.\nThe kettle leaks.\n"

type serverPlan struct {
	kind   string
	server site.Server
	args   []string
}

func (d *demo) serverPlans() []serverPlan {
	plans := []serverPlan{
		{"scorer", site.Server{ID: "scorer-1", Service: "coach-scorer", Zone: firstZone, Region: region}, nil},
		{"plain", site.Server{ID: "desk-1", Service: "desk", Zone: firstZone, Region: region}, nil},
		{"plain", site.Server{ID: "desk-2", Service: "desk", Zone: otherZone, Region: region}, nil},
	}
	for number := range engineCount {
		vm := site.Server{ID: fmt.Sprintf("engine-%d", number+1), Service: "coach-model", Zone: firstZone, Region: region}
		plans = append(plans, serverPlan{"engine", vm, []string{"--model", "coach-model", "--step", "10ms"}})
	}
	return plans
}

// publishConfiguration checks the examples and publishes the demo's
// configuration with the product's command line.
func (d *demo) publishConfiguration(ctx context.Context) error {
	checkErr := d.runProduct(ctx, "check", d.options.CheckFolder)
	d.record(checkErr == nil, "examples checked", "%s", exitText(checkErr))
	publishErr := d.runProduct(ctx, "publish", d.options.PublishFolder, "--address", d.entries[0].Address,
		"--token", site.OperatorToken, "--operator", site.OperatorName, "--wait")
	d.record(publishErr == nil, "configuration applied on every entry process", "%s", exitText(publishErr))
	return publishErr
}

func (d *demo) runProduct(ctx context.Context, args ...string) error {
	return exec.CommandContext(ctx, d.options.Product, args...).Run()
}

func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

func (d *demo) addresses() []string {
	var addresses []string
	for _, entry := range d.entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

const requestTimeout = 20 * time.Second

func (d *demo) callerOptions(prefix string) caller.Options {
	return caller.Options{
		Addresses: d.addresses(), Token: site.CallerToken, Timeout: requestTimeout, RequestID: prefix,
	}
}

// checkCompletions requests streamed completions and compares them with the
// expected tokens.
func (d *demo) checkCompletions(ctx context.Context) error {
	options := d.callerOptions("serve")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "How do I mend it? ", 40
	options.Count, options.Concurrency = 20, 5
	summary, err := caller.Run(ctx, options)
	d.record(err == nil && summary.Correct == options.Count, "streamed answers complete",
		"%d of %d, mean %d ms", summary.Correct, summary.Requests, summary.MeanMS)
	return err
}

// checkKeyedCalls sends non-idempotent calls twice with the same key and
// checks that each ran once.
func (d *demo) checkKeyedCalls(ctx context.Context) error {
	options := d.callerOptions("sponsor")
	options.Deployment, options.Method, options.Path, options.Body = "desk", "POST", "sponsorships/", []byte(`{"donkey":"Gaston"}`)
	options.Count, options.Concurrency, options.Keyed, options.SendTwice = 5, 5, true, true
	summary, err := caller.Run(ctx, options)
	d.record(err == nil && summary.Correct == options.Count, "calls sent twice ran once",
		"%d of %d", summary.Correct, summary.Requests)
	return err
}

func (d *demo) trainerOptions(first, steps int) trainer.Options {
	return trainer.Options{
		Addresses: d.addresses(), Token: site.TrainerToken, Deployment: "coach",
		FirstStep: stepNumber(first), FirstVersion: versionNumber(first), Steps: steps,
		StalenessBound: 2, StepTime: 100 * time.Millisecond, StepTimeout: requestTimeout, FetchTwice: true,
	}
}

func (d *demo) checkTrainingStep(ctx context.Context) error {
	summary, err := trainer.Run(ctx, d.trainerOptions(1, 1))
	d.record(err == nil && summary.IsValid() && summary.Samples > 0, "batch fetched twice, samples delivered once",
		"%d samples, %d repeated, %d stale", summary.Samples, summary.Repeated, summary.Stale)
	return err
}
