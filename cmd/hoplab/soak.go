package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/drill"
	"hoptiller/internal/lab/rival"
	"hoptiller/internal/lab/sim"
)

// soakCmd runs random days with several kinds of fault against real router processes.
type soakCmd struct {
	Seeds  int    `help:"How many days are drawn." default:"10"`
	Seed   uint64 `help:"The first one's seed." default:"1"`
	AtOnce int    `help:"How many are played at once." default:"1"`
	Router string `help:"The router's program." default:"bin/hoptiller" type:"existingfile"`
	Keep   bool   `help:"Keep the timelines and files of all days, not only of those that break a claim."`
	Out    string `help:"Folder for the timelines and files of days that break a claim." default:"found/soak" type:"path"`
}

// Run runs the random days and prints a table row for each. The error is command.ErrFinding if a claim is broken.
func (c *soakCmd) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.AtOnce < 1 {
		return errors.New("--seeds and --at-once must be at least 1")
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	fmt.Println("| seed | routers | requests | served | not served | unexplained | by the moment | ring, module | held up | troubles | broken |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var mu sync.Mutex // guards the counts and standard output
	played, broken, unclear := 0, 0, 0
	var g errgroup.Group
	g.SetLimit(c.AtOnce)
	for i := range c.Seeds {
		g.Go(func() error {
			f := drill.Soak(c.Seed + uint64(i))
			report, err := drill.Play(ctx, f, drill.Options{RouterProgram: c.Router})
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return fmt.Errorf("%s: %w", f.Name, err)
			}
			baseline, err := playReference(ctx, f)
			if err != nil {
				return fmt.Errorf("%s in virtual time: %w", f.Name, err)
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(soakRow(f, report, baseline))
			played++
			keepFiles := c.Keep
			switch {
			case report.MachineTooBusy():
				unclear++
			case len(report.FailedClaims()) > 0:
				broken++
				keepFiles = true
			}
			if keepFiles {
				return c.keep(f, report)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d of %d days played, %d with a broken claim, %d on a machine too busy for a verdict\n",
		played, c.Seeds, broken, unclear)
	if broken > 0 {
		return command.ErrFinding
	}
	return nil
}

// reference holds the service that two policies reach on the same day in virtual time, for comparison. The virtual day has the
// same fleet, load and cache server faults, but no faults of routers or of their network paths, and its clients wait for their
// answers.
type reference struct {
	ringService, moduleService float64 // of a hash ring, and of the decision module
}

// playReference runs the day of a drill in virtual time with both reference policies.
func playReference(ctx context.Context, f *drill.File) (r reference, err error) {
	for _, run := range []struct {
		policy  sim.Policy
		service *float64
	}{{rival.New("ring"), &r.ringService}, {sim.Hoptiller, &r.moduleService}} {
		day := f.Day
		result, err := sim.Run(ctx, &day, run.policy, sim.Options{})
		if err != nil {
			return r, err
		}
		*run.service = result.Service
	}
	return r, nil
}

// soakRow formats a day's row of the table.
func soakRow(f *drill.File, r *drill.Report, virtual reference) string {
	counts := map[string]int{}
	var faults []string
	for _, s := range f.Steps {
		if counts[s.Kind]++; counts[s.Kind] == 1 {
			faults = append(faults, s.Kind)
		}
	}
	for i, kind := range faults {
		faults[i] = fmt.Sprintf("%d %s", counts[kind], kind)
	}
	for _, fault := range f.Day.Faults {
		faults = append(faults, "caches "+fault.Kind)
	}
	verdict := "none"
	if r.MachineTooBusy() {
		verdict = "no verdict"
	} else if len(r.FailedClaims()) > 0 {
		var texts []string
		for _, v := range r.FailedClaims() {
			texts = append(texts, v.Claim.Kind+": "+v.Reason)
		}
		verdict = strings.Join(texts, "; ")
	}
	return fmt.Sprintf("| %d | %d | %d | %.3f | %v | %.4f | %.4f | %.3f, %.3f | %v | %s | %s |",
		f.Day.Seed, f.Day.Routers, r.Result.Asked, r.Result.Service,
		&r.Result.Unserved, r.Result.Unexplained, r.Result.ExplainedByTiming, virtual.ringService, virtual.moduleService,
		r.Lag.Round(time.Millisecond), strings.Join(faults, ", "), verdict)
}

// keep writes a day as a drill file that can be run again, and the timeline of its events.
func (c *soakCmd) keep(f *drill.File, r *drill.Report) error {
	base := filepath.Join(c.Out, f.Name)
	text, err := drill.Encode(f)
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".toml", text, 0o644); err != nil {
		return err
	}
	out, err := os.Create(base + ".jsonl")
	if err != nil {
		return err
	}
	return errors.Join(drill.WriteEvents(out, r.Events), out.Close())
}
