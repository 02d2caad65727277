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

type releaseCmd struct {
	Plan   releasePlanCmd   `cmd:"" help:"Hold a plan against the fleet, and tell in which waves it would go; exit code 3 if it can't be kept."`
	Shows  releaseShowsCmd  `cmd:"" help:"Tell what a router of this program and a configuration would show in the view."`
	Start  releaseStartCmd  `cmd:"" help:"Begin a release, and see it through."`
	Status releaseStatusCmd `cmd:"" help:"Tell how a release stands."`
	Halt   releaseHaltCmd   `cmd:"" help:"Have a release halt, from any machine, and free the fleet of it."`
	Resume releaseResumeCmd `cmd:"" help:"Go on with a release that has halted, or whose driver is gone."`
	Back   releaseBackCmd   `cmd:"" help:"Bring back what a release has changed, in reverse order."`
}

// planFile is a release's plan.
type planFile struct {
	File string `arg:"" help:"The release's plan."`
}

// load reads the plan; what is wrong goes to standard error.
func (f *planFile) load() (*plan.Release, error) {
	p, report := plan.LoadRelease(f.File, readWhole)
	if p == nil {
		fmt.Fprint(os.Stderr, report)
		return nil, command.ErrFinding
	}
	return p, nil
}

// examined is a plan that the fleet can keep.
func (f *planFile) examined(ctx context.Context) (*plan.Release, [][]int, error) {
	p, err := f.load()
	if err != nil {
		return nil, nil, err
	}
	waves, report := rollout.Examine(ctx, p)
	if len(report.Findings) > 0 {
		fmt.Fprint(os.Stderr, report)
		return nil, nil, command.ErrFinding
	}
	return p, waves, nil
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type releasePlanCmd struct{ planFile }

func (c *releasePlanCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	p, waves, err := c.examined(ctx)
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
	fmt.Printf("each watched for %v and %d requests; %d routers in all\n", p.Soak, p.Requests, len(p.Routers))
	return nil
}

type releaseShowsCmd struct{ platform }

func (c *releaseShowsCmd) Run() error {
	conf, err := c.load(nil)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("program %08x\nsettings %08x\n", build(), conf.Digest)
	return err
}

type releaseStartCmd struct{ planFile }

func (c *releaseStartCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	p, _, err := c.examined(ctx)
	if err != nil {
		return err
	}
	return driven(ctx, p, rollout.Start)
}

type releaseResumeCmd struct{ planFile }

func (c *releaseResumeCmd) Run() error { return c.goOn(rollout.Resume) }

type releaseBackCmd struct{ planFile }

func (c *releaseBackCmd) Run() error { return c.goOn(rollout.Back) }

// goOn does not hold the plan against the fleet: what is amiss with that is why one goes back.
func (f *planFile) goOn(mode rollout.Mode) error {
	ctx, stop := interrupted()
	defer stop()
	p, err := f.load()
	if err != nil {
		return err
	}
	return driven(ctx, p, mode)
}

func driven(ctx context.Context, p *plan.Release, mode rollout.Mode) error {
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

type releaseStatusCmd struct{ planFile }

func (c *releaseStatusCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	p, err := c.load()
	if err != nil {
		return err
	}
	return rollout.Status(ctx, os.Stdout, p)
}

type releaseHaltCmd struct{ planFile }

func (c *releaseHaltCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	p, err := c.load()
	if err != nil {
		return err
	}
	return rollout.End(ctx, p)
}
