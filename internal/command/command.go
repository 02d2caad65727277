// Package command is what the programs' command lines share: how they are read, and
// how they end. It knows no command.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// exit codes beside 0 and, for a command line that can't be read, kong's 80.
const (
	exitBad     = 1 // something can't be read, used or done
	exitFinding = 3 // what was looked for was found
)

// ErrFinding ends a command that has reported what it found: a broken rule, a
// difference, a figure that fell.
var ErrFinding = errors.New("found")

// Main reads the command line, runs the command with what bind binds for it, and
// ends the program.
func Main(name, description string, cli any, bind func(*kong.Context)) {
	parser := kong.Must(cli, kong.Name(name), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description(description))
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	bind(k)
	switch err := k.Run(); {
	case errors.Is(err, ErrFinding):
		os.Exit(exitFinding)
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitBad)
	}
}
