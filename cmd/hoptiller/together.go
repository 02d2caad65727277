package main

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller"
	"hoptiller/internal/config"
	"hoptiller/internal/fleet/drains"
	"hoptiller/internal/fleet/peers"
	"hoptiller/internal/fleet/permit"
	"hoptiller/internal/fleet/view"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/metrics"
	"hoptiller/internal/plan"
	"hoptiller/internal/relay"
)

// fleet is this router among the others.
type fleet struct {
	peers  *peers.Peers // nil: the view is off
	phase  func() view.Phase
	counts *metrics.Counters
	config *config.Config
	relay  *relay.Relay

	at   time.Time // when requests were last counted
	seen int64
	rate float64
}

// rateTime is how long requests are counted for a figure of the rate.
const rateTime = 2 * time.Second

// newFleet opens the view where the settings and the operator's file, which goes before, have it on. What
// the platform forbids no file allows.
func newFleet(c *config.Config, stated plan.Fleet, counts *metrics.Counters, life *lifecycle.State, r *relay.Relay, caches *drains.Caches) *fleet {
	f := &fleet{counts: counts, config: c, relay: r, at: time.Now()}
	why := ""
	switch {
	case !c.MayTell:
		why = "the settings don't allow datagrams between routers"
	case c.PeerListen == "" || len(c.Peers) < 2:
		why = "no peers are told"
	case stated.View == "off":
		why = "the operator's file says so"
	case c.PeerFee > 0 && stated.View != "on":
		why = "the settings put a price on datagrams, which the view does not earn; fleet { view on } in the operator's file has it on"
	}
	if why == "" {
		p, err := peers.New(peers.Settings{Self: c.Settings.Self, Listen: c.PeerListen, Addrs: c.Peers, Seed: c.Seed,
			Phase: func() view.Phase { return f.phase() }, Tell: f.tell,
			Agent: &permit.Agent{Self: c.Settings.Self, Of: len(c.Peers), Zone: min(c.Settings.Zone, view.MostZone), Chance: rand.Uint64},
			Out: func(out bool) {
				if out {
					life.Tell(lifecycle.Drain)
				} else {
					life.Tell(lifecycle.Activate)
				}
			},
			Caches: r.Caches, Aside: caches,
			Sighted: func(s view.Sight) {
				r.Sighted(hoptiller.Sighting{Server: s.Cache, Up: s.State == view.SeenBack, Age: s.Age})
			}})
		if err == nil {
			f.peers = p
			f.adopt(stated)
			return f
		}
		why = err.Error()
	}
	slog.Info("fleet view off", "why", why)
	return f
}

// adopt takes the bounds of a file; without one a single router may be out, and a single slot cache.
func (f *fleet) adopt(stated plan.Fleet) {
	if f.peers != nil {
		f.peers.Bound(peers.Bounds{Fleet: bound(stated.Out, 1), Zone: bound(stated.OutZone, 0),
			Caches: bound(stated.Caches, 1), CacheZone: bound(stated.CachesZone, 0)})
	}
}

// bound is what a file states, or a number where it states nothing.
func bound(b plan.Bound, otherwise int) permit.Bound {
	if b == (plan.Bound{}) {
		return permit.Bound{Number: otherwise}
	}
	return permit.Bound{Number: b.Number, Part: b.Part}
}

// tell is what this router says of itself.
func (f *fleet) tell() view.Details {
	if now := time.Now(); now.Sub(f.at) >= rateTime {
		n := f.counts.AcceptedTotal()
		f.rate = float64(n-f.seen) / now.Sub(f.at).Seconds()
		f.at, f.seen = now, n
	}
	return view.Details{Version: build(), Settings: f.config.Digest, Rate: uint16(min(math.Round(f.rate), math.MaxUint16)),
		Zone: uint8(min(max(-1, f.config.Settings.Zone), view.MostZone) + 1)}
}

func (f *fleet) saw(cache uint32, up bool) {
	if f.peers == nil {
		return
	}
	f.relay.Sighted(hoptiller.Sighting{Server: cache, Up: up})
	if up {
		f.peers.Saw(cache, view.SeenBack)
	} else {
		f.peers.Saw(cache, view.SeenDown)
	}
}

// phase is where this router stands as others see it.
func phase(p lifecycle.Phase, ready bool) view.Phase {
	switch {
	case p.Stops():
		return view.Stopping
	case p == lifecycle.Draining:
		return view.Draining
	case !ready:
		return view.Starting
	}
	return view.Serving
}

// build names this program: the first eight digits of its revision, or, where that is not known, a hash of its version.
var build = sync.OnceValue(func() uint32 {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return 0
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 8 {
			if n, err := strconv.ParseUint(s.Value[:8], 16, 32); err == nil {
				return uint32(n)
			}
		}
	}
	return uint32(xxhash.Sum64String(info.Main.Version))
})
