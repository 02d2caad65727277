package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"hoptiller"
	"hoptiller/internal/admin"
	"hoptiller/internal/admission/middleware"
	"hoptiller/internal/config"
	"hoptiller/internal/discovery"
	"hoptiller/internal/fleet/connlimit"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/front"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/loadreport"
	"hoptiller/internal/logs"
	"hoptiller/internal/meta"
	"hoptiller/internal/metrics"
	"hoptiller/internal/origin"
	"hoptiller/internal/plan"
	"hoptiller/internal/relay"
	"hoptiller/internal/upstream"
)

const (
	sharedBy    = 4                       // calls on a provider connection before another is opened, where these cost something
	linger      = 700 * time.Millisecond  // for which clients still come after SIGTERM
	spare       = 300 * time.Millisecond  // between the last answer and SIGKILL
	replaceTime = 300 * time.Millisecond  // for which clients are served after SIGTERM where another process accepts them
	closeTime   = 500 * time.Millisecond  // after that, for the rest of a command
	restTime    = 2100 * time.Millisecond // the same where there is time for a whole command before SIGKILL
	originRest  = 20 * time.Millisecond   // the origin's answers name no request, and a second one comes some milliseconds late
	freshTime   = 2 * time.Second         // that a new process waits for a fresh list before it takes clients from the old one
)

type serveCmd struct {
	platform
	Name      string `env:"RELAY_NAME" help:"Name of this router."`
	Listen    string `env:"RELAY_LISTEN" placeholder:"ADDR" help:"Address for clients."`
	Discovery string `env:"RELAY_DISCOVERY" placeholder:"ADDR" help:"Address of the directory."`
	Admin     string `env:"RELAY_ADMIN" placeholder:"ADDR" help:"Address for operators' calls."`
	SocketFD  string `env:"RELAY_SOCKET_FD" name:"socket-fd" placeholder:"NUMBER" help:"Descriptor of the clients' listening socket, where another process holds it."`
	File      string `env:"HOPTILLER_FILE" placeholder:"FILE" help:"The operator's file."`
	LogLevel  string `env:"HOPTILLER_LOG_LEVEL" help:"debug, info, warn or error; goes before the operator's file."`
	LogFormat string `env:"HOPTILLER_LOG_FORMAT" help:"text or json; goes before the operator's file."`
}

// load reads all that the router is told. Whatever is wrong, nothing of it is used.
func (s *serveCmd) load(discovery string) (*config.Config, *plan.Plan, error) {
	c, err := s.platform.load(map[string]string{"RELAY_NAME": s.Name, "RELAY_LISTEN": s.Listen, "RELAY_DISCOVERY": discovery,
		"RELAY_ADMIN": s.Admin, "RELAY_SOCKET_FD": s.SocketFD})
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
	var aim time.Duration
	for _, c := range classes {
		aim = max(aim, c.Aim)
	}
	return max(linger, last(classes)-aim)
}

// last is how long after SIGTERM all must be answered.
func last(classes []hoptiller.Class) time.Duration {
	var deadline time.Duration
	for _, c := range classes {
		deadline = max(deadline, c.Deadline)
	}
	return linger + min(deadline, 3*time.Second) - spare
}

