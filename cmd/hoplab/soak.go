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

type soakCmd struct {
	Seeds  int    `help:"How many days are drawn." default:"10"`
	Seed   uint64 `help:"The first one's seed." default:"1"`
	AtOnce int    `help:"How many are played at once." default:"1"`
	Router string `help:"The router's program." default:"bin/hoptiller" type:"existingfile"`
	Keep   bool   `help:"Keep the timelines and files of all days, not only of those that break a claim."`
	Out    string `help:"Folder for the timelines and files of days that break a claim." default:"found/soak" type:"path"`
}

// Run plays drawn days and writes a row for each.
func (c *soakCmd) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.AtOnce < 1 {
		return errors.New("--seeds and --at-once want 1 or more")
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	fmt.Println("| seed | routers | requests | served | not served | unexplained | by the moment | ring, module | held up | troubles | broken |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var mu sync.Mutex // of what is counted and written
	played, broken, unclear := 0, 0, 0
	var g errgroup.Group
	g.SetLimit(c.AtOnce)
	for i := range c.Seeds {
		g.Go(func() error {
			f := drill.Soak(c.Seed + uint64(i))
			report, err := drill.Play(ctx, f, drill.Options{Router: c.Router})
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return fmt.Errorf("%s: %w", f.Name, err)
			}
			besides, err := playBeside(ctx, f)
			if err != nil {
				return fmt.Errorf("%s in virtual time: %w", f.Name, err)
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(soakRow(f, report, besides))
			played++
			keep := c.Keep
			switch {
			case report.Busy():
				unclear++
			case len(report.Broken()) > 0:
				broken++
				keep = true
			}
			if keep {
				return c.keep(f, report)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d of %d days played, %d with a broken claim, %d on a machine too busy for a verdict\n", played, c.Seeds, broken, unclear)
	if broken > 0 {
		return command.ErrFinding
	}
	return nil
}

// beside is what others serve of the same day in virtual time: its fleet, load and faults of cache servers, without what is done to
// routers and their ways, and with clients that wait for their answers.
type beside struct {
	ring, module float64 // a hash ring, and the decision module
}

func playBeside(ctx context.Context, f *drill.File) (b beside, err error) {
	for _, player := range []struct {
		policy  sim.Policy
		service *float64
	}{{rival.New("ring"), &b.ring}, {sim.Hoptiller, &b.module}} {
		day := f.Day
		result, err := sim.Run(ctx, &day, player.policy, sim.Options{})
		if err != nil {
			return b, err
		}
		*player.service = result.Service
	}
	return b, nil
}

// soakRow is a day's row of the table.
func soakRow(f *drill.File, r *drill.Report, b beside) string {
	counts := map[string]int{}
	var kinds []string
	for _, s := range f.Steps {
		if counts[s.Kind]++; counts[s.Kind] == 1 {
			kinds = append(kinds, s.Kind)
		}
	}
	for i, kind := range kinds {
		kinds[i] = fmt.Sprintf("%d %s", counts[kind], kind)
	}
	for _, fault := range f.Day.Faults {
		kinds = append(kinds, "caches "+fault.Kind)
	}
	verdict := "none"
	if r.Busy() {
		verdict = "no verdict"
	} else if len(r.Broken()) > 0 {
		var texts []string
		for _, v := range r.Broken() {
			texts = append(texts, v.Claim.Kind+": "+v.Why)
		}
		verdict = strings.Join(texts, "; ")
	}
	return fmt.Sprintf("| %d | %d | %d | %.3f | %v | %.4f | %.4f | %.3f, %.3f | %v | %s | %s |", f.Day.Seed, f.Day.Routers, r.Result.Asked, r.Result.Service,
		&r.Result.Unserved, r.Result.Unexplained, r.Result.ByTheMoment, b.ring, b.module, r.Lag.Round(time.Millisecond), strings.Join(kinds, ", "), verdict)
}

// keep writes a day as a drill that can be played again, with what happened.
func (c *soakCmd) keep(f *drill.File, r *drill.Report) error {
	base := filepath.Join(c.Out, f.Name)
	text, err := drill.Text(f)
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
	return errors.Join(drill.Write(out, r.Events), out.Close())
}
