package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"hoptiller/internal/command"
	"hoptiller/internal/fleet/rollout"
	"hoptiller/internal/plan"
)

// releaseCmd groups the commands that drive a release.
type releaseCmd struct {
	Plan   releasePlanCmd   `cmd:"" help:"Hold a plan against the fleet, and tell in which waves it would go; exit code 3 if it can't be kept."`
	Shows  releaseShowsCmd  `cmd:"" help:"Tell what a router of this program and a configuration would show in the view."`
	Start  releaseStartCmd  `cmd:"" help:"Begin a release, and see it through."`
	Status releaseStatusCmd `cmd:"" help:"Tell how a release stands."`
	Halt   releaseHaltCmd   `cmd:"" help:"Have a release halt, from any machine, and free the fleet of it."`
	Resume releaseResumeCmd `cmd:"" help:"Go on with a release that has halted, or whose driver is gone."`
	Back   releaseBackCmd   `cmd:"" help:"Bring back what a release has changed, in reverse order."`
}

// planFile is the argument that names the plan of a release.
type planFile struct {
	File string `arg:"" help:"The release's plan."`
}

// load reads the plan. It prints what is wrong with it to standard error and then returns command.ErrFinding.
func (f *planFile) load() (*plan.Release, error) {
	p, report := plan.LoadRelease(f.File, readConsistent)
	if p == nil {
		fmt.Fprint(os.Stderr, report)
		return nil, command.ErrFinding
	}
	return p, nil
}

// loadFeasible reads the plan, checks it against the fleet and returns it with its waves of router numbers. It prints what speaks
// against the plan to standard error and then returns command.ErrFinding.
func (f *planFile) loadFeasible(ctx context.Context) (*plan.Release, [][]int, error) {
	p, err := f.load()
	if err != nil {
		return nil, nil, err
	}
	waves, report := rollout.CheckPlan(ctx, p)
	if len(report.Findings) > 0 {
		fmt.Fprint(os.Stderr, report)
		return nil, nil, command.ErrFinding
	}
	return p, waves, nil
}

// interruptContext returns a context that ends at an interrupt or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// releasePlanCmd checks a plan against the fleet.
type releasePlanCmd struct{ planFile }

// Run prints the waves of the plan.
func (c *releasePlanCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	p, waves, err := c.loadFeasible(ctx)
	if err != nil {
		return err
	}
	for i, w := range waves {
		name := fmt.Sprintf("wave %d", i)
		if i == 0 {
			name = "canary"
		}
		fmt.Printf("%s: %s\n", name, strings.Trim(fmt.Sprint(w), "[]"))
	}
	fmt.Printf("each watched for %v and %d requests; %d routers in all\n", p.SoakDuration, p.MinRequests, len(p.RouterAddrs))
	return nil
}

// releaseShowsCmd prints the identifiers by which the fleet view tells programs and settings apart.
type releaseShowsCmd struct{ platformFlags }

// Run prints the identifiers in hexadecimal.
func (c *releaseShowsCmd) Run() error {
	conf, err := c.load(nil)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("program %08x\nsettings %08x\n", programID(), conf.Digest)
	return err
}

// releaseStartCmd starts a release.
type releaseStartCmd struct{ planFile }

// Run checks the plan against the fleet and drives the release.
func (c *releaseStartCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	p, _, err := c.loadFeasible(ctx)
	if err != nil {
		return err
	}
	return drive(ctx, p, rollout.ModeStart)
}

// releaseResumeCmd resumes a release.
type releaseResumeCmd struct{ planFile }

// Run resumes the release and drives it to its end.
func (c *releaseResumeCmd) Run() error { return c.continueRelease(rollout.ModeResume) }

// releaseBackCmd rolls a release back.
type releaseBackCmd struct{ planFile }

// Run drives the rollback to its end.
func (c *releaseBackCmd) Run() error { return c.continueRelease(rollout.ModeRollback) }

// continueRelease drives a release that has begun. It does not check the plan against the fleet, since a fault of the fleet may
// be the reason for a rollback.
func (f *planFile) continueRelease(mode rollout.Mode) error {
	ctx, stop := interruptContext()
	defer stop()
	p, err := f.load()
	if err != nil {
		return err
	}
	return drive(ctx, p, mode)
}

// drive drives a release. The error is command.ErrFinding if it halts, and nil if the driver is interrupted.
func drive(ctx context.Context, p *plan.Release, mode rollout.Mode) error {
	err := rollout.New(p, os.Stdout).Drive(ctx, mode)
	switch {
	case errors.Is(err, rollout.ErrHalted):
		return command.ErrFinding
	case errors.Is(err, context.Canceled):
		fmt.Printf("left as it is: release resume, or release back\n")
		return nil
	}
	return err
}

// releaseStatusCmd shows the status of a release.
type releaseStatusCmd struct{ planFile }

// Run prints the status.
func (c *releaseStatusCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	p, err := c.load()
	if err != nil {
		return err
	}
	return rollout.WriteStatus(ctx, os.Stdout, p)
}

// releaseHaltCmd halts a release.
type releaseHaltCmd struct{ planFile }

// Run ends the release in the fleet, so that its driver halts.
func (c *releaseHaltCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	p, err := c.load()
	if err != nil {
		return err
	}
	return rollout.EndRelease(ctx, p)
}
