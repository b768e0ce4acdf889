// Package demo shows the whole path: it runs a site as separate processes,
// serves requests, kills an entry process in mid-request, and checks that
// answers are whole and every sample is delivered once.
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

// Options says where the demo finds its programs and files.
type Options struct {
	Product     string // path of the fescuespar binary
	Standin     string // path of the standin binary
	Deployments string // folder of operators' files to publish
	Checked     string // folder of operators' files to check only
	Output      io.Writer
}

// row is one line of the demo's table.
type row struct {
	what string
	saw  string
	held bool
}

type demo struct {
	options Options
	site    *site.Site
	entries []*site.Entry
	rows    []row
}

// Run runs the demo and prints its table. The error says that something did
// not hold.
func Run(ctx context.Context, options Options) error {
	started := time.Now()
	opened, err := site.Open(ctx, site.Options{
		Product: options.Product, Standin: options.Standin,
		Settings: "[intervals]\naddress_keep = \"1s\"\n",
	})
	if err != nil {
		return err
	}
	d := &demo{options: options, site: opened}
	defer opened.Close()
	if err := d.start(ctx); err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{
		d.publish, d.serve, d.callTwice, d.trainStep, d.killDuringAnswer, d.killDuringStep, d.shutDown,
	} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return d.print(started)
}

func (d *demo) print(started time.Time) error {
	table := tabwriter.NewWriter(d.options.Output, 0, 0, 2, ' ', 0)
	failed := 0
	for _, r := range d.rows {
		verdict := "held"
		if !r.held {
			verdict = "FAILED"
			failed++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, r.what, r.saw)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(d.options.Output, "%d of %d held, %.1f s\n", len(d.rows)-failed, len(d.rows), time.Since(started).Seconds())
	if failed > 0 {
		return fmt.Errorf("%d of %d did not hold", failed, len(d.rows))
	}
	return nil
}

func (d *demo) record(held bool, what, format string, args ...any) {
	d.rows = append(d.rows, row{what: what, saw: fmt.Sprintf(format, args...), held: held})
}

// Places of the demo's VMs.
const (
	region    = "qc-est"
	firstZone = "qc-est-1"
	otherZone = "qc-est-2"
)

// engineCount is how many engines serve the demo's model.
const engineCount = 3

// start starts backend servers and three entry processes in two availability zones.
func (d *demo) start(ctx context.Context) error {
	if err := d.site.PutObject(ctx, "prompts/coach.txt", []byte(prompts)); err != nil {
		return err
	}
	for _, server := range d.servers() {
		if _, _, err := d.site.StartServer(ctx, server.kind, server.place, server.args...); err != nil {
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
	kind  string
	place site.Server
	args  []string
}

func (d *demo) servers() []serverPlan {
	plans := []serverPlan{
		{"scorer", site.Server{ID: "scorer-1", Service: "coach-scorer", Zone: firstZone, Region: region}, nil},
		{"plain", site.Server{ID: "desk-1", Service: "desk", Zone: firstZone, Region: region}, nil},
		{"plain", site.Server{ID: "desk-2", Service: "desk", Zone: otherZone, Region: region}, nil},
	}
	for number := range engineCount {
		place := site.Server{ID: fmt.Sprintf("engine-%d", number+1), Service: "coach-model", Zone: firstZone, Region: region}
		plans = append(plans, serverPlan{"engine", place, []string{"--model", "coach-model", "--step", "10ms"}})
	}
	return plans
}

// publish checks the examples and publishes the demo's files with the product's
// own command line.
func (d *demo) publish(ctx context.Context) error {
	checked := d.command(ctx, "check", d.options.Checked)
	d.record(checked == nil, "examples checked", "%s", exitText(checked))
	published := d.command(ctx, "publish", d.options.Deployments, "--address", d.entries[0].Address,
		"--token", site.OperatorToken, "--operator", site.OperatorName, "--wait")
	d.record(published == nil, "configuration in force on every entry process", "%s", exitText(published))
	return published
}

func (d *demo) command(ctx context.Context, args ...string) error {
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

func (d *demo) callers(prefix string) caller.Options {
	return caller.Options{
		Addresses: d.addresses(), Token: site.CallerToken, Timeout: requestTimeout, RequestID: prefix,
	}
}

// serve streams completions and checks them against the engines' tokens.
func (d *demo) serve(ctx context.Context) error {
	options := d.callers("serve")
	options.Deployment, options.Prompt, options.MaxTokens = "coach", "How do I mend it? ", 40
	options.Count, options.Concurrency = 20, 5
	summary, err := caller.Run(ctx, options)
	d.record(err == nil && summary.Whole == options.Count, "streamed answers whole",
		"%d of %d, mean %d ms", summary.Whole, summary.Requests, summary.MeanMS)
	return err
}

// callTwice sends calls that may not run twice, each of them twice.
func (d *demo) callTwice(ctx context.Context) error {
	options := d.callers("sponsor")
	options.Deployment, options.Method, options.Path, options.Body = "desk", "POST", "sponsorships/", []byte(`{"donkey":"Gaston"}`)
	options.Count, options.Concurrency, options.Keyed, options.Twice = 5, 5, true, true
	summary, err := caller.Run(ctx, options)
	d.record(err == nil && summary.Whole == options.Count, "calls sent twice have run once",
		"%d of %d", summary.Whole, summary.Requests)
	return err
}

func (d *demo) trainers(first, steps int) trainer.Options {
	return trainer.Options{
		Addresses: d.addresses(), Token: site.TrainerToken, Deployment: "coach",
		FirstStep: stepNumber(first), FirstVersion: versionNumber(first), Steps: steps,
		StalenessBound: 2, StepTime: 100 * time.Millisecond, StepTimeout: requestTimeout, FetchTwice: true,
	}
}

func (d *demo) trainStep(ctx context.Context) error {
	summary, err := trainer.Run(ctx, d.trainers(1, 1))
	d.record(err == nil && summary.Sound() && summary.Samples > 0, "training step delivered once, fetched twice",
		"%d samples, %d repeated, %d too old", summary.Samples, summary.Repeated, summary.Stale)
	return err
}
