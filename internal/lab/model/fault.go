package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"hoptiller/internal/unit"
)

// Fault is something that goes wrong, or is done, in a day. What Part, Size and
// Count mean hangs on the kind.
type Fault struct {
	Kind  string        `toml:"kind"`
	At    unit.Duration `toml:"at"` // after the warm-up
	For   unit.Duration `toml:"for"`
	Part  float64       `toml:"part"`  // of the caches, one at the least
	Size  float64       `toml:"size"`  // how bad
	Count int           `toml:"count"` // of caches, keys or routers
	Gap   unit.Duration `toml:"gap"`   // between one and the next
	Zone  int           `toml:"zone"`
}

// kinds are the kinds of fault. Each begins, and returns what ends it, if anything does.
var kinds = map[string]struct {
	about string
	begin func(w *World, f *Fault, r *rand.Rand) (end func())
}{
	"crash":          {"part of the caches die and come back cold after for", crash},
	"vanish":         {"part of the caches' machines fall silent and come back cold after for", vanish},
	"errors":         {"part of the caches fail a size of their calls at once", failing},
	"slow":           {"part of the caches lose a size of their speed to a neighbour", slow},
	"hang":           {"part of the caches take calls and answer none, and then go on", hang},
	"void":           {"a size of all kept copies goes void at once", void},
	"hot_key":        {"count keys draw a size of all traffic", hotKey},
	"silent":         {"a size of all open connections falls silent each second", silentConns},
	"resets":         {"size connections are reset a second", resets},
	"lossy":          {"a size of the segments of every router is lost", lossy},
	"add":            {"count caches join, one every gap", add},
	"drain":          {"count caches leave, one every gap, told ahead", drain},
	"churn":          {"one cache after another is replaced by a new one, every gap, some at old addresses", churn},
	"directory":      {"the directory is down", directoryDown},
	"router_kill":    {"count routers are killed and come back after for", routerKill},
	"router_restart": {"count routers are stopped and started anew, one every gap", routerRestart},
	"peers":          {"messages between routers are lost", peers},
	"zone_cut":       {"a zone is cut off from the others", zoneCut},
	"zone_loss":      {"all caches of a zone die and come back cold after for", zoneLoss},
	"origin_stop":    {"the origin stops", originStop},
	"origin_slow":    {"the origin takes size times as long", originSlow},
	"origin_errors":  {"the origin fails a size of its calls", originErrors},
}

// FaultKinds lists the kinds of fault, each with what it does.
func FaultKinds() (list [][2]string) {
	for name, k := range kinds {
		list = append(list, [2]string{name, k.about})
	}
	sort.Slice(list, func(i, j int) bool { return list[i][0] < list[j][0] })
	return list
}

func (f *Fault) check(d *Day) error {
	if _, ok := kinds[f.Kind]; !ok {
		var names []string
		for _, k := range FaultKinds() {
			names = append(names, k[0])
		}
		return fmt.Errorf("kind is %q: one of %s is meant", f.Kind, strings.Join(names, ", "))
	}
	switch {
	case f.Part < 0 || f.Part > 1:
		return fmt.Errorf("part is %g: 0 to 1 is possible", f.Part)
	case f.Size < 0 || f.Size > 1 && f.Kind != "resets" && f.Kind != "origin_slow":
		return fmt.Errorf("size is %g: 0 to 1 is possible", f.Size)
	case f.Kind == "slow" && f.Size >= 1:
		return fmt.Errorf("size is %g: a cache that has lost all its speed has vanished", f.Size)
	case f.Kind == "origin_slow" && f.Size < 1:
		return fmt.Errorf("size is %g: 1 or more is possible", f.Size)
	case f.Count < 0 || f.Count > 10000:
		return fmt.Errorf("count is %d: 0 to 10000 is possible", f.Count)
	case f.Zone < 0 || f.Zone >= d.Zones:
		return fmt.Errorf("zone is %d: the day has %d, counted from 0", f.Zone, d.Zones)
	case f.Kind == "churn" && f.Gap < unit.Duration(100*time.Millisecond):
		return fmt.Errorf("gap is %v: 100 ms or more is possible", f.Gap)
	case (f.Kind == "drain") && f.Count >= d.Fleet.Caches:
		return fmt.Errorf("count is %d: one of the %d caches must stay", f.Count, d.Fleet.Caches)
	}
	return nil
}

func (w *World) schedule(i int, f *Fault) {
	w.At(w.day.Warm.D()+f.At.D(), func() {
		w.watcher.Fault(f.Kind)
		end := kinds[f.Kind].begin(w, f, Stream(w.day.Seed, "fault", i))
		if end != nil {
			w.After(f.For.D(), func() {
				w.watcher.Fault(f.Kind + " ends")
				end()
			})
		}
	})
}

