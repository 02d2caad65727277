package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"hoptiller/internal/lab/experiment"
	"hoptiller/internal/lab/load"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/scoring"
	"hoptiller/internal/lab/speed"
	"hoptiller/internal/lab/standin"
	"hoptiller/internal/unit"
)

// fleetFlags are the flags that describe a fleet on loopback sockets.
type fleetFlags struct {
	Caches  int           `help:"Slot caches." default:"6"`
	Routers int           `help:"Routers." default:"2"`
	For     time.Duration `help:"How long to go on." default:"1m"`
	Seed    uint64        `help:"Seed of the day." default:"1"`
}

// day returns the default day with the size, seed and length that the flags state.
func (f *fleetFlags) day() model.Day {
	day := model.DefaultDay()
	day.Fleet.Caches, day.Routers, day.Seed, day.Length = f.Caches, f.Routers, f.Seed, unit.Duration(f.For)
	return day
}

// demoCmd runs a fleet, its routers and load together.
type demoCmd struct {
	fleetFlags `embed:""`
	Level      float64 `help:"Load, as a part of the fleet's capacity." default:"0.5"`
	Fault      string  `help:"What goes wrong a third of the way; see hoplab kinds." default:"crash"`
	Router     string  `help:"The router's program." default:"bin/hoptiller" type:"existingfile"`
	Log        string  `help:"File for what the routers log." default:"" type:"path"`
}

// Run runs the demo, prints a line each second and a summary at the end.
func (c *demoCmd) Run(ctx context.Context) error {
	day := c.day()
	day.Load.Level, day.WarmUp, day.FillCaches = c.Level, unit.Duration(3*time.Second), true
	if c.Fault != "" && c.Fault != "none" {
		day.Faults = []model.Fault{{Kind: c.Fault, At: day.Length / 3, Duration: day.Length / 6, Share: 0.2, Severity: 0.3, Count: 1,
			Interval: unit.Duration(2 * time.Second)}}
		switch c.Fault {
		case "resets":
			day.Faults[0].Severity = 10
		case "origin_slow":
			day.Faults[0].Severity = 3
		}
	}
	if err := day.Validate(); err != nil {
		return err
	}
	var log io.Writer
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer f.Close()
		log = f
	}
	fmt.Printf("%d slot caches, %d routers, an origin and a directory on loopback; %v of load at %.2f of capacity, %s on the way\n",
		c.Caches, c.Routers, c.For, c.Level, c.Fault)
	fmt.Println("      s  asked  within aim  refused  fetches  caches up")
	r, err := standin.Run(ctx, &day, standin.Options{Router: c.Router, Log: log, Progress: func(now time.Duration, w *model.World,
		t *scoring.Scorer) {
		second := int((now-day.WarmUp.Std())/time.Second) - 2 // requests sent two seconds ago have been answered
		stats, ok := t.Second(second)
		if !ok {
			fmt.Println("   warming up")
			return
		}
		up := 0
		for _, cache := range w.Caches {
			if cache.IsRunning() {
				up++
			}
		}
		fmt.Printf("  %5d  %5d       %4.0f %%    %5d    %5d      %3d\n",
			second, stats.Asked, 100*stats.Service, stats.Refused, stats.Fetches, up)
	}})
	if errors.Is(err, context.Canceled) {
		fmt.Println("stopped")
		return nil
	}
	if err != nil {
		return err
	}
	return experiment.WriteSummary(os.Stdout, []*experiment.Record{{
		Experiment: "demo", Policy: "hoptiller", Seed: c.Seed, Result: r,
	}}, "")
}

// fleetCmd runs the servers that stand in for a platform. The user starts the routers.
type fleetCmd struct {
	fleetFlags `embed:""`
	Dir        string  `help:"Folder for the routers' configurations." default:"fleet" type:"path"`
	Bytes      int     `help:"Length of a value in bytes; 0: that of the day." default:"0"`
	Unsized    float64 `help:"Part of the origin's values that it gives without their length." default:"0"`
}

