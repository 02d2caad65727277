// Package peers runs a router's view of its fleet: it adds a UDP socket, a clock and locks to package view, and to the
// permits and leases that routers exchange over the same socket.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/leases"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
)

// Settings are the parameters of a Peers.
type Settings struct {
	Self    int      // number of this router
	Listen  string   // address on which datagrams are received
	Addrs   []string // addresses of all routers by number, this one included, as this router reaches them
	Seed    uint64
	Phase   func() view.Phase   // returns this router's current phase; called with each tick
	Details func() view.Details // returns the details to publish about this router; called with each tick

	Agent *permit.Agent // this router's part in granting and acquiring permits; nil if there are no permits

	// SetOutOfService is called with true to send clients away and with false to accept them again. It is required with Agent.
	SetOutOfService func(out bool)

	Caches func() []hoptiller.CacheState // returns the state of the slot caches as this router knows it; required with Agent
	Drains *drains.Filter                // drains slot caches; required with Agent

	// OnObservation, if set, is called with what any router, this one included, observed of slot caches: with a new observation
	// when the datagram that contains it arrives, and at each tick with all observations that are kept.
	OnObservation func(view.Observation)

	WrapConn func(*net.UDPConn) Conn // if set, wraps each socket
}

// Conn sends and receives datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Peers is one router's view of its fleet, with the socket through which it talks to the other routers. It is safe for
// concurrent use.
type Peers struct {
	settings     Settings
	addrs        []netip.AddrPort
	routerByAddr map[netip.AddrPort]int
	startTime    time.Time

	mu             sync.Mutex
	view           *view.View
	conn           Conn         // nil while there is no socket
	unloggedEvents []view.Event // to be logged with the next tick
	sendFailures   uint64

	serviceMu    sync.Mutex // held while this router goes out of service or returns; locked before mu
	outOfService bool       // this router is out of service by its permit

	leases        *leases.Manager         // nil without Agent
	loggedDrains  map[uint32]*loggedDrain // by slot cache
	driverHeardAt time.Duration           // when the driver of the release last called this router
	releaseOwner  int                     // the router that this one knows as the owner of the release's lease; -1 if none

	cachedState   *permit.FleetState // last result of computeFleetState; nil if there is none since the last tick
	cachedStateAt time.Duration      // when it was computed

	pendingMu           sync.Mutex
	pendingObservations map[uint32]view.ObservedState // latest one of each slot cache since the last tick; nil if none
}

// MaxRouters is the greatest number of routers that datagrams can tell apart.
const MaxRouters = 65535

// New returns a Peers that does not run yet. The error states in one line why there can be no view with these settings.
func New(settings Settings) (*Peers, error) {
	if len(settings.Addrs) < 2 {
		return nil, errors.New("no other routers are configured")
	}
	if len(settings.Addrs) > MaxRouters {
		return nil, fmt.Errorf("%d routers are too many, the maximum is %d", len(settings.Addrs), MaxRouters)
	}
	if settings.Self < 0 || settings.Self >= len(settings.Addrs) {
		return nil, fmt.Errorf("this is router %d, but the list has addresses of %d routers", settings.Self, len(settings.Addrs))
	}
	if _, err := netip.ParseAddrPort(settings.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &Peers{settings: settings, routerByAddr: map[netip.AddrPort]int{}, startTime: time.Now(),
		loggedDrains: map[uint32]*loggedDrain{}, releaseOwner: -1}
	for i, text := range settings.Addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		if other, isDuplicate := p.routerByAddr[addr]; isDuplicate && i != settings.Self && other != settings.Self {
			slog.Warn("two routers have one address", "addr", text, "routers", fmt.Sprintf("%d and %d", other, i))
		}
		p.addrs = append(p.addrs, addr)
		p.routerByAddr[addr] = i
	}
	if settings.Agent != nil {
		settings.Agent.ObserveFleet = p.fleetState
		settings.Agent.Start(0)
		p.leases = leases.NewManager(0, settings.Agent)
	}
	p.view = view.New(view.Config{Self: settings.Self, RouterCount: len(settings.Addrs), Start: p.startTime, Seed: settings.Seed, Now: 0})
	return p, nil
}

// now returns the time since the start, by a clock that never steps.
func (p *Peers) now() time.Duration { return time.Since(p.startTime) }

// listenRetryInterval is the time between attempts to listen on an address that is in use. The process that this one
// replaces keeps the address in use for as long as it runs.
const listenRetryInterval = 250 * time.Millisecond

// Run keeps the view up to date until ctx ends. It then announces to the other routers that this one leaves.
func (p *Peers) Run(ctx context.Context) error {
	conn, err := p.listen(ctx)
	if err != nil {
		return err
	}
	if conn == nil { // ctx ended before the address was free, or the address can't be listened on
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.receive(conn) })
	g.Go(func() error {
		p.runTicks(ctx)
		p.mu.Lock()
		p.view.Leave(p.now())
		p.flush()
		p.mu.Unlock()
		return conn.Close()
	})
	return g.Wait()
}

