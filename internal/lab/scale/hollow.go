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

// lingerTime is how long the program still serves clients after it was asked to end.
const lingerTime = 700 * time.Millisecond

// hollow is a router without clients that shares this process with other routers.
type hollow struct {
	number  int
	config  *config.Config
	network *network

	current *incarnation // nil while the router is down
	sink    *sink        // listens at the router's address while the router is down; nil before its first start
}

// incarnation is a hollow router from one start to its end.
type incarnation struct {
	peers    *peers.Peers
	stopping atomic.Bool
	draining atomic.Bool
	silent   atomic.Bool // set when the router crashes: it sends nothing more
	cancel   context.CancelFunc
	group    *errgroup.Group
}

// noopCaller is a caller that makes no calls. A hollow router has no clients, so it never has a request to send.
type noopCaller struct{}

// Call implements relay.Caller.
func (noopCaller) Call(context.Context, context.Context, uint32, *relay.Request) relay.Result {
	return relay.Result{Status: hoptiller.Reset}
}

// Update implements relay.Caller.
func (noopCaller) Update(relay.Server, bool) {}

// Forget implements relay.Caller.
func (noopCaller) Forget(uint32) bool { return true }

// CloseIdle implements relay.Caller.
func (noopCaller) CloseIdle(uint32) {}

// start begins an incarnation with the same parts as the program's serve command, except those that serve clients.
func (h *hollow) start(context.Context) error {
	h.closeSink()
	c := h.config
	inc := &incarnation{}
	module := relay.New(c.Settings, c.Seed, noopCaller{}, noopCaller{})
	listed := drains.New(module)
	agent := &permit.Agent{Self: h.number, RouterCount: len(c.Peers), Zone: c.Settings.Zone, Random: rand.Uint64}
	var err error
	inc.peers, err = peers.New(peers.Settings{Self: h.number, Listen: c.PeerListen, Addrs: c.Peers, Seed: rand.Uint64(),
		Phase: inc.phase, Details: func() view.Details { return details(c) }, Agent: agent, SetOutOfService: inc.draining.Store,
		Caches: module.Caches, Drains: listed,
		WrapConn: func(socket *net.UDPConn) peers.Conn {
			return h.network.wrapSocket(h.number, c.Seed, &inc.silent, socket)
		},
	})
	if err != nil {
		return err
	}
	inc.peers.SetBounds(peers.Bounds{Fleet: permit.Bound{Number: 1}, Caches: permit.Bound{Number: 1}})
	mapping := &discovery.Names{Zones: c.Zones, Kinds: c.Kinds, OriginKind: c.Settings.OriginKind}
	client := discovery.NewClient(&discovery.Registry{Addr: c.Discovery, Timeouts: discovery.PlatformTimeouts}, mapping, listed, c.Known)
	var ctx context.Context
	ctx, inc.cancel = context.WithCancel(context.Background())
	inc.group, ctx = errgroup.WithContext(ctx)
	inc.group.Go(func() error { return module.Run(ctx, client) })
	inc.group.Go(func() error { return client.Run(ctx) })
	inc.group.Go(func() error { return inc.peers.Run(ctx) })
	h.current = inc
	return nil
}

// details returns what the router announces about itself.
func details(c *config.Config) view.Details {
	return view.Details{SettingsHash: c.Digest, Zone: uint8(c.Settings.Zone + 1)}
}

// phase returns the phase that the router announces. A hollow router has phases although it has no clients.
func (inc *incarnation) phase() view.Phase {
	switch {
	case inc.stopping.Load():
		return view.Stopping
	case inc.draining.Load():
		return view.Draining
	}
	return view.Serving
}

// crash ends the incarnation at once, without any message to the others.
func (h *hollow) crash() error {
	if h.current == nil {
		return nil
	}
	inc := h.current
	h.current = nil
	inc.silent.Store(true)
	return h.shutDown(inc)
}

// shutDown ends the goroutines of an incarnation and opens a sink at its address.
func (h *hollow) shutDown(inc *incarnation) error {
	inc.cancel()
	if err := inc.group.Wait(); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(h.config.PeerListen)
	if err != nil {
		return err
	}
	h.sink, err = h.network.openSink(h.number, addr)
	return err
}

func (h *hollow) closeSink() {
	if h.sink != nil {
		h.sink.close()
		h.sink = nil
	}
}

// leave ends the incarnation as SIGTERM ends a process without clients.
func (h *hollow) leave() error {
	inc := h.current
	h.current = nil
	inc.stopping.Store(true)
	time.Sleep(lingerTime)
	return h.shutDown(inc)
}

// drain requests a permit to be out of service, or makes the router serve again if on is false.
func (h *hollow) drain(on bool) error {
	if on {
		h.current.peers.GoOutOfService()
	} else {
		h.current.peers.ReturnToService()
	}
	return nil
}

// sum returns the checksum of the router's view.
func (h *hollow) sum() uint32 { return h.current.peers.Checksum() }

// isRunning reports whether the router is up.
func (h *hollow) isRunning() bool { return h.current != nil }

// stop ends the router for good.
func (h *hollow) stop() {
	h.crash()
	h.closeSink()
}
