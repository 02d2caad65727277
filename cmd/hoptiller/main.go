// Command hoptiller is a router in front of a fleet of slot caches, with the tools
// for its operator's file.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"hoptiller/internal/command"
	"hoptiller/internal/config"
	"hoptiller/internal/plan"
)

type cli struct {
	Serve      serveCmd      `cmd:"" default:"withargs" help:"Route requests; this is done where no command is named."`
	Check      checkCmd      `cmd:"" help:"Check an operator's file; exit code 3 if anything is wrong."`
	Fmt        fmtCmd        `cmd:"" help:"Write an operator's file in its one form."`
	Diff       diffCmd       `cmd:"" help:"Tell what two operator's files do differently; exit code 3 if anything."`
	Explain    explainCmd    `cmd:"" help:"Tell which route, pool and policy a request gets, and why."`
	Fleet      fleetCmd      `cmd:"" help:"Ask routers how they see the fleet, and tell where their views differ; exit code 3 if they do."`
	Release    releaseCmd    `cmd:"" help:"Take a release through the fleet by a plan: plan, start, status, halt, resume, back; exit code 3 if it halts."`
	Version    versionCmd    `cmd:"" help:"Say what this was built from."`
	Completion completionCmd `cmd:"" help:"Write a completion script for a shell."`
}

// platform are the flags by which the platform's configuration is found.
type platform struct {
	Config string `env:"RELAY_CONFIG" placeholder:"FILE" help:"The platform's configuration (JSON)."`
}

// load reads the configuration. Flags go before the environment, and that before the file.
func (p *platform) load(over map[string]string) (*config.Config, error) {
	return config.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return p.Config
		}
		return over[name]
	})
}

// facts are what operator's files are checked against.
func facts(c *config.Config) *plan.Platform {
	return &plan.Platform{Settings: c.Settings, Classes: c.Classes, Zones: c.Zones, Kinds: c.Kinds, MemoryMB: c.MemoryMB, Sockets: c.Sockets}
}

type versionCmd struct{}

func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("there is no build information")
	}
	at, changed := "an unknown revision", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			at = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				changed = ", with changes"
			}
		}
	}
	_, err := fmt.Printf("hoptiller %s, built with %s from %s%s\n", info.Main.Version, info.GoVersion, at, changed)
	return err
}

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before all else: until then it ends the program
	var c cli
	command.Main("hoptiller", "A router in front of a fleet of slot caches. Exit codes: 0 done, 1 something can't be read or used, "+
		"3 something was found, 80 the command line can't be read.", &c, func(k *kong.Context) { k.Bind(hup) })
}
