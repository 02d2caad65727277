// Command hoptiller routes client requests to a fleet of slot caches. It also has
// commands that check, format, compare and explain the operator's file, show the
// fleet of routers, and drive releases.
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

// cli defines the commands of hoptiller.
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

// platformFlags are the flags that locate the platform's configuration.
type platformFlags struct {
	Config string `env:"RELAY_CONFIG" placeholder:"FILE" help:"The platform's configuration (JSON)."`
}

// load reads the configuration. overrides holds settings by the name of their environment variable; flags take precedence over
// the environment, and the environment over the file.
func (p *platformFlags) load(overrides map[string]string) (*config.Config, error) {
	return config.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return p.Config
		}
		return overrides[name]
	})
}

// planPlatform returns the parts of the configuration that operator's files are checked against.
func planPlatform(c *config.Config) *plan.Platform {
	return &plan.Platform{Settings: c.Settings, Classes: c.Classes, Zones: c.Zones,
		Kinds: c.Kinds, MemoryMB: c.MemoryMB, Sockets: c.Sockets}
}

// versionCmd prints build information.
type versionCmd struct{}

// Run prints the version, the Go version and the commit.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program has no build information")
	}
	revision, modified := "an unknown revision", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = ", with changes"
			}
		}
	}
	_, err := fmt.Printf("hoptiller %s, built with %s from %s%s\n", info.Main.Version, info.GoVersion, revision, modified)
	return err
}

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all, since a SIGHUP ends the program until this call
	var c cli
	command.Main("hoptiller", "A router in front of a fleet of slot caches. Exit codes: 0 done, 1 something can't be read or used, "+
		"3 something was found, 80 the command line can't be read.", &c, func(k *kong.Context) { k.Bind(hup) })
}
