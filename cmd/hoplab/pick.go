package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/plot"
	"hoptiller/internal/lab/sim"
)

// pickCmd measures the time of one server pick by policy and fleet size.
type pickCmd struct {
	Caches   []int         `help:"Sizes of the fleet." default:"10,30,100,300,1000,4000"`
	Policies []string      `help:"Policies to measure." default:"hoptiller,ring,maglev,rendezvous,bounded,p2c"`
	For      time.Duration `help:"How long each is measured." default:"300ms"`
	Out      string        `help:"Plot to write, .svg or .png." short:"o" type:"path"`
}

// Run measures the time that a policy alone takes for a request, in microseconds: picking a server and processing its reported
// outcome.
func (c *pickCmd) Run(ctx context.Context) error {
	day := model.DefaultDay()
	var curves []plot.Curve
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "us\t")
	for _, n := range c.Caches {
		if n < 1 || n > 20000 {
			return fmt.Errorf("%d caches: must be from 1 to 20000", n)
		}
		fmt.Fprintf(w, "%d\t", n)
	}
	fmt.Fprintln(w)
	for _, name := range c.Policies {
		policy := experiment.Policy(name)
		if policy == nil {
			return fmt.Errorf("policy %q is not known", name)
		}
		curve := plot.Curve{Name: name}
		fmt.Fprintf(w, "%s\t", name)
		for _, n := range c.Caches {
			ids := model.NewRandom(day.Seed, "pick", n)
			list := make([]model.Member, n)
			for i := range list {
				list[i] = model.Member{ID: ids.Uint32() | 1, ServerIndex: i + 1, Phase: model.Ready, Weight: 4 + float64(i%3)}
			}
			pickServer := sim.Homes(&day, policy, list)
			picks, started := 0, time.Now()
			for ; time.Since(started) < c.For && ctx.Err() == nil; picks++ {
				pickServer(uint64(picks)*0x9e3779b97f4a7c15 | 1)
			}
			us := float64(time.Since(started).Nanoseconds()) / 1000 / float64(max(picks, 1))
			curve.X, curve.Y = append(curve.X, float64(n)), append(curve.Y, us)
			fmt.Fprintf(w, "%.2f\t", us)
		}
		fmt.Fprintln(w)
		curves = append(curves, curve)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if c.Out == "" {
		return ctx.Err()
	}
	return plot.Curves("A pick and the report of its answer", "caches", "us", curves, c.Out)
}
