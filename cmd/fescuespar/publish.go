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

// publishCommand publishes operators' files as the next configuration.
type publishCommand struct {
	outputOption
	serviceOptions
	Operator    string        `long:"operator" value-name:"NAME" description:"expected operator; the token's name is recorded, and a note is printed if they differ"`
	Base        *uint64       `long:"base" value-name:"N" description:"generation that the change is based on; default: the one in force"`
	DryRun      bool          `long:"dry-run" description:"show the difference from the configuration in force and stop"`
	Wait        bool          `long:"wait" description:"wait until every live process reports the new generation"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" value-name:"DURATION" description:"longest wait of --wait"`
	Args        dirArgument   `positional-args:"yes"`
}

// LongDescription returns the command's help.
func (*publishCommand) LongDescription() string {
	return `Checks every operators' file below DIR, shows the difference from the configuration in force and publishes all files as the next generation. The recorded operator is the one that the token belongs to. If another operator has published in the meantime, the publish is refused and the answer names the generation now in force.

Example: fescuespar publish examples/anerie --address 192.0.2.7:8080 --token-file operator.token --wait` + exitCodesHelp
}

// publishOutput is the JSON output of a publish.
type publishOutput struct {
	Base       uint64         `json:"base"`
	Changes    []changeOutput `json:"changes"`
	DryRun     bool           `json:"dry_run"`
	Generation uint64         `json:"generation"`         // zero when nothing was published
	Operator   string         `json:"operator,omitempty"` // as recorded by the service
	Missing    []memberOutput `json:"missing"`            // processes that did not report the generation in time
}

// changeOutput is the JSON output of one difference between configurations.
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
	if err := problemsError(collection); err != nil {
		return commandError(c.printProblems(collection), err)
	}
	p := &publication{command: c, client: client, deployments: collection.Deployments}
	if err := p.loadChanges(context.Background()); err != nil {
		return err
	}
	err = p.run(context.Background())
	return commandError(c.print(p.output(), p.writeText), err)
}

// commandError returns the command's error if there is one, otherwise the error
// of printing its result.
func commandError(printErr, err error) error {
	if err != nil {
		return err
	}
	return printErr
}

// publication is the state of one run of publishCommand.
type publication struct {
	command        *publishCommand
	client         *operatorclient.Client
	deployments    []core.Deployment
	inForce        core.Configuration
	base           core.Generation
	changes        []configuration.Change
	generation     core.Generation // zero when nothing was published
	operator       string          // as recorded by the service, empty when not known
	liveCount      int             // live processes in the last status
	laggingMembers []configjson.MemberStatus
}

// loadChanges fetches the configuration in force and computes the differences
// from it.
func (p *publication) loadChanges(ctx context.Context) error {
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

// run publishes the deployments, unless nothing differs, and waits for the
// processes. In a dry run it only checks the base generation.
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

// checkBase returns the GenerationConflict error with which the service would
// refuse a publish on the base generation.
func (p *publication) checkBase() error {
	if p.base == p.inForce.Generation {
		return nil
	}
	return errkind.New(errkind.GenerationConflict, "generation %d by operator %q is in force, not the base generation %d",
		p.inForce.Generation, p.inForce.Operator, p.base)
}

func (p *publication) publish(ctx context.Context) error {
	published, err := p.client.PublishWithResult(ctx, configjson.PublishRequest{
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

// findPublished checks after a lost reply whether the deployments are in force
// on the base generation. The recorded operator is not compared: two operators
// that publish the same deployments on the same base cannot be told apart. It
// returns publishErr if the deployments are not in force.
func (p *publication) findPublished(ctx context.Context, publishErr error) (configjson.Published, error) {
	inForce, err := p.client.Configuration(ctx)
	if err != nil {
		return configjson.Published{}, publishErr
	}
	isPublished := inForce.Parent == p.base && len(configuration.Diff(inForce.Deployments, p.deployments)) == 0
	if !isPublished {
		return configjson.Published{}, publishErr
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
	for _, member := range p.laggingMembers {
		result.Missing = append(result.Missing, memberOutput(member))
	}
	return result
}

func (p *publication) writeText(w io.Writer) {
	for _, change := range p.changes {
		fmt.Fprintln(w, change)
	}
	if len(p.changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	if p.generation != 0 {
		fmt.Fprintf(w, "generation %d accepted, based on %d, recorded for operator %s\n", p.generation, p.base, p.operator)
	}
	if expected := p.command.Operator; p.operator != "" && expected != "" && expected != p.operator {
		fmt.Fprintf(w, "note: --operator states %s; the token stands for %s\n", expected, p.operator)
	}
	for _, member := range p.laggingMembers {
		fmt.Fprintf(w, "missing on %s (%s) at %s: it reports generation %d\n",
			member.VM, member.State, member.Address, member.Generation)
	}
	if p.liveCount > 0 && len(p.laggingMembers) == 0 {
		fmt.Fprintf(w, "in force on all %d live processes\n", p.liveCount)
	}
}
