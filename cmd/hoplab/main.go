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
	Demo    demoCmd    `cmd:"" help:"A fleet, its routers and load in one, on loopback sockets, with a live summary."`
	Fleet   fleetCmd   `cmd:"" help:"The stand-ins alone: slot caches, origin and directory for routers that you start."`
	Load    loadCmd    `cmd:"" help:"Send load to routers and measure it."`
	Run     runCmd     `cmd:"" help:"Play an experiment and keep its results."`
	Compare compareCmd `cmd:"" help:"Set two results against each other, with confidence intervals."`
	Plot    plotCmd    `cmd:"" help:"Draw results as SVG or PNG."`
	Table   tableCmd   `cmd:"" help:"Write results as a Markdown table."`
	Hunt    huntCmd    `cmd:"" help:"Draw random days until one breaks a rule or a rival does better."`
	Story   storyCmd   `cmd:"" help:"Play one run again and tell the course of one request."`
	Drill   drillCmd   `cmd:"" help:"Start several routers, put faults on them and between them, and hold what comes of it against claims."`
	Soak    soakCmd    `cmd:"" help:"Play drawn days in which several kinds of trouble meet, and tell which break a rule."`
	Scale   scaleCmd   `cmd:"" help:"Run fleets of up to 1,000 routers, most of them hollow, and measure what their control costs."`
	View    viewCmd    `cmd:"" help:"Measure the view of the fleet in virtual time, or search through all orders of events."`
	Permits permitsCmd `cmd:"" help:"Search for an order of events in which more go out by permit than may."`
	Speed   speedCmd   `cmd:"" help:"Measure what the router adds to a request, beside a bare relay."`
	Pick    pickCmd    `cmd:"" help:"Measure a pick by the size of the fleet, for each policy."`
	Relay   relayCmd   `cmd:"" hidden:"" help:"The bare relay that speed measures."`
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
