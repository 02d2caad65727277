package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/directory"
	"hoptiller/internal/front"
	"hoptiller/internal/guard"
	"hoptiller/internal/logs"
	"hoptiller/internal/origin"
	"hoptiller/internal/plan"
	"hoptiller/internal/provider"
	"hoptiller/internal/relay"
)

const (
	providerShare = 4                      // calls on a provider connection before another is opened
	linger        = 700 * time.Millisecond // for which clients still come after SIGTERM
	spare         = 300 * time.Millisecond // between the last answer and SIGKILL
)

type serveCmd struct {
	platform
	Name      string `env:"RELAY_NAME" help:"Name of this router."`
	Listen    string `env:"RELAY_LISTEN" placeholder:"ADDR" help:"Address for clients."`
	Discovery string `env:"RELAY_DISCOVERY" placeholder:"ADDR" help:"Address of the directory."`
	File      string `env:"HOPTILLER_FILE" placeholder:"FILE" help:"The operator's file."`
	LogLevel  string `env:"HOPTILLER_LOG_LEVEL" help:"debug, info, warn or error; goes before the operator's file."`
	LogFormat string `env:"HOPTILLER_LOG_FORMAT" help:"text or json; goes before the operator's file."`
}

// load reads all that the router is told. Whatever is wrong, nothing of it is used.
func (s *serveCmd) load(discovery string) (*config.Config, *plan.Plan, error) {
	c, err := s.platform.load(map[string]string{"RELAY_NAME": s.Name, "RELAY_LISTEN": s.Listen, "RELAY_DISCOVERY": discovery})
	if err != nil {
		return nil, nil, err
	}
	if s.File == "" {
		return c, plan.Empty(facts(c)), nil
	}
	p, report := plan.Load(s.File, readWhole, facts(c))
	if p == nil {
		return nil, nil, report
	}
	return c, p, nil
}

// logging are the options of the log: flags and environment go before the file.
func (s *serveCmd) logging(p *plan.Plan) (logs.Options, error) {
	o := logs.Options{Level: p.Log.Level, Format: p.Log.Format, Rate: p.Log.Rate}
	if s.LogLevel != "" {
		o.Level = s.LogLevel
	}
	if s.LogFormat != "" {
		o.Format = s.LogFormat
	}
	return o, o.Check()
}

// keep is how long clients are served after SIGTERM on the connections that they have: SIGKILL comes when the
// longest deadline, counted as 3 s at the most, and linger are over, and till then all must be answered.
func keep(classes []hoptiller.Class) time.Duration {
	var deadline, aim time.Duration
	for _, c := range classes {
		deadline, aim = max(deadline, c.Deadline), max(aim, c.Aim)
	}
	return max(linger, linger+min(deadline, 3*time.Second)-aim-spare)
}

// shares is what the limits leave to each side of the router.
type shares struct {
	clients   int // connections
	kept      int // and of them, those that may stay idle: clients hold a third of the descriptors at most
	open      int // invocations beyond the first of each client connection
	providers int // connections to all slot caches
	provider  int // connections to one of them; four routers share the 70 that it accepts
	origins   int // connections to the origin
}

// divide shares out the descriptors and the memory that a router has. Clients get half of the descriptors:
// those that say nothing must leave room for those that ask. Some are kept for the listener, the
// directory and the program itself. What the operator states goes before that.
func divide(c *config.Config, stated *plan.Limits) shares {
	sockets, memory := c.Sockets, int(c.MemoryMB)
	if sockets <= 0 {
		sockets = 1024
	}
	if memory <= 0 {
		memory = 192
	}
	rest := max(sockets-24, 8)
	s := shares{clients: min(rest/2, 8*memory), kept: sockets / 4, open: 2 * memory, origins: min(64, rest/6)}
	for from, to := range map[*int]*int{&stated.Clients: &s.clients, &stated.Open: &s.open, &stated.Origin: &s.origins} {
		if *from > 0 {
			*to = *from
		}
	}
	s.providers = max(1, rest-s.clients-s.origins)
	if stated.Providers > 0 {
		s.providers = stated.Providers
	}
	s.provider = min(16, max(4, s.providers/8))
	return s
}

// Run serves until SIGTERM.
func (s *serveCmd) Run(hup chan os.Signal) error {
	c, p, err := s.load(s.Discovery)
	var report *plan.Report
	if errors.As(err, &report) {
		fmt.Fprint(os.Stderr, report)
		return errors.New("the operator's file can't be used")
	}
	if err != nil {
		return err
	}
	options, err := s.logging(p)
	if err != nil {
		return err
	}
	log := logs.New(os.Stderr, options)
	slog.SetDefault(slog.New(log))
	if c.MemoryMB > 0 { // collect garbage harder well before the limit that kills
		debug.SetMemoryLimit(c.MemoryMB << 20 / 2)
	}
	listeners, err := listen(c, p)
	if err != nil {
		return err
	}
	shares := divide(c, &p.Limits)
	providers := provider.New(provider.Settings{
		Share: providerShare, MostConns: shares.provider, MostTotal: shares.providers, MostCalls: max(1, c.MostCalls),
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
	}, provider.Meta{})
	origins := provider.New(provider.Settings{
		Share: 1, MostConns: shares.origins, MostCalls: 1,
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
	}, origin.Protocol{})
	r := relay.New(c.Settings, c.Seed, providers, origins)
	var server front.Server = r
	var listener directory.Listener = r
	var g *guard.Guard
	if s.File != "" {
		g = guard.New(r, r, p, func(limit string) { slog.Info("limit hit", "limit", limit) })
		server, listener = g, g
	}
	names := &directory.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	dir := directory.NewClient(registry(c), names, listener, c.Known)
	f := &front.Front{Classes: c.Classes, MostConns: shares.clients, MostKept: shares.kept, MostOpen: shares.open, Linger: linger,
		Keep: keep(c.Settings.Classes), Server: server}
	for _, class := range c.Settings.Classes {
		f.Deadlines = append(f.Deadlines, class.Deadline)
	}

	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Run(ctx, dir) })
	group.Go(func() error { return dir.Run(ctx) })
	group.Go(func() error {
		l := &reloader{serve: s, config: c, plan: p, dir: dir, guard: g, log: log}
		l.run(ctx, hup)
		return nil
	})
	group.Go(func() error {
		defer cancel() // the clients are served: all else ends
		return f.Serve(ctx, stop, listeners...)
	})
	err = group.Wait()
	providers.Close()
	origins.Close()
	return err
}

// listen opens the platform's listener and those of the operator's file.
func listen(c *config.Config, p *plan.Plan) (all []net.Listener, err error) {
	open := func(name, addr string) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		slog.Info("listening", "addr", l.Addr(), "name", name)
		all = append(all, l)
		return nil
	}
	if err := open("main", c.Listen); err != nil {
		return nil, err
	}
	for _, l := range p.Listeners {
		if err := open(l.Name, l.Addr); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func registry(c *config.Config) *directory.Registry {
	return &directory.Registry{Addr: c.Discovery, Timeout: 4 * time.Second, Silence: 4500 * time.Millisecond}
}