// some draws a part of the caches that run, one at the least.
func (w *World) some(r *rand.Rand, part float64) []*Cache {
	var up []*Cache
	for _, c := range w.Caches {
		if c.up && !c.mute && w.Directory.entry(c.index).Phase == Ready {
			up = append(up, c)
		}
	}
	r.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	n := max(1, int(math.Round(part*float64(len(up)))))
	return up[:min(n, len(up))]
}

// die ends a cache's process. The directory notices late.
func (w *World) die(c *Cache) {
	c.halt()
	started := c.Started
	w.After(w.Directory.missed(), func() {
		if c.Started == started && !c.up {
			w.unlist(c)
		}
	})
}

func (w *World) unlist(c *Cache) {
	m := w.Directory.entry(c.index)
	m.Phase = Gone
	w.Directory.know(m)
}

// back starts a cache's process anew, unless it has been pushed over or has left meanwhile.
func (w *World) back(c *Cache) {
	if c.fallen || c.up && !c.mute {
		return
	}
	c.start(false)
	w.list(c)
}

func (w *World) list(c *Cache) {
	started := c.Started
	w.After(w.Directory.noticed(), func() {
		if c.up && c.Started == started {
			w.Directory.know(w.member(c))
		}
	})
}

func crash(w *World, f *Fault, r *rand.Rand) func() {
	return onSome(w, f.Part, r, func(c *Cache, dead bool) {
		if dead {
			w.die(c)
		} else {
			w.back(c)
		}
	})
}

func vanish(w *World, f *Fault, r *rand.Rand) func() {
	hit := w.some(r, f.Part)
	for _, c := range hit {
		c.mute = true
		started := c.Started
		w.After(w.Directory.missed(), func() {
			if c.Started == started && c.mute {
				w.unlist(c)
			}
		})
	}
	return func() {
		for _, c := range hit {
			c.mute = false
			c.halt()
			w.back(c)
		}
	}
}

// onSome sets something at part of the caches, and takes it back when the fault ends.
func onSome(w *World, part float64, r *rand.Rand, set func(c *Cache, on bool)) (end func()) {
	hit := w.some(r, part)
	for _, c := range hit {
		set(c, true)
	}
	return func() {
		for _, c := range hit {
			set(c, false)
		}
	}
}

func failing(w *World, f *Fault, r *rand.Rand) func() {
	return onSome(w, f.Part, r, func(c *Cache, on bool) { c.errors = when(on, f.Size) })
}

func hang(w *World, f *Fault, r *rand.Rand) func() {
	return onSome(w, f.Part, r, func(c *Cache, on bool) { c.hang(on) })
}

func void(w *World, f *Fault, r *rand.Rand) func() {
	for _, c := range w.Caches {
		for _, key := range c.store.keys() {
			if r.Float64() < f.Size {
				c.store.void(key)
			}
		}
	}
	return nil
}

func slow(w *World, f *Fault, r *rand.Rand) func() {
	return onSome(w, f.Part, r, func(c *Cache, on bool) { c.slowed = when(on, f.Size) })
}

