// Package command holds what the command lines of all programs share: how they are parsed and which exit codes they
// return. It contains no commands.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes other than 0 and 80. kong exits with 80 if it cannot parse the command line.
const (
	exitError   = 1 // something could not be read, used or done
	exitFinding = 3 // the command has found what it searched for
)

// ErrFinding is the error of a command that has reported what it found: a violated invariant, a difference, or a
// figure that has fallen.
var ErrFinding = errors.New("found")

// Main parses the command line, calls bind to bind the values for the command, runs the command, and exits with a
// code other than 0 if it fails.
func Main(name, description string, cli any, bind func(*kong.Context)) {
	parser := kong.Must(cli, kong.Name(name), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description(description))
	context, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	bind(context)
	switch err := context.Run(); {
	case errors.Is(err, ErrFinding):
		os.Exit(exitFinding)
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitError)
	}
}
