package model

import (
	"slices"
	"time"
)

// Watcher sees what really happens. It is for whoever judges the day; nothing
// of it may reach a router.
type Watcher interface {
	Ended(op *Op)                    // a client has its answer or has given up for good
	Fetched(call *Call)              // a call has come to the origin
	Ran(call *Call)                  // a write was carried out
	FellOver(f *Fall)                // a cold cache was pushed over
	OriginStopped(cold, due float64) // what part of its load were misses at cold caches, and how many for each due there
	Listed(m Member)                 // the directory knows something new
	Fault(text string)               // something goes wrong, or mends
}

// Steward starts and ends routers as the day has it.
type Steward interface {
	Kill(router int)  // at once: all that it held is lost
	Stop(router int)  // as SIGTERM does
	Start(router int) // from nothing
}

// World is a day as it goes on.
type World struct {
	Queue
	Caches    []*Cache // by index less one: the origin is server 0
	Origin    *Origin
	Directory *Directory
	Rate      float64 // mean requests a second

	Handshakes int     // connections that routers opened
	Waste      float64 // work done for nobody, in standard-core seconds

	day                  *Day
	hosts                []*host
	occupants            map[int]*host // who is, or was last, at each address of a cache
	tier                 Tier
	steward              Steward
	watcher              Watcher
	clients              *clients
	zipf                 *Zipf
	netRand              interface{ Float64() float64 }
	meanWork, meanWeight float64
	cuts                 []cut
	lossy                map[int]bool
	lossPart             float64
	peersLost            bool
}

// New returns the world at the start of a day, which must have passed Check.
func New(day *Day, tier Tier, steward Steward, watcher Watcher) *World {
	w := &World{day: day, tier: tier, steward: steward, watcher: watcher, lossy: map[int]bool{}, occupants: map[int]*host{},
		netRand: Stream(day.Seed, "net", 0)}
	w.zipf = NewZipf(day.Load.Keys*day.Fleet.Caches, day.Load.Zipf, day.Load.Offset)
	kinds := w.kinds(day.Fleet.Caches)
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
		level = 0.5 // nobody asks, but the origin is made for some load
	}
	w.Rate = level * capacity / max(w.meanWork, 1e-6) * all
	w.meanWork /= max(reads, 1e-9)
	w.Origin = w.newOrigin(0)
	w.hosts[0] = &w.Origin.host
	w.Directory = w.newDirectory()
	w.clients = w.newClients()

	w.Origin.up, w.Origin.tireless = true, day.Warm > 0
	w.After(day.Warm.D(), func() { w.Origin.tireless = false })
	w.Directory.know(Member{ID: 0, Index: 0, Kind: len(day.Kinds), Phase: Ready, Weight: 1, Origin: true})
	for _, c := range w.Caches {
		c.start(true)
		w.Directory.know(w.member(c))
	}
	for i := range day.Faults {
		w.schedule(i, &day.Faults[i])
	}
	w.clients.drift(Stream(day.Seed, "drift", 0))
	if day.Load.Level > 0 {
		w.clients.run(day.Warm.D() + day.Length.D())
	}
	return w
}

// Member is what the directory has of a server; one that was never listed is gone.
func (w *World) Member(index int) Member { return w.Directory.entry(index) }

// Servers is how many servers there have been: the origin, which is 0, and all slot caches.
func (w *World) Servers() int { return len(w.hosts) }

// Occupant is the server that runs, or ran last, at an address.
func (w *World) Occupant(addr int) int {
	if addr == 0 {
		return 0
	}
	return w.occupants[addr].index
}

// Day is what the world was made from.
func (w *World) Day() *Day { return w.day }

// End is when the last request comes. What is open then goes on.
func (w *World) End() time.Duration { return w.day.Warm.D() + w.day.Length.D() }

// kinds deals the kinds of machine out over n caches, in proportion to their shares.
func (w *World) kinds(n int) []int {
	dealt, given, all := make([]int, n), make([]float64, len(w.day.Kinds)), 0.0
	for _, k := range w.day.Kinds {
		all += k.Share
	}
	for i := range dealt {
		best := 0
		for k := range w.day.Kinds {
			owed := func(k int) float64 { return w.day.Kinds[k].Share/all*float64(i+1) - given[k] }
			if owed(k) > owed(best) {
				best = k
			}
		}
		dealt[i] = best
		given[best]++
	}
	return dealt
}

// id makes a server's id, which tells nothing of the server.
func (w *World) id(index int) uint32 {
	id := uint32(Stream(w.day.Seed, "id", index).Uint64())
	taken := func(m Member) bool { return m.ID == id }
	for id = max(id, 1); slices.ContainsFunc(w.Directory.list, taken); id++ { // two of thousands may fall together
	}
	return id
}

// member is the list entry of a cache that runs.
func (w *World) member(c *Cache) Member {
	m := Member{Index: c.index, Addr: c.Addr, Zone: c.zone, Cell: c.index / 4, Phase: Ready,
		Weight: c.weight()}
	for k := range w.day.Kinds {
		if c.Kind == &w.day.Kinds[k] {
			m.Kind = k
		}
	}
	if m.ID = w.Directory.entry(c.index).ID; m.ID == 0 {
		m.ID = w.id(c.index)
	}
	if c.Begun {
		m.Started = c.Started
	}
	return m
}
