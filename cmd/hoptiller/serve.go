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
	"hoptiller/internal/requestid"
	"hoptiller/internal/upstream"
	"hoptiller/internal/valuemem"
)

const (
	// callsPerSharedConn is the number of calls on a cache connection before another is opened, if connections have a price.
	callsPerSharedConn = 4
	lingerTime         = 700 * time.Millisecond // how long new clients are accepted after SIGTERM
	killMargin         = 300 * time.Millisecond // between the last answer and SIGKILL
	// handoverKeepTime is how long clients are served after SIGTERM where another process accepts new ones.
	handoverKeepTime = 300 * time.Millisecond
	commandGrace     = 500 * time.Millisecond  // how long after the keep time a client may still send the rest of a command
	maxCommandGrace  = 2100 * time.Millisecond // commandGrace where there is time for a complete command before SIGKILL
	// originReuseDelay is how long an origin connection rests before it is reused. An origin answer names no request, and a
	// surplus one comes some milliseconds late.
	originReuseDelay = 20 * time.Millisecond
	// cacheSurplusTime is how long after an answer of a cache server a surplus one may arrive. The server sends it some
	// milliseconds late, and the network may hold it back until it is sent again, but hardly twice.
	cacheSurplusTime = 500 * time.Millisecond
	// readAheadWait is half of the time within which the end of a client has to be noticed.
	readAheadWait    = 50 * time.Millisecond
	firstListTimeout = 2 * time.Second // how long a new process waits for an up-to-date list before it takes over clients
)

// serveCmd runs the router.
type serveCmd struct {
	platformFlags
	Name      string `env:"RELAY_NAME" help:"Name of this router."`
	Listen    string `env:"RELAY_LISTEN" placeholder:"ADDR" help:"Address for clients."`
	Discovery string `env:"RELAY_DISCOVERY" placeholder:"ADDR" help:"Address of the directory."`
	Admin     string `env:"RELAY_ADMIN" placeholder:"ADDR" help:"Address for operators' calls."`
	SocketFD  string `env:"RELAY_SOCKET_FD" name:"socket-fd" placeholder:"NUMBER" help:"Descriptor of the clients' listening socket, where another process holds it."`
	File      string `env:"HOPTILLER_FILE" placeholder:"FILE" help:"The operator's file."`
	LogLevel  string `env:"HOPTILLER_LOG_LEVEL" help:"debug, info, warn or error; goes before the operator's file."`
	LogFormat string `env:"HOPTILLER_LOG_FORMAT" help:"text or json; goes before the operator's file."`
}

// load reads the platform's configuration and the operator's file. If either is wrong it returns an error and neither is used.
func (s *serveCmd) load(discovery string) (*config.Config, *plan.Plan, error) {
	c, err := s.platformFlags.load(map[string]string{"RELAY_NAME": s.Name, "RELAY_LISTEN": s.Listen, "RELAY_DISCOVERY": discovery,
		"RELAY_ADMIN": s.Admin, "RELAY_SOCKET_FD": s.SocketFD})
	if err != nil {
		return nil, nil, err
	}
	if s.File == "" {
		return c, plan.Empty(planPlatform(c)), nil
	}
	p, report := plan.Load(s.File, readConsistent, planPlatform(c))
	if p == nil {
		return nil, nil, report
	}
	return c, p, nil
}

// logOptions returns the options of the log. Flags and environment take precedence over the operator's file.
func (s *serveCmd) logOptions(p *plan.Plan) (logs.Options, error) {
	o := logs.Options{Level: p.Log.Level, Format: p.Log.Format, Rate: p.Log.Rate}
	if s.LogLevel != "" {
		o.Level = s.LogLevel
	}
	if s.LogFormat != "" {
		o.Format = s.LogFormat
	}
	return o, o.Check()
}

// keepServingTime returns how long clients are served on their open connections after SIGTERM. SIGKILL follows SIGTERM after the
// longest deadline, counted as 3 s at most, plus lingerTime; all requests must be answered before that.
func keepServingTime(classes []hoptiller.Class) time.Duration {
	var aim time.Duration
	for _, c := range classes {
		aim = max(aim, c.Aim)
	}
	return max(lingerTime, answerTimeLimit(classes)-aim)
}

