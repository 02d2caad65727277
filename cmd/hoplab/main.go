// Command hoplab tries hoptiller and its rivals on days that it makes up: in
// virtual time, at any size and under any fault.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// exit codes beside 0.
const (
	exitBad     = 1 // bad input, or something could not be done
	exitFinding = 3 // what was looked for was found: a broken rule, a figure that fell
)

// errFinding ends a command that has reported what it found.
var errFinding = errors.New("found")

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
	Speed   speedCmd   `cmd:"" help:"Measure what the router adds to a request, beside a bare relay."`
	Pick    pickCmd    `cmd:"" help:"Measure a pick by the size of the fleet, for each policy."`
	Relay   relayCmd   `cmd:"" hidden:"" help:"The bare relay that speed measures."`
	Kinds   kindsCmd   `cmd:"" help:"List the kinds of fault and the policies."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("hoplab"), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("Tries hoptiller and its rivals on days that it makes up. "+
			"Exit codes: 0 done, 1 bad input or failed, 3 a broken rule or a loss was found."))
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	switch err := k.Run(); {
	case errors.Is(err, errFinding):
		os.Exit(exitFinding)
	case err != nil:
		fmt.Fprintln(os.Stderr, "hoplab:", err)
		os.Exit(exitBad)
	}
}
