// Command hoplab evaluates hoptiller and rival policies on simulated days of
// traffic, in virtual time or on loopback sockets, at any fleet size and under
// injected faults.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"hoptiller/internal/command"
)

// cli defines the commands of hoplab.
type cli struct {
	Demo    demoCmd    `cmd:"" help:"Run a fleet, its routers and load together on loopback sockets, with a live summary."`
	Fleet   fleetCmd   `cmd:"" help:"Run slot caches, an origin and a discovery service for routers that you start."`
	Load    loadCmd    `cmd:"" help:"Send load to routers and measure it."`
	Run     runCmd     `cmd:"" help:"Run an experiment and write its results."`
	Compare compareCmd `cmd:"" help:"Compare two results, with confidence intervals."`
	Plot    plotCmd    `cmd:"" help:"Draw results as SVG or PNG."`
	Table   tableCmd   `cmd:"" help:"Write results as a Markdown table."`
	Hunt    huntCmd    `cmd:"" help:"Generate random days until one violates an invariant or a rival policy does better."`
	Story   storyCmd   `cmd:"" help:"Repeat one run and print the trace of one request."`
	Drill   drillCmd   `cmd:"" help:"Start several routers, inject faults into them and their network, and check claims."`
	Soak    soakCmd    `cmd:"" help:"Run random days with several kinds of fault at once, and report which violate an invariant."`
	Scale   scaleCmd   `cmd:"" help:"Measure control costs of fleets of up to 1,000 routers, most of them without clients in one process."`
	View    viewCmd    `cmd:"" help:"Measure how routers agree on their fleet view in virtual time, or search all orders of events."`
	Permits permitsCmd `cmd:"" help:"Search for an order of events in which more routers hold a permit than the bound allows."`
	Speed   speedCmd   `cmd:"" help:"Measure the latency that the router adds to a request, compared with a bare relay."`
	Pick    pickCmd    `cmd:"" help:"Measure the time of one server pick by fleet size, for each policy."`
	Relay   relayCmd   `cmd:"" hidden:"" help:"Run the bare relay that hoplab speed compares the router with."`
	Kinds   kindsCmd   `cmd:"" help:"List the kinds of fault and the policies."`
}

func main() {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.Main("hoplab", "Evaluates hoptiller and rival policies on simulated days of traffic. "+
		"Exit codes: 0 done, 1 bad input or failure, 3 a violated invariant or a loss was found.", &c,
		func(k *kong.Context) { k.BindTo(ctx, (*context.Context)(nil)) })
}
