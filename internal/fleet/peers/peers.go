// Package peers carries a router's view of its fleet over datagrams: a socket and a clock round package view.
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
	"hoptiller/internal/fleet/notes"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
)

// Settings say whose peers these are.
type Settings struct {
	Self   int      // number of this router
	Listen string   // where datagrams come
	Addrs  []string // of all routers by number, as this one reaches them, its own included
	Seed   uint64
	Phase  func() view.Phase   // asked all the time
	Tell   func() view.Details // the same

	Agent *permit.Agent  // this router's side of permits; nil: there are none
	Out   func(out bool) // has clients sent away, or has them come again; with Agent

	Caches func() []hoptiller.CacheState // the slot caches as they are seen here; with Agent
	Aside  *drains.Caches                // has slot caches get nothing new; with Agent

	Sighted func(view.Sight) // told at once, and again and again, what any router saw of a slot cache, this one included; nil: nobody is

	Wrap func(*net.UDPConn) Conn // puts a Conn of the caller's round each socket; nil: the socket itself is used
}

// Conn is what datagrams are sent and received by. *net.UDPConn is one.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Peers is the view of one router and its socket.
type Peers struct {
	set    Settings
	addrs  []netip.AddrPort
	number map[netip.AddrPort]int
	begun  time.Time

	mu        sync.Mutex
	view      *view.View
	conn      Conn         // nil while the address is not free
	told      []view.Event // not logged yet
	sendFails uint64

	acting sync.Mutex // held before mu by whoever has this router go out or come back: one after the other
	out    bool       // this router is out by permit

	keeper   *notes.Keeper      // with Agent
	said     map[uint32]*saidOf // slot caches that were logged as drained
	driverAt time.Duration      // when a release's driver last spoke to this router
	keeps    int                // the router that keeps the release, as far as this one knows

	seen   *permit.Sight // what electors see, worked out a moment ago; nil: not asked for
	seenAt time.Duration

	sawMu sync.Mutex
	saw   map[uint32]view.SightState // of slot caches, the last of each, that the view was not told yet; nil: none
}

// MostRouters is how many numbers a datagram tells apart.
const MostRouters = 65535

// New checks the settings. The error says in one line why there can be no view.
func New(set Settings) (*Peers, error) {
	if len(set.Addrs) < 2 {
		return nil, errors.New("no other routers are told")
	}
	if len(set.Addrs) > MostRouters {
		return nil, fmt.Errorf("%d routers are too many", len(set.Addrs))
	}
	if set.Self < 0 || set.Self >= len(set.Addrs) {
		return nil, fmt.Errorf("this is router %d, and there are addresses of %d", set.Self, len(set.Addrs))
	}
	if _, err := netip.ParseAddrPort(set.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &Peers{set: set, number: map[netip.AddrPort]int{}, begun: time.Now(), said: map[uint32]*saidOf{}, keeps: -1}
	for i, text := range set.Addrs {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if other, twice := p.number[a]; twice && i != set.Self && other != set.Self {
			slog.Warn("two routers have one address", "addr", text, "routers", fmt.Sprintf("%d and %d", other, i))
		}
		p.addrs = append(p.addrs, a)
		p.number[a] = i
	}
	if set.Agent != nil {
		set.Agent.See = p.see
		set.Agent.Start(0)
		p.keeper = notes.NewKeeper(0, set.Agent)
	}
	p.view = view.New(view.Config{Self: set.Self, Of: len(set.Addrs), Start: p.begun, Seed: set.Seed, Now: 0})
	return p, nil
}

// now is the time since the start, by a clock that never steps.
func (p *Peers) now() time.Duration { return time.Since(p.begun) }

// again is how often an address that is taken is tried: by the process that this one replaces, for as long as that lives.
const again = 250 * time.Millisecond

// Run keeps the view until ctx ends, and tells the others then that this router does.
func (p *Peers) Run(ctx context.Context) error {
	conn, err := p.open(ctx)
	if err != nil {
		return err
	}
	if conn == nil { // ended before the address was free
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.receive(conn) })
	g.Go(func() error {
		p.tick(ctx)
		p.mu.Lock()
		p.view.Leave(p.now())
		p.flush()
		p.mu.Unlock()
		return conn.Close()
	})
	return g.Wait()
}

func (p *Peers) open(ctx context.Context) (Conn, error) {
	addr, _ := netip.ParseAddrPort(p.set.Listen)
	for waits := false; ; {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err == nil {
			var conn Conn = socket
			if p.set.Wrap != nil {
				conn = p.set.Wrap(socket)
			}
			p.mu.Lock()
			p.conn = conn
			p.mu.Unlock()
			slog.Info("listening for routers", "addr", conn.LocalAddr(), "self", p.set.Self, "of", len(p.set.Addrs))
			return conn, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			// A router that can't hear others serves its clients all the same.
			slog.Warn("fleet view off", "why", err)
			return nil, nil
		}
		if !waits {
			slog.Info("peer_listen is taken, waiting for it", "addr", p.set.Listen)
			waits = true
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(again):
		}
	}
}