// listen opens the socket. It waits for an address that is in use until ctx ends. It returns nil if there is no socket.
func (p *Peers) listen(ctx context.Context) (Conn, error) {
	addr, _ := netip.ParseAddrPort(p.settings.Listen)
	for waitLogged := false; ; {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err == nil {
			var conn Conn = socket
			if p.settings.WrapConn != nil {
				conn = p.settings.WrapConn(socket)
			}
			p.mu.Lock()
			p.conn = conn
			p.mu.Unlock()
			slog.Info("listening for routers", "addr", conn.LocalAddr(), "self", p.settings.Self, "of", len(p.settings.Addrs))
			return conn, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			// The error is not returned: a router without a view still serves its clients.
			slog.Warn("fleet view off", "why", err)
			return nil, nil
		}
		if !waitLogged {
			slog.Info("peer_listen is taken, waiting for it", "addr", p.settings.Listen)
			waitLogged = true
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// receive handles the datagrams that arrive on conn until it is closed.
func (p *Peers) receive(conn Conn) error {
	// The buffer is longer than a datagram may be, so that a datagram that is too long is detected and not cut off.
	b := make([]byte, 2*view.MaxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // a sender must not be able to end the view, nor to keep this goroutine busy with errors
			time.Sleep(5 * time.Millisecond)
			continue
		}
		router, known := p.routerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			router = -1
		}
		p.handleDatagram(router, b[:n])
	}
}

// handleDatagram handles a datagram from the address of a router. The number from is negative if no router has the address.
func (p *Peers) handleDatagram(from int, b []byte) {
	p.mu.Lock()
	switch {
	case len(b) > 0 && b[0] == permit.Version && p.settings.Agent != nil:
		p.settings.Agent.Receive(p.now(), from, b)
	case len(b) > 0 && b[0] == leases.Version && p.settings.Agent != nil:
		p.leases.Receive(p.now(), from, b)
		p.leases.Store.Tick(p.now()) // passes on new leases at once
	default:
		p.view.Receive(p.now(), from, b)
	}
	p.flush()
	observations := p.view.NewObservations()
	p.mu.Unlock()
	p.passOn(observations)
}

// runTicks ticks the view, permits, leases and drains whenever the view is due, until ctx ends.
func (p *Peers) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		phase, details := p.settings.Phase(), p.settings.Details()
		p.pendingMu.Lock()
		pending := p.pendingObservations
		p.pendingObservations = nil
		p.pendingMu.Unlock()
		p.serviceMu.Lock()
		p.mu.Lock()
		p.view.SetPhase(phase)
		p.view.SetDetails(details)
		p.view.Tick(p.now())
		for cache, state := range pending {
			p.view.Observe(view.Observation{CacheID: cache, State: state})
		}
		p.view.NewObservations()
		observations := p.view.Observations(p.now())
		change := p.tickPermits()
		currentDrains := p.currentDrains()
		p.flush()
		due, events := p.view.NextTick(), p.unloggedEvents
		p.unloggedEvents = nil
		p.mu.Unlock()
		p.apply(change)
		if p.settings.Drains != nil {
			p.settings.Drains.SetDrains(p.now(), currentDrains)
		}
		p.serviceMu.Unlock()
		p.passOn(observations)
		logEvents(events)
		timer.Reset(max(time.Millisecond, due-p.now()))
	}
}

// passOn passes observations to the callback of the settings.
func (p *Peers) passOn(observations []view.Observation) {
	if p.settings.OnObservation == nil {
		return
	}
	for _, o := range observations {
		p.settings.OnObservation(o)
	}
}

// flush sends the datagrams that the view, the permits and the leases have queued. The caller holds p.mu. It doesn't
// retry: a datagram that can't be sent at once is lost.
func (p *Peers) flush() {
	for _, d := range p.view.Outgoing() {
		if p.conn == nil {
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To]); err != nil {
			p.sendFailures++
		}
	}
	p.unloggedEvents = append(p.unloggedEvents, p.view.Events()...)
	if p.settings.Agent == nil {
		return
	}
	for datagrams := p.settings.Agent.Outgoing(); len(datagrams) > 0; datagrams = p.settings.Agent.Outgoing() {
		for _, d := range datagrams {
			if d.To == p.settings.Self {
				p.settings.Agent.Receive(p.now(), d.To, d.Body)
			} else if p.conn != nil {
				p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To])
			}
		}
	}
	for _, d := range p.leases.Outgoing() {
		if p.conn != nil {
			p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To])
		}
	}
}

// logEvents logs changes of the view. If there are many of a kind, as when half of the fleet fails at once, it logs the
// first few and their number.
func logEvents(events []view.Event) {
	const maxLinesPerKind = 4
	counts := map[string]int{}
	logged := 0
	for _, e := range events {
		kind := eventMessage(e)
		if kind == "" {
			continue
		}
		if counts[kind]++; counts[kind] <= maxLinesPerKind {
			slog.Info(kind, "router", e.Router, "phase", e.After.Phase,
				"start", time.UnixMilli(e.After.Incarnation.Start).UTC().Format(time.RFC3339Nano))
			logged++
		}
	}
	for kind, n := range counts {
		if n > maxLinesPerKind {
			slog.Info("and more at once", "what", kind, "all", n)
		}
	}
}

// eventMessage returns the log message for a change, or an empty string if the change is not logged.
func eventMessage(e view.Event) string {
	before, after := &e.Before, &e.After
	switch {
	case after.State == view.Dead && before.State != view.Dead && before.Known():
		return "router lost"
	case after.State == view.Left && before.State != view.Left:
		return "router left"
	case after.State != view.Alive:
		return ""
	case !before.Known():
		return "router joined"
	case before.Incarnation.Start != after.Incarnation.Start:
		return "router restarted"
	case !before.AssumedAlive():
		return "router back"
	case before.Phase != after.Phase:
		return "router changed phase"
	}
	return ""
}