// Run runs the slot caches, the origin and the discovery service until interrupted, and prints how to start routers.
func (c *fleetCmd) Run(ctx context.Context) error {
	day := c.day()
	day.Load.Level, day.WarmUp, day.Origin.UnsizedShare = 0, 0, c.Unsized
	if c.Bytes != 0 {
		day.Load.Bytes = c.Bytes
	}
	if err := day.Validate(); err != nil {
		return err
	}
	fmt.Printf("%d slot caches, an origin and a directory; each router finds them at addresses of its own. Start routers with\n", c.Caches)
	for i := range c.Routers {
		fmt.Printf("  RELAY_CONFIG=%s bin/hoptiller\n", filepath.Join(c.Dir, fmt.Sprintf("router%d", i), "config.json"))
	}
	_, err := standin.Run(ctx, &day, standin.Options{Dir: c.Dir})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// loadCmd sends load to running routers.
type loadCmd struct {
	Addrs   []string      `arg:"" help:"Routers' addresses, on loopback."`
	Rate    float64       `help:"Requests a second; 0: as many as the connections carry." default:"100"`
	For     time.Duration `help:"How long to send." default:"10s"`
	Conns   int           `help:"Connections at the most." default:"200"`
	Keys    int           `help:"Different keys." default:"600"`
	Zipf    float64       `help:"Exponent of the keys' popularity." default:"1"`
	Retries int           `help:"Repeats of a request that is told to come back." default:"2"`
	Seed    uint64        `help:"Seed of times and keys." default:"1"`
	JSON    bool          `help:"Report as a line of JSON."`
}

// Run sends the load and prints a report; on a terminal it also shows progress.
func (c *loadCmd) Run(ctx context.Context) error {
	plan := load.Plan{Addrs: c.Addrs, Rate: c.Rate, For: c.For, Conns: c.Conns, Keys: c.Keys, Zipf: c.Zipf, Offset: 3, Seed: c.Seed,
		MaxRetries: c.Retries, ValueSize: 2}
	day := model.DefaultDay()
	for _, class := range day.Classes {
		plan.Classes = append(plan.Classes, load.Class{Name: class.Name, Share: class.Share, Aim: class.Aim.Std(),
			Deadline: class.Deadline.Std(), Worth: class.Worth, Write: class.Write})
	}
	if isTerminal(os.Stderr) {
		plan.Progress = func(r *load.Report) {
			fmt.Fprintf(os.Stderr, "\r%4.0f s  %6.0f/s  %.4f within aim, p99 %.1f ms ",
				r.Seconds, r.Rate, r.Classes[0].Service, r.Classes[0].P99)
		}
		defer fmt.Fprintln(os.Stderr)
	}
	r, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	if c.JSON {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}

// speedCmd measures the latency that the router adds.
type speedCmd struct {
	Router string        `help:"The router's program." default:"bin/hoptiller" type:"existingfile"`
	For    time.Duration `help:"How long each of the six parts takes." default:"5s"`
	Conns  int           `help:"Connections." default:"64"`
	Caches int           `help:"Slot caches, which answer at once." default:"10"`
	File   string        `help:"An operator's file, with which the router is measured once more, in turns with the one without." type:"existingfile"`
}

// Run measures the router and the bare relay, which is this program's hidden relay command.
func (c *speedCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r, err := speed.Run(ctx, speed.Options{Router: c.Router, Relay: []string{self, "relay"},
		For: c.For, Conns: c.Conns, Caches: c.Caches, File: c.File})
	if err != nil {
		return err
	}
	return r.Write(os.Stdout)
}

// relayCmd runs the bare relay that speedCmd compares the router with.
type relayCmd struct {
	To string `arg:"" help:"Address to relay to."`
}

// Run prints the address that it listens on to standard error and relays connections.
func (c *relayCmd) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "listening addr=%v\n", l.Addr())
	return speed.Relay(l, c.To)
}