func (p *Peers) receive(conn Conn) error {
	b := make([]byte, 2*view.MostBytes) // a longer one than is allowed is seen to be that
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // nothing that the sender of one datagram does may end the view, nor keep this from waiting
			time.Sleep(5 * time.Millisecond)
			continue
		}
		who, known := p.number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			who = -1
		}
		p.take(who, b[:n])
	}
}

// take takes a datagram from the address of a router; negative: from another one.
func (p *Peers) take(from int, b []byte) {
	p.mu.Lock()
	switch {
	case len(b) > 0 && b[0] == permit.Version && p.set.Agent != nil:
		p.set.Agent.Receive(p.now(), from, b)
	case len(b) > 0 && b[0] == notes.Version && p.set.Agent != nil:
		p.keeper.Receive(p.now(), from, b)
		p.keeper.Store.Tick(p.now()) // what is new is passed on at once
	default:
		p.view.Receive(p.now(), from, b)
	}
	p.flush()
	sights := p.view.NewSights()
	p.mu.Unlock()
	p.tellSights(sights)
}

// tick lets the view do what is due, until ctx ends.
func (p *Peers) tick(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		phase, details := p.set.Phase(), p.set.Tell()
		p.sawMu.Lock()
		saw := p.saw
		p.saw = nil
		p.sawMu.Unlock()
		p.acting.Lock()
		p.mu.Lock()
		p.view.SetPhase(phase)
		p.view.Tell(details)
		p.view.Tick(p.now())
		for cache, state := range saw {
			p.view.Saw(view.Sight{Cache: cache, State: state})
		}
		p.view.NewSights()
		sights := p.view.Sights(p.now())
		change := p.turn()
		drains := p.drains()
		p.flush()
		due, events := p.view.Next(), p.told
		p.told = nil
		p.mu.Unlock()
		p.act(change)
		if p.set.Aside != nil {
			p.set.Aside.Set(p.now(), drains)
		}
		p.acting.Unlock()
		p.tellSights(sights)
		tell(events)
		timer.Reset(max(time.Millisecond, due-p.now()))
	}
}

// tellSights tells this router's module of sightings.
func (p *Peers) tellSights(sights []view.Sight) {
	if p.set.Sighted == nil {
		return
	}
	for _, s := range sights {
		p.set.Sighted(s)
	}
}

// flush sends what the view wants sent; p.mu is held. No datagram is waited for: one that can't be sent is lost.
func (p *Peers) flush() {
	for _, d := range p.view.Out() {
		if p.conn == nil {
			continue
		}
		if _, err := p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To]); err != nil {
			p.sendFails++
		}
	}
	p.told = append(p.told, p.view.Events()...)
	if p.set.Agent == nil {
		return
	}
	for all := p.set.Agent.Out(); len(all) > 0; all = p.set.Agent.Out() {
		for _, d := range all {
			if d.To == p.set.Self {
				p.set.Agent.Receive(p.now(), d.To, d.Body)
			} else if p.conn != nil {
				p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To])
			}
		}
	}
	for _, d := range p.keeper.Out() {
		if p.conn != nil {
			p.conn.WriteToUDPAddrPort(d.Body, p.addrs[d.To])
		}
	}
}

// tell logs what has changed. When half of the fleet dies at once, that is one line for all.
func tell(events []view.Event) {
	const single = 4
	counts := map[string]int{}
	said := 0
	for _, e := range events {
		what := kindOf(e)
		if what == "" {
			continue
		}
		if counts[what]++; counts[what] <= single {
			slog.Info(what, "router", e.Who, "phase", e.After.Phase, "start", time.UnixMilli(e.After.Inc.Start).UTC().Format(time.RFC3339Nano))
			said++
		}
	}
	for what, n := range counts {
		if n > single {
			slog.Info("and more at once", "what", what, "all", n)
		}
	}
}

// kindOf names an event for the log; empty: it is none for it.
func kindOf(e view.Event) string {
	a, b := &e.Before, &e.After
	switch {
	case b.State == view.Dead && a.State != view.Dead && a.Known():
		return "router lost"
	case b.State == view.Left && a.State != view.Left:
		return "router left"
	case b.State != view.Alive:
		return ""
	case !a.Known():
		return "router joined"
	case a.Inc.Start != b.Inc.Start:
		return "router restarted"
	case !a.Here():
		return "router back"
	case a.Phase != b.Phase:
		return "router changed phase"
	}
	return ""
}
