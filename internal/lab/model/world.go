package model

import (
	"slices"
	"time"
)

// Observer sees what really happens. It is used to score the day; a router must not learn any of this.
type Observer interface {
	OperationEnded(op *Operation) // a client has its answer or will not try again
	OriginCalled(call *Call)      // the origin has received a call
	WriteExecuted(call *Call)     // the origin has executed a write
	CacheCollapsed(f *Collapse)   // a cold cache has collapsed
	// OriginStopped reports that the origin has stopped: the share of its load that misses at cold caches
	// caused, and the ratio of those misses to the number expected.
	OriginStopped(coldShare, ratio float64)
	Listed(m Member)          // discovery has changed an entry
	FaultChanged(text string) // a fault has started or ended
}

// RouterControl starts and stops routers when the day requires it.
type RouterControl interface {
	Kill(router int)  // at once: its state and its requests are lost
	Stop(router int)  // as SIGTERM does
	Start(router int) // with no state
}

// World is the state of a simulated day.
type World struct {
	Queue
	Caches    []*Cache // a cache's position is its server index less one: the origin is server 0
	Origin    *Origin
	Discovery *Discovery
	Rate      float64 // mean requests per second

	Handshakes int     // connections opened by routers
	WastedWork float64 // work whose result nobody waited for, in standard-core seconds

	day                  *Day
	hosts                []*host
	occupants            map[int]*host // by address: the cache that runs there, or ran there last
	routers              RouterTier
	routerControl        RouterControl
	observer             Observer
	clients              *clients
	zipf                 *Zipf
	netRandom            interface{ Float64() float64 }
	meanWork, meanWeight float64
	cuts                 []zoneCut
	lossyRouters         map[int]bool
	lossRate             float64
	dropPeerMessages     bool
	repetition           repetition
}

// New returns the world at the start of a day, which must have passed Validate.
func New(day *Day, routers RouterTier, routerControl RouterControl, observer Observer) *World {
	w := &World{day: day, routers: routers, routerControl: routerControl, observer: observer,
		lossyRouters: map[int]bool{}, occupants: map[int]*host{},
		netRandom: NewRandom(day.Seed, "net", 0)}
	w.zipf = NewZipf(day.Load.Keys*day.Fleet.Caches, day.Load.Zipf, day.Load.Offset)
	kinds := w.assignKinds(day.Fleet.Caches)
	capacity := 0.0
	w.hosts = append(w.hosts, nil)
	for i, k := range kinds {
		c := w.newCache(i+1, &day.Kinds[k])
		w.Caches, w.hosts = append(w.Caches, c), append(w.hosts, &c.host)
		capacity += float64(c.Cores) * c.Speed
		w.meanWeight += c.weight() / float64(len(kinds))
	}
	reads, all := 0.0, 0.0
	for _, c := range day.Classes {
		if all += c.Share; !c.Write {
			reads += c.Share
			w.meanWork += c.Share * c.Work.Seconds()
		}
	}
	level := day.Load.Level
	if level == 0 {
		level = 0.5 // no requests come, but the origin's capacity needs a load to be derived from
	}
	w.Rate = level * capacity / max(w.meanWork, 1e-6) * all
	w.meanWork /= max(reads, 1e-9)
	w.Origin = w.newOrigin(0)
	w.hosts[0] = &w.Origin.host
	w.Discovery = w.newDiscovery()
	w.clients = w.newClients()

	w.Origin.running, w.Origin.warmingUp = true, day.WarmUp > 0
	w.After(day.WarmUp.Std(), func() { w.Origin.warmingUp = false })
	w.Discovery.setMember(Member{ID: 0, ServerIndex: 0, Kind: len(day.Kinds), Phase: Ready, Weight: 1, Origin: true})
	for _, c := range w.Caches {
		c.start(true)
		w.Discovery.setMember(w.runningMember(c))
	}
	for i := range day.Faults {
		w.scheduleFault(i, &day.Faults[i])
	}
	w.clients.scheduleDrift(NewRandom(day.Seed, "drift", 0))
	if day.Load.Level > 0 {
		w.clients.scheduleArrival(day.WarmUp.Std() + day.Length.Std())
	}
	return w
}

// Member returns the list entry of a server. A server that was never listed has the phase Removed.
func (w *World) Member(index int) Member { return w.Discovery.member(index) }

// ServerCount returns how many servers there have been: the origin and all slot caches.
func (w *World) ServerCount() int { return len(w.hosts) }

// Occupant returns the index of the server that runs, or ran last, at an address.
func (w *World) Occupant(addr int) int {
	if addr == 0 {
		return 0
	}
	return w.occupants[addr].index
}

// Day returns the settings of the world.
func (w *World) Day() *Day { return w.day }

// End returns the time of the last new request. Open requests continue after it.
func (w *World) End() time.Duration { return w.day.WarmUp.Std() + w.day.Length.Std() }

// assignKinds assigns kinds of machine to n caches, in proportion to the shares of the kinds.
func (w *World) assignKinds(n int) []int {
	assigned, counts, total := make([]int, n), make([]float64, len(w.day.Kinds)), 0.0
	for _, k := range w.day.Kinds {
		total += k.Share
	}
	for i := range assigned {
		best := 0
		for k := range w.day.Kinds {
			deficit := func(k int) float64 { return w.day.Kinds[k].Share/total*float64(i+1) - counts[k] }
			if deficit(k) > deficit(best) {
				best = k
			}
		}
		assigned[i] = best
		counts[best]++
	}
	return assigned
}

// newID returns an unused random ID for a server, so that the ID reveals nothing about the server.
func (w *World) newID(index int) uint32 {
	id := uint32(NewRandom(w.day.Seed, "id", index).Uint64())
	inUse := func(m Member) bool { return m.ID == id }
	for id = max(id, 1); slices.ContainsFunc(w.Discovery.members, inUse); id++ { // among thousands, two IDs may collide
	}
	return id
}

// runningMember returns the list entry of a running cache.
func (w *World) runningMember(c *Cache) Member {
	m := Member{ServerIndex: c.index, Addr: c.Addr, Zone: c.zone, Cell: c.index / 4, Phase: Ready,
		Weight: c.weight()}
	for k := range w.day.Kinds {
		if c.Kind == &w.day.Kinds[k] {
			m.Kind = k
		}
	}
	if m.ID = w.Discovery.member(c.index).ID; m.ID == 0 {
		m.ID = w.newID(c.index)
	}
	if c.StartedInRun {
		m.Started = c.Started
	}
	return m
}
