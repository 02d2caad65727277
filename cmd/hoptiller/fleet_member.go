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

// fleetMember connects this router with the fleet view that it shares with the other routers.
type fleetMember struct {
	peers  *peers.Peers      // nil if the fleet view is off
	phase  func() view.Phase // returns the phase that this router announces
	counts *metrics.Counters
	config *config.Config
	relay  *relay.Relay

	countedAt       time.Time // when countedRequests was read
	countedRequests int64
	requestRate     float64
}

// rateInterval is the minimum time over which the request rate is measured.
const rateInterval = 2 * time.Second

// newFleetMember opens the fleet view if the settings and the operator's file turn it on. The file takes precedence over the
// price of datagrams, but it can't allow what the platform forbids.
func newFleetMember(c *config.Config, operatorFleet plan.Fleet, counts *metrics.Counters, phases *lifecycle.State,
	r *relay.Relay, caches *drains.Filter) *fleetMember {
	f := &fleetMember{counts: counts, config: c, relay: r, countedAt: time.Now()}
	reason := ""
	switch {
	case !c.PeerMessagesAllowed:
		reason = "the settings don't allow datagrams between routers"
	case c.PeerListen == "" || len(c.Peers) < 2:
		reason = "no peers are told"
	case operatorFleet.View == "off":
		reason = "the operator's file turns it off"
	case c.PeerPrice > 0 && operatorFleet.View != "on":
		reason = "the settings put a price on datagrams, which the view does not earn; fleet { view on } turns it on"
	}
	if reason == "" {
		p, err := peers.New(peers.Settings{Self: c.Settings.RouterIndex, Listen: c.PeerListen, Addrs: c.Peers, Seed: c.Seed,
			Phase: func() view.Phase { return f.phase() }, Details: f.details,
			Agent: &permit.Agent{Self: c.Settings.RouterIndex, RouterCount: len(c.Peers), Zone: min(c.Settings.Zone, view.MaxZone), Random: rand.Uint64},
			SetOutOfService: func(out bool) {
				if out {
					phases.Apply(lifecycle.Drain)
				} else {
					phases.Apply(lifecycle.Activate)
				}
			},
			Caches: r.Caches, Drains: caches,
			OnObservation: func(s view.Observation) {
				r.Observe(hoptiller.Observation{Server: s.CacheID, Up: s.State == view.ObservedUp, Age: s.Age})
			}})
		if err == nil {
			f.peers = p
			f.setBounds(operatorFleet)
			return f
		}
		reason = err.Error()
	}
	slog.Info("fleet view off", "why", reason)
	return f
}

// setBounds applies the bounds of an operator's file. By default one router and one slot cache may be out of service.
func (f *fleetMember) setBounds(operatorFleet plan.Fleet) {
	if f.peers != nil {
		f.peers.SetBounds(peers.Bounds{Fleet: boundOrDefault(operatorFleet.RoutersOut, 1), Zone: boundOrDefault(operatorFleet.RoutersOutPerZone, 0),
			Caches: boundOrDefault(operatorFleet.CachesOut, 1), CacheZone: boundOrDefault(operatorFleet.CachesOutPerZone, 0)})
	}
}

// boundOrDefault converts the bound that a file states, or returns a bound of defaultNumber if it states none.
func boundOrDefault(b plan.Bound, defaultNumber int) permit.Bound {
	if b == (plan.Bound{}) {
		return permit.Bound{Number: defaultNumber}
	}
	return permit.Bound{Number: b.Number, Fraction: b.Fraction}
}

// details returns what this router announces about itself. It measures the request rate, per second.
func (f *fleetMember) details() view.Details {
	if now := time.Now(); now.Sub(f.countedAt) >= rateInterval {
		n := f.counts.AcceptedTotal()
		f.requestRate = float64(n-f.countedRequests) / now.Sub(f.countedAt).Seconds()
		f.countedAt, f.countedRequests = now, n
	}
	return view.Details{VersionHash: programID(), SettingsHash: f.config.Digest,
		RequestRate: uint16(min(math.Round(f.requestRate), math.MaxUint16)),
		Zone:        uint8(min(max(-1, f.config.Settings.Zone), view.MaxZone) + 1)}
}

// observeCache passes on this router's own observation that a slot cache is up or down.
func (f *fleetMember) observeCache(cache uint32, up bool) {
	if f.peers == nil {
		return
	}
	f.relay.Observe(hoptiller.Observation{Server: cache, Up: up})
	if up {
		f.peers.Observe(cache, view.ObservedUp)
	} else {
		f.peers.Observe(cache, view.ObservedDown)
	}
}

// memberPhase returns the phase that this router announces to the others.
func memberPhase(p lifecycle.Phase, ready bool) view.Phase {
	switch {
	case p.IsEnding():
		return view.Stopping
	case p == lifecycle.Draining:
		return view.Draining
	case !ready:
		return view.Starting
	}
	return view.Serving
}

// programID identifies the build of this program: the first eight hexadecimal digits of its commit, or a hash of its version if
// the commit is not known, or 0 without build information.
var programID = sync.OnceValue(func() uint32 {
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