// Run serves until SIGTERM.
func (s *serveCmd) Run(hup chan os.Signal) error {
	// First of all: a SIGTERM that comes before the rest is ready ends the program as well as any other.
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
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
	events := logs.NewWriter(os.Stderr)
	defer events.Close()
	log := logs.New(events, options)
	slog.SetDefault(slog.New(log))
	listeners, err := listen(c, p)
	if err != nil {
		return err
	}
	operators, err := listenAdmin(c)
	if err != nil {
		return err
	}
	if c.Doubts != "" {
		slog.Warn("settings in doubt", "what", c.Doubts)
	}
	if c.Contradicts != "" {
		slog.Warn("settings contradict themselves", "what", c.Contradicts)
	}
	for _, what := range c.Assumed {
		slog.Info("fleet assumed", "what", what)
	}
	reports := loadreport.New(c.Reports)
	counts, life := metrics.New(c.Classes), lifecycle.New()
	reasons := newReasons()
	c.Settings.Places = p.Limits.Places
	shares := divide(c, &p.Limits)
	if shares.heap > 0 {
		debug.SetMemoryLimit(int64(shares.heap))
	}
	var fleet *fleet
	room := semaphore.NewWeighted(int64(max(shares.long, meta.MaxLong)))
	providers := upstream.New(upstream.Settings{
		Share: sharing(c), MostConns: shares.provider, MostTotal: shares.providers, MostCalls: max(1, c.MostCalls),
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
		Kept: connlimit.Kept(c.Settings.Balancers, p.Limits.Places), Places: p.Limits.Places, Called: counts.AttemptSent, Reports: reports,
		Seen: func(id uint32, up bool) { fleet.saw(id, up) }, Closed: reasons.serverClosed,
		LookedAgain: counts.LookedAgain,
	}, upstream.Meta{})
	origins := upstream.New(upstream.Settings{
		Share: 1, MostConns: shares.origins, MostCalls: 1, Kept: shares.origins,
		IdleLimit: c.ConnIdle * 3 / 4, ConnectTimeout: c.Settings.ConnTimeout,
		Room: room, Called: counts.AttemptSent, Rest: originRest, Closed: reasons.serverClosed,
		LookedAgain: counts.LookedAgain,
	}, origin.Protocol{})
	r := relay.New(c.Settings, c.Seed, providers, origins)
	r.AttemptEnded = reasons.attemptEnded
	var server front.Server = r
	var listener discovery.Listener = r
	var g *middleware.Handler
	if s.File != "" {
		g = middleware.New(r, r, p, func(limit string) { slog.Info("limit hit", "limit", limit) })
		server, listener = g, g
	}
	caches := drains.New(listener)
	if fleet = newFleet(c, p.Fleet, counts, life, r, caches); fleet.peers != nil {
		listener = caches
	}
	names := &discovery.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	fresh := &freshList{Listener: listener, told: make(chan struct{})}
	dir := discovery.NewClient(registry(c), names, fresh, c.Known)
	f := &front.Front{
		Classes: c.Classes, AnyClass: c.AnyClass, Tenants: c.Tenants, MostConns: shares.clients, MostKept: shares.kept, MostHeld: shares.held,
		MostOpen: shares.open, Room: room,
		Linger: linger, Keep: keep(c.Settings.Classes), Rest: closeTime, Last: last(c.Settings.Classes),
		Life: life, Counts: counts, Server: server, Closed: reasons.clientClosed,
	}
	if c.SocketFD != "" { // another process accepts from the same socket
		f.Linger, f.Keep = 0, replaceTime
		f.Rest = min(restTime, max(closeTime, keep(c.Settings.Classes)-replaceTime))
	}
	for _, class := range c.Settings.Classes {
		f.Deadlines = append(f.Deadlines, class.Deadline)
		f.Aims = append(f.Aims, class.Aim)
	}

	fleet.phase = func() view.Phase { return phase(life.Phase(), f.Ready()) }
	defer context.AfterFunc(stop, func() {
		life.Tell(lifecycle.Stop)
		slog.Info("stopping")
	})()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Run(ctx, dir) })
	group.Go(func() error { return dir.Run(ctx) })
	if fleet.peers != nil {
		group.Go(func() error { return fleet.peers.Run(ctx) })
	}
	group.Go(func() error {
		l := &reloader{serve: s, config: c, plan: p, dir: dir, admission: g, log: log, fleet: fleet}
		l.run(ctx, hup)
		return nil
	})
	group.Go(func() error {
		defer cancel()        // the clients are served: all else ends
		if c.SocketFD != "" { // whom this takes from the other process must not meet a drained cache
			select {
			case <-fresh.told:
			case <-stop.Done():
			case <-time.After(freshTime):
			}
		}
		return f.Serve(ctx, listeners...)
	})
	if operators != nil {
		a := &admin.Server{Places: shares.operators, Calls: calls(life, f, counts, reasons, reports, r, fleet.peers)}
		group.Go(func() error { return a.Serve(ctx, operators) })
	}
	err = group.Wait()
	providers.Close()
	origins.Close()
	return err
}

func registry(c *config.Config) *discovery.Registry {
	return &discovery.Registry{Addr: c.Discovery, Times: discovery.PlatformTimes}
}