// answerTimeLimit returns how long after SIGTERM all requests must have been answered.
func answerTimeLimit(classes []hoptiller.Class) time.Duration {
	var deadline time.Duration
	for _, c := range classes {
		deadline = max(deadline, c.Deadline)
	}
	return lingerTime + min(deadline, 3*time.Second) - killMargin
}

// Run serves clients until SIGTERM or an interrupt.
func (s *serveCmd) Run(hup chan os.Signal) error {
	// This comes first, so that a SIGTERM during the start also ends the program in the normal way.
	stopSignal, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopNotify()
	c, p, err := s.load(s.Discovery)
	var report *plan.Report
	if errors.As(err, &report) {
		fmt.Fprint(os.Stderr, report)
		return errors.New("the operator's file can't be used")
	}
	if err != nil {
		return err
	}
	options, err := s.logOptions(p)
	if err != nil {
		return err
	}
	events := logs.NewWriter(os.Stderr)
	defer events.Close()
	log := logs.New(events, options)
	slog.SetDefault(slog.New(log))
	listeners, err := openListeners(c, p)
	if err != nil {
		return err
	}
	operatorListener, err := listenAdmin(c)
	if err != nil {
		return err
	}
	if c.Warnings != "" {
		slog.Warn("settings in doubt", "what", c.Warnings)
	}
	if c.Contradictions != "" {
		slog.Warn("settings contradict themselves", "what", c.Contradictions)
	}
	for _, what := range c.Assumptions {
		slog.Info("fleet assumed", "what", what)
	}
	reports := loadreport.New(c.ReportColumns)
	counts, phases := metrics.New(c.Classes), lifecycle.New()
	reasons := newEndReasons()
	c.Settings.ConnsPerCore = p.Limits.ConnsPerCore
	limits := divideResources(c, &p.Limits)
	if limits.heapBytes > 0 {
		debug.SetMemoryLimit(int64(limits.heapBytes))
	}
	var fleet *fleetMember
	longValueBudget := valuemem.New(int64(max(limits.longValueBytes, meta.MaxLongValue)))
	longValueBudget.OnWaited = logMemoryWait
	providers := upstream.New(upstream.Settings{
		CallsPerConn: callsPerConn(c), MaxConnsPerServer: limits.connsPerCache, MaxConns: limits.cacheConns, MaxCallsPerConn: max(1, c.MaxCallsPerConn),
		IdleLimit: c.ConnIdleTimeout * 3 / 4, ConnectTimeout: c.Settings.ConnectTimeout,
		MaxIdle: connlimit.MaxIdle(c.Settings.RouterCount, p.Limits.ConnsPerCore), ConnsPerCore: p.Limits.ConnsPerCore,
		AttemptSent: counts.AttemptSent, LoadReports: reports, SurplusTime: cacheSurplusTime,
		Observed: func(id uint32, up bool) { fleet.observeCache(id, up) }, ConnClosed: reasons.serverClosed,
		CheckRepeated: counts.CheckRepeated,
	}, upstream.Meta{})
	origins := upstream.New(upstream.Settings{
		CallsPerConn: 1, MaxConnsPerServer: limits.originConns, MaxCallsPerConn: 1, MaxIdle: limits.originConns,
		IdleLimit: c.ConnIdleTimeout * 3 / 4, ConnectTimeout: c.Settings.ConnectTimeout,
		ValueMemory: longValueBudget, AttemptSent: counts.AttemptSent, Cooldown: originReuseDelay, ConnClosed: reasons.serverClosed,
		CheckRepeated: counts.CheckRepeated,
	}, origin.Protocol{})
	router := relay.New(c.Settings, c.Seed, providers, origins)
	router.AttemptEnded = reasons.attemptEnded
	var server front.Server = router
	var listener discovery.Listener = router
	var admission *middleware.Handler
	if s.File != "" {
		admission = middleware.New(router, router, p, logLimitHit)
		server, listener = admission, admission
	}
	caches := drains.New(listener)
	if fleet = newFleetMember(c, p.Fleet, counts, phases, router, caches); fleet.peers != nil {
		listener = caches
	}
	names := &discovery.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	firstList := &firstListNotifier{Listener: listener, received: make(chan struct{})}
	discoveryClient := discovery.NewClient(registry(c), names, firstList, c.Known)
	clientFront := &front.Front{
		Classes: c.Classes, AnyClass: c.DefaultClassOnly, Tenants: c.Tenants, MaxConns: limits.clientConns,
		MaxUsedConns: limits.idleClientConns, MaxStartedConns: limits.busyClientConns,
		MaxOpenRequests: limits.extraInvocations, ValueMemory: longValueBudget, AnswerMemory: int64(limits.answerBytes),
		ReadAheadWait:  readAheadWait,
		AcceptDuration: lingerTime, ServeDuration: keepServingTime(c.Settings.Classes), CommandGrace: commandGrace, FailOpenAfter: answerTimeLimit(c.Settings.Classes),
		Lifecycle: phases, Counts: counts, Server: server, OnClosed: reasons.clientClosed,
	}
	clientFront.UsedIDs = openUsedIDs(listeners)
	if c.SocketFD != "" { // another process accepts from the same socket
		clientFront.AcceptDuration, clientFront.ServeDuration = 0, handoverKeepTime
		clientFront.CommandGrace = min(maxCommandGrace, max(commandGrace, keepServingTime(c.Settings.Classes)-handoverKeepTime))
	}
	for _, class := range c.Settings.Classes {
		clientFront.Deadlines = append(clientFront.Deadlines, class.Deadline)
		clientFront.Aims = append(clientFront.Aims, class.Aim)
		clientFront.Effects = append(clientFront.Effects, class.Effect)
		clientFront.RetryAfter = append(clientFront.RetryAfter, c.Settings.RetryAfter(&class))
	}

	fleet.phase = func() view.Phase { return memberPhase(phases.Phase(), clientFront.Ready()) }
	defer context.AfterFunc(stopSignal, func() {
		phases.Apply(lifecycle.Stop)
		slog.Info("stopping")
	})()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return router.Run(ctx, discoveryClient) })
	group.Go(func() error { return discoveryClient.Run(ctx) })
	if fleet.peers != nil {
		group.Go(func() error { return fleet.peers.Run(ctx) })
	}
	group.Go(func() error {
		reloads := &reloader{serve: s, config: c, plan: p, discoveryClient: discoveryClient,
			admission: admission, log: log, fleet: fleet}
		reloads.run(ctx, hup)
		return nil
	})
	group.Go(func() error {
		defer cancel()        // once all clients are served, everything else ends
		if c.SocketFD != "" { // clients that this process takes over must not be sent to a cache that has been drained since
			select {
			case <-firstList.received:
			case <-stopSignal.Done():
			case <-time.After(firstListTimeout):
			}
		}
		return clientFront.Serve(ctx, listeners...)
	})
	if operatorListener != nil {
		a := &admin.Server{MaxConns: limits.operatorConns,
			Calls: adminCalls(phases, clientFront, counts, longValueBudget, reasons, reports, router, fleet.peers)}
		group.Go(func() error { return a.Serve(ctx, operatorListener) })
	}
	err = group.Wait()
	providers.Close()
	origins.Close()
	return err
}

// openUsedIDs returns the table of the ids of requests that must not run twice. Processes that share a listening socket share it.
func openUsedIDs(listeners []net.Listener) *requestid.Table {
	for _, listener := range listeners {
		shared, ok := listener.(front.SharedListener)
		if !ok {
			continue
		}
		table, err := openSharedIDs(shared)
		if err == nil {
			return table
		}
		slog.Warn("ids are not shared with other processes of this router", "err", err)
	}
	return requestid.New()
}

// openSharedIDs opens the table that the processes share which hold a listening socket.
func openSharedIDs(listener front.SharedListener) (*requestid.Table, error) {
	socket, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	var path string
	var pathErr error
	if err := socket.Control(func(fd uintptr) { path, pathErr = requestid.SocketPath(os.TempDir(), fd) }); err != nil {
		return nil, err
	}
	if pathErr != nil {
		return nil, pathErr
	}
	return requestid.Open(path)
}

// registry returns the discovery service that the configuration names.
func registry(c *config.Config) *discovery.Registry {
	return &discovery.Registry{Addr: c.Discovery, Timeouts: discovery.PlatformTimeouts}
}
