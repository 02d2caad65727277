package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/command"
	"hoptiller/internal/lab/membership"
	"hoptiller/internal/lab/plot"
)

// viewCmd measures the protocol by which routers agree on their fleet view, or searches its orders of events.
type viewCmd struct {
	Routers []int         `help:"Sizes of fleets." default:"100,300,1000"`
	Seeds   int           `help:"Plays of each." default:"3"`
	Least   time.Duration `help:"The shortest time that a datagram takes." default:"2.5ms"`
	Most    time.Duration `help:"The longest." default:"39ms"`
	Short   bool          `help:"Leave out the ten minutes of pauses."`
	Search  int           `help:"Go through all orders of events of three routers up to this depth instead." placeholder:"DEPTH"`
	Out     string        `help:"Folder for the table and the plots." default:"found/view" type:"path"`
}

// Run measures all sizes and seeds and writes the table and the plots. The error is command.ErrFinding if a measurement fails.
func (c *viewCmd) Run(ctx context.Context) error {
	if c.Search > 0 {
		return c.search()
	}
	for _, n := range c.Routers {
		if n < 4 || n > 4000 {
			return fmt.Errorf("a fleet of %d: 4 to 4,000 are possible", n)
		}
	}
	if c.Least < 0 || c.Most < c.Least || c.Seeds < 1 {
		return fmt.Errorf("--least %v, --most %v, --seeds %d: not possible", c.Least, c.Most, c.Seeds)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	measurements := make([]*membership.Measurements, len(c.Routers)*c.Seeds)
	var g errgroup.Group
	g.SetLimit(4)
	for i := range measurements {
		g.Go(func() error {
			if ctx.Err() == nil {
				measurements[i] = membership.Measure(c.Routers[i/c.Seeds], membership.Network{MinDelay: c.Least, MaxDelay: c.Most},
					uint64(i%c.Seeds+1), c.Short)
			}
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	text, broken := viewTable(measurements)
	fmt.Print(text)
	if err := os.WriteFile(filepath.Join(c.Out, "view.md"), []byte(text), 0o644); err != nil {
		return err
	}
	if err := c.plots(measurements); err != nil {
		return err
	}
	if broken {
		return command.ErrFinding
	}
	return nil
}

// viewTable formats the measurements as a Markdown table, times in seconds, and the failures below it. broken reports whether
// there are any failures.
func viewTable(measurements []*membership.Measurements) (text string, broken bool) {
	var b strings.Builder
	b.WriteString("| routers | seed | all start | join, worst of 20 | crash, mean and worst of 20 | living taken for dead / pauses | halves meet | thirds meet | a third joins | bytes/s calm | at 10% loss | in repair | datagrams/s calm | at 10% loss |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range measurements {
		fmt.Fprintf(&b, "| %d | %d | %.1f | %.2f | %.1f, %.1f | %d / %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.0f | %.1f | %.1f |\n",
			f.Routers, f.Seed, f.StartAll,
			slices.Max(f.Joins), mean(f.Crashes), slices.Max(f.Crashes), f.FalsePositives, f.Pauses,
			f.HealHalves, f.HealThirds, f.JoinThird, f.LosslessBytes, f.LossyBytes, f.RepairBytes, f.LosslessDatagrams, f.LossyDatagrams)
		for _, what := range f.Failures {
			fmt.Fprintf(&b, "\n%d routers, seed %d: %s\n", f.Routers, f.Seed, what)
			broken = true
		}
	}
	return b.String(), broken
}

// mean returns the arithmetic mean.
func mean(list []float64) (m float64) {
	for _, x := range list {
		m += x / float64(len(list))
	}
	return m
}

// plots draws the worst value of all seeds against the size of the fleet.
func (c *viewCmd) plots(measurements []*membership.Measurements) error {
	times := []plot.Curve{{Name: "all start"}, {Name: "join"}, {Name: "crash"},
		{Name: "halves meet"}, {Name: "thirds meet"}, {Name: "a third joins"}}
	bytes := []plot.Curve{{Name: "calm"}, {Name: "10% loss"}, {Name: "in repair"}}
	for i, n := range c.Routers {
		worstOf := func(value func(f *membership.Measurements) float64) (x float64) {
			for _, f := range measurements[i*c.Seeds : (i+1)*c.Seeds] {
				x = max(x, value(f))
			}
			return x
		}
		for k, value := range []func(f *membership.Measurements) float64{
			func(f *membership.Measurements) float64 { return f.StartAll },
			func(f *membership.Measurements) float64 { return slices.Max(f.Joins) },
			func(f *membership.Measurements) float64 { return slices.Max(f.Crashes) },
			func(f *membership.Measurements) float64 { return f.HealHalves },
			func(f *membership.Measurements) float64 { return f.HealThirds },
			func(f *membership.Measurements) float64 { return f.JoinThird },
		} {
			times[k].X, times[k].Y = append(times[k].X, float64(n)), append(times[k].Y, worstOf(value))
		}
		for k, value := range []func(f *membership.Measurements) float64{
			func(f *membership.Measurements) float64 { return f.LosslessBytes },
			func(f *membership.Measurements) float64 { return f.LossyBytes },
			func(f *membership.Measurements) float64 { return f.RepairBytes },
		} {
			bytes[k].X, bytes[k].Y = append(bytes[k].X, float64(n)), append(bytes[k].Y, worstOf(value))
		}
	}
	if err := plot.Curves("A view of the fleet: until all know, worst of all seeds", "routers", "seconds", times,
		filepath.Join(c.Out, "times.svg")); err != nil {
		return err
	}
	return plot.Curves("What a router sends", "routers", "bytes a second", bytes, filepath.Join(c.Out, "bytes.svg"))
}

// search searches all orders of events, without and with clocks that are set back at a restart.
func (c *viewCmd) search() error {
	for _, setBack := range []bool{false, true} {
		s := &membership.Search{Routers: 3, Depth: c.Search, MaxCrashes: 2, MaxInFlight: 4, ClockSetBack: setBack}
		err := s.Run()
		fmt.Printf("clocks of new lives set back %v: %d states to a depth of %d, from %d of them all views agreed, %v\n",
			setBack, s.States, s.Depth, s.Converged, s.Duration.Round(time.Millisecond))
		if err != nil {
			fmt.Println(err)
			return command.ErrFinding
		}
	}
	return nil
}
