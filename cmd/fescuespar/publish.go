package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/deploymenttoml"
	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

func init() {
	register("publish", "Publish operators' files as one configuration", &publishCommand{})
}

// dirArgument is the directory that holds operators' files.
type dirArgument struct {
	Dir string `positional-arg-name:"DIR" required:"yes" description:"directory with operators' files below it"`
}

// publishCommand hands operators' files to the service.
type publishCommand struct {
	outputOption
	serviceOptions
	Operator    string        `long:"operator" value-name:"NAME" description:"who is thought to publish; the token's name is recorded, and a difference is told"`
	Base        *uint64       `long:"base" value-name:"N" description:"generation that the change was made for; default: the one in force"`
	DryRun      bool          `long:"dry-run" description:"show the difference from what is in force and stop"`
	Wait        bool          `long:"wait" description:"wait until every live process reports the new generation"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" value-name:"DURATION" description:"longest wait of --wait"`
	Args        dirArgument   `positional-args:"yes"`
}

// LongDescription returns the command's help.
func (*publishCommand) LongDescription() string {
	return `Checks every operators' file below DIR, shows the difference from the configuration in force and publishes all files as the next generation. The operator recorded is the one that the token stands for. A publish that another operator overtook is refused; the answer names the generation that won.

Example: fescuespar publish examples/anerie --address 192.0.2.7:8080 --token-file operator.token --wait` + exitCodesHelp
}

// publishOutput is the result of a publish in JSON output.
type publishOutput struct {
	Base       uint64         `json:"base"`
	Changes    []changeOutput `json:"changes"`
	DryRun     bool           `json:"dry_run"`
	Generation uint64         `json:"generation"`         // zero when nothing was published
	Operator   string         `json:"operator,omitempty"` // recorded
	Missing    []memberOutput `json:"missing"`            // processes that did not report the generation in time
}

// changeOutput is one difference in JSON output.
type changeOutput struct {
	Kind       string `json:"kind"`
	Deployment string `json:"deployment"`
	Field      string `json:"field,omitempty"`
	Old        string `json:"old,omitempty"`
	New        string `json:"new,omitempty"`
}

// Execute runs the command.
func (c *publishCommand) Execute([]string) error {
	client, err := c.client(c.Address)
	if err != nil {
		return err
	}
	collection, err := deploymenttoml.Collect(c.Args.Dir)
	if err != nil {
		return err
	}
	if err := mistakes(collection); err != nil {
		return joinReport(c.report(collection), err)
	}
	p := &publication{command: c, client: client, deployments: collection.Deployments}
	if err := p.compare(context.Background()); err != nil {
		return err
	}
	err = p.run(context.Background())
	return joinReport(c.print(p.output(), p.text), err)
}

// joinReport returns the command's error, or the one of writing its result.
func joinReport(report, err error) error {
	if err != nil {
		return err
	}
	return report
}

// publication is one run of the command.
type publication struct {
	command     *publishCommand
	client      *operatorclient.Client
	deployments []core.Deployment
	inForce     core.Configuration
	base        core.Generation
	changes     []configuration.Change
	generation  core.Generation // zero when nothing was published
	operator    string          // recorded, empty when not known
	live        int
	missing     []configjson.MemberStatus
}

// compare reads the configuration in force and finds what would change.
func (p *publication) compare(ctx context.Context) error {
	inForce, err := p.client.Configuration(ctx)
	if err != nil {
		return err
	}
	p.inForce = inForce
	p.base = inForce.Generation
	if p.command.Base != nil {
		p.base = core.Generation(*p.command.Base)
	}
	p.changes = configuration.Diff(inForce.Deployments, p.deployments)
	return nil
}

func (p *publication) run(ctx context.Context) error {
	if p.command.DryRun {
		return p.checkBase()
	}
	if len(p.changes) == 0 && p.base == p.inForce.Generation {
		return p.wait(ctx, p.base)
	}
	if err := p.publish(ctx); err != nil {
		return err
	}
	return p.wait(ctx, p.generation)
}

// checkBase tells in a dry run what a publish would be refused for.
func (p *publication) checkBase() error {
	if p.base == p.inForce.Generation {
		return nil
	}
	return errkind.New(errkind.GenerationConflict, "generation %d by operator %q is in force, not the base generation %d",
		p.inForce.Generation, p.inForce.Operator, p.base)
}

func (p *publication) publish(ctx context.Context) error {
	published, err := p.client.PublishAs(ctx, configjson.PublishRequest{
		Base:        p.base,
		Operator:    p.command.Operator,
		Deployments: p.deployments,
	})
	if errkind.Is(err, errkind.OutcomeUnknown) {
		published, err = p.findPublished(ctx, err)
	}
	p.generation, p.operator = core.Generation(published.Generation), published.Operator
	return err
}

// findPublished looks for the published deployments in force after a lost reply.
// They count whoever is recorded: nobody can tell two operators apart who
// publish the same deployments on the same base.
func (p *publication) findPublished(ctx context.Context, lost error) (configjson.Published, error) {
	inForce, err := p.client.Configuration(ctx)
	if err != nil {
		return configjson.Published{}, lost
	}
	own := inForce.Parent == p.base && len(configuration.Diff(inForce.Deployments, p.deployments)) == 0
	if !own {
		return configjson.Published{}, lost
	}
	return configjson.Published{Generation: uint64(inForce.Generation), Operator: inForce.Operator}, nil
}

func (p *publication) output() publishOutput {
	result := publishOutput{
		Base:       uint64(p.base),
		Changes:    []changeOutput{},
		DryRun:     p.command.DryRun,
		Generation: uint64(p.generation),
		Operator:   p.operator,
		Missing:    []memberOutput{},
	}
	for _, change := range p.changes {
		result.Changes = append(result.Changes, changeOutput{
			string(change.Kind), string(change.Deployment), string(change.Field), change.Old, change.New})
	}
	for _, member := range p.missing {
		result.Missing = append(result.Missing, memberOutput(member))
	}
	return result
}

func (p *publication) text(w io.Writer) {
	for _, change := range p.changes {
		fmt.Fprintln(w, change)
	}
	if len(p.changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	if p.generation != 0 {
		fmt.Fprintf(w, "generation %d accepted, based on %d, recorded for operator %s\n", p.generation, p.base, p.operator)
	}
	if stated := p.command.Operator; p.operator != "" && stated != "" && stated != p.operator {
		fmt.Fprintf(w, "note: --operator states %s; the token stands for %s\n", stated, p.operator)
	}
	for _, member := range p.missing {
		fmt.Fprintf(w, "missing on %s (%s) at %s: it reports generation %d\n",
			member.VM, member.State, member.Address, member.Generation)
	}
	if p.live > 0 && len(p.missing) == 0 {
		fmt.Fprintf(w, "in force on all %d live processes\n", p.live)
	}
}
