package scale

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/discovery"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/relay"
)

// lingerTime is how long the program serves clients after it was asked to end.
const lingerTime = 700 * time.Millisecond

// hollow is a router without clients that shares this process with others.
type hollow struct {
	number  int
	config  *config.Config
	network *network

	life *life // nil while it is down
	sink *sink // has its address while it is down, after its first life
}

// life is one life of a hollow router, from its start to its end.
type life struct {
	peers    *peers.Peers
	stopping atomic.Bool
	draining atomic.Bool
	silent   atomic.Bool
	cancel   context.CancelFunc
	group    *errgroup.Group
}

// noCaller makes no calls: a hollow router has no clients, so that nothing is ever to be called.
type noCaller struct{}

// Call implements relay.Caller.
func (noCaller) Call(context.Context, context.Context, uint32, *relay.Request) relay.Result {
	return relay.Result{Status: hoptiller.Reset}
}

// Update implements relay.Caller.
func (noCaller) Update(relay.Server, bool) {}

// Forget implements relay.Caller.
func (noCaller) Forget(uint32) bool { return true }

// CloseIdle implements relay.Caller.
func (noCaller) CloseIdle(uint32) {}

// start begins a life. It puts the parts together as the program's serve command does, without all that is for clients.
func (h *hollow) start(context.Context) error {
	h.closeSink()
	c := h.config
	l := &life{}
	module := relay.New(c.Settings, c.Seed, noCaller{}, noCaller{})
	listed := drains.New(module)
	agent := &permit.Agent{Self: h.number, Of: len(c.Peers), Zone: c.Settings.Zone, Chance: rand.Uint64}
	var err error
	l.peers, err = peers.New(peers.Settings{Self: h.number, Listen: c.PeerListen, Addrs: c.Peers, Seed: rand.Uint64(),
		Phase: l.phase, Tell: func() view.Details { return details(c) }, Agent: agent, Out: l.draining.Store,
		Caches: module.Caches, Aside: listed,
		Wrap: func(socket *net.UDPConn) peers.Conn { return h.network.attach(h.number, c.Seed, &l.silent, socket) },
	})
	if err != nil {
		return err
	}
	l.peers.Bound(peers.Bounds{Fleet: permit.Bound{Number: 1}, Caches: permit.Bound{Number: 1}})
	names := &discovery.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	client := discovery.NewClient(&discovery.Registry{Addr: c.Discovery, Times: discovery.PlatformTimes}, names, listed, c.Known)
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	l.group, ctx = errgroup.WithContext(ctx)
	l.group.Go(func() error { return module.Run(ctx, client) })
	l.group.Go(func() error { return client.Run(ctx) })
	l.group.Go(func() error { return l.peers.Run(ctx) })
	h.life = l
	return nil
}

// details are what the router tells of itself.
func details(c *config.Config) view.Details {
	return view.Details{Settings: c.Digest, Zone: uint8(c.Settings.Zone + 1)}
}

// phase is what the router does for the clients that it hasn't.
func (l *life) phase() view.Phase {
	switch {
	case l.stopping.Load():
		return view.Stopping
	case l.draining.Load():
		return view.Draining
	}
	return view.Serving
}

// crash ends the life at once, and the others hear nothing of it.
func (h *hollow) crash() error {
	if h.life == nil {
		return nil
	}
	l := h.life
	h.life = nil
	l.silent.Store(true)
	return h.bury(l)
}

// bury ends what a life still runs, and takes its address.
func (h *hollow) bury(l *life) error {
	l.cancel()
	if err := l.group.Wait(); err != nil {
		return err
	}
	home, err := netip.ParseAddrPort(h.config.PeerListen)
	if err != nil {
		return err
	}
	h.sink, err = h.network.openSink(h.number, home)
	return err
}

func (h *hollow) closeSink() {
	if h.sink != nil {
		h.sink.close()
		h.sink = nil
	}
}

// leave ends the life as SIGTERM ends a process without clients.
func (h *hollow) leave() error {
	l := h.life
	h.life = nil
	l.stopping.Store(true)
	time.Sleep(lingerTime)
	return h.bury(l)
}

// drain asks the fleet that this router may be out, or has it serve again.
func (h *hollow) drain(on bool) error {
	if on {
		h.life.peers.GoOut()
	} else {
		h.life.peers.ComeBack()
	}
	return nil
}

// sum is that of the router's view.
func (h *hollow) sum() uint32 { return h.life.peers.Sum() }

// runs tells whether it is up.
func (h *hollow) runs() bool { return h.life != nil }

// end ends the life, if there is one, for good.
func (h *hollow) end() {
	h.crash()
	h.closeSink()
}