func when(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

func hotKey(w *World, f *Fault, r *rand.Rand) func() {
	c := w.clients
	c.hotPart = f.Size
	for range max(1, f.Count) {
		c.hot = append(c.hot, c.ranks[r.IntN(len(c.ranks))])
	}
	return func() { c.hot, c.hotPart = nil, 0 }
}

// each does something over and over until the fault ends.
func each(w *World, gap time.Duration, do func()) (end func()) {
	over := false
	var next func()
	next = func() {
		if !over {
			do()
			w.After(gap, next)
		}
	}
	next()
	return func() { over = true }
}

// conns are all open connections to caches, in a fixed order.
func (w *World) conns() (list []*Conn) {
	for _, c := range w.Caches {
		list = append(list, c.conns...)
	}
	return list
}

func silentConns(w *World, f *Fault, r *rand.Rand) func() {
	return each(w, 100*time.Millisecond, func() {
		for _, c := range w.conns() {
			if r.Float64() < f.Size/10 {
				c.Silence()
			}
		}
	})
}

func resets(w *World, f *Fault, r *rand.Rand) func() {
	return each(w, 100*time.Millisecond, func() {
		list := w.conns()
		for range int(f.Size/10 + r.Float64()) {
			if len(list) > 0 {
				list[r.IntN(len(list))].Break()
			}
		}
	})
}

func lossy(w *World, f *Fault, _ *rand.Rand) func() {
	w.lossPart = f.Size
	for i := range w.day.Routers {
		w.lossy[i] = true
	}
	return func() { clear(w.lossy) }
}

// join adds one cache that has never been, of a kind drawn by chance. With reuse it takes over the address of
// one that is gone for good, if there is one.
func (w *World) join(r *rand.Rand, reuse bool) {
	x, k := r.Float64(), 0
	for ; k < len(w.day.Kinds)-1 && x >= w.day.Kinds[k].Share; k++ {
		x -= w.day.Kinds[k].Share
	}
	c := w.newCache(len(w.Caches)+1, &w.day.Kinds[k])
	w.Caches, w.hosts = append(w.Caches, c), append(w.hosts, &c.host)
	for _, old := range w.Caches {
		if reuse && !old.up && old.fallen && w.occupants[old.Addr] == &old.host {
			c.Addr = old.Addr
			break
		}
	}
	c.start(false)
	w.list(c)
}

func add(w *World, f *Fault, r *rand.Rand) func() {
	for i := range max(1, f.Count) {
		w.After(time.Duration(i)*f.Gap.D(), func() { w.join(r, false) })
	}
	return nil
}

// linger is how long a cache that was told to leave goes on.
const linger = 10 * time.Second

// leave has a cache drain, and end some time after that was listed.
func (w *World) leave(c *Cache) {
	started := c.Started
	w.After(w.Directory.noticed(), func() {
		if !c.up || c.Started != started {
			return
		}
		m := w.Directory.entry(c.index)
		m.Phase = Draining
		w.Directory.know(m)
		w.After(linger, func() {
			if c.up && c.Started == started {
				c.halt()
				c.fallen = true // for good
				w.After(w.Directory.noticed(), func() { w.unlist(c) })
			}
		})
	})
}

func drain(w *World, f *Fault, r *rand.Rand) func() {
	var chosen []*Cache
	for i := range max(1, f.Count) {
		w.After(time.Duration(i)*f.Gap.D(), func() {
			list := slices.DeleteFunc(w.some(r, 1), func(c *Cache) bool { return slices.Contains(chosen, c) })
			if len(list) > 1 {
				chosen = append(chosen, list[0])
				w.leave(list[0])
			}
		})
	}
	return nil
}

func churn(w *World, f *Fault, r *rand.Rand) func() {
	return each(w, f.Gap.D(), func() {
		if list := w.some(r, 0); len(list) > 0 {
			w.join(r, true)
			w.leave(list[0])
		}
	})
}

func directoryDown(w *World, _ *Fault, _ *rand.Rand) func() {
	w.Directory.outage(true)
	return func() { w.Directory.outage(false) }
}

// downRouter has the front notice late that a router has died.
func (w *World) downRouter(i int, at time.Duration) { w.clients.believe[i] = at }

func routerKill(w *World, f *Fault, r *rand.Rand) func() {
	hit := r.Perm(w.day.Routers)[:min(max(1, f.Count), w.day.Routers)]
	for _, i := range hit {
		w.steward.Kill(i)
		w.downRouter(i, w.Now()+w.day.Clients.Notice.D())
	}
	return func() {
		for _, i := range hit {
			w.steward.Start(i)
			w.downRouter(i, 0)
		}
	}
}

// A planned restart: the front is told, what the router holds it may finish, and then it is gone.
func routerRestart(w *World, f *Fault, r *rand.Rand) func() {
	const notice, killed, back = 300 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond
	for n, i := range r.Perm(w.day.Routers)[:min(max(1, f.Count), w.day.Routers)] {
		w.After(time.Duration(n)*f.Gap.D(), func() {
			w.steward.Stop(i)
			w.downRouter(i, w.Now()+notice)
			w.After(killed, func() { w.steward.Kill(i) })
			w.After(back, func() {
				w.steward.Start(i)
				w.downRouter(i, 0)
			})
		})
	}
	return nil
}

func peers(w *World, _ *Fault, _ *rand.Rand) func() {
	w.peersLost = true
	return func() { w.peersLost = false }
}

func zoneCut(w *World, f *Fault, _ *rand.Rand) func() {
	for z := range w.day.Zones {
		if z != f.Zone {
			w.cuts = append(w.cuts, cut{f.Zone, z, w.Now() + f.For.D()})
		}
	}
	return func() { w.cuts = slices.DeleteFunc(w.cuts, func(c cut) bool { return c.until <= w.Now() }) }
}

func zoneLoss(w *World, f *Fault, _ *rand.Rand) func() {
	var hit []*Cache
	for _, c := range w.Caches {
		if c.zone == f.Zone && c.up {
			w.die(c)
			hit = append(hit, c)
		}
	}
	return func() {
		for _, c := range hit {
			w.back(c)
		}
	}
}

func originStop(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.halt(f.For.D())
	return nil
}

func originSlow(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.slow = f.Size
	return func() { w.Origin.slow = 1 }
}

func originErrors(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.errors = f.Size
	return func() { w.Origin.errors = 0 }
}
