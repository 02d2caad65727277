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

// Fault is a fault or a planned change during a day. The meaning of Share, Severity and Count depends on
// the kind.
type Fault struct {
	Kind     string        `toml:"kind"`
	At       unit.Duration `toml:"at"` // time after the warm-up
	Duration unit.Duration `toml:"for"`
	Share    float64       `toml:"part"`  // share of the caches, at least one cache
	Severity float64       `toml:"size"`  // a share, a factor or a rate per second
	Count    int           `toml:"count"` // number of caches, keys or routers
	Interval unit.Duration `toml:"gap"`   // time between two of them
	Zone     int           `toml:"zone"`
}

// faultKinds describes the kinds of fault. start starts the fault and returns a function that ends it, or nil
// if the fault needs no end.
var faultKinds = map[string]struct {
	description string
	start       func(w *World, f *Fault, r *rand.Rand) (end func())
}{
	"crash":          {"part of the caches die and come back cold after for", crashCaches},
	"vanish":         {"part of the caches' machines fall silent and come back cold after for", vanishCaches},
	"errors":         {"part of the caches fail a size of their calls at once", failCalls},
	"slow":           {"part of the caches lose a size of their speed to a neighbour", slowDown},
	"hang":           {"part of the caches take calls and answer none, and then go on", hangCaches},
	"void":           {"a size of all kept copies goes void at once", dropCopies},
	"hot_key":        {"count keys draw a size of all traffic", addHotKeys},
	"silent":         {"a size of all open connections falls silent each second", blockConns},
	"resets":         {"size connections are reset a second", resetConns},
	"lossy":          {"a size of the segments of every router is lost", loseSegments},
	"add":            {"count caches join, one every gap", addCaches},
	"drain":          {"count caches leave, one every gap, told ahead", drainCaches},
	"churn":          {"one cache after another is replaced by a new one, every gap, some at old addresses", replaceCaches},
	"directory":      {"the directory is down", stopDiscovery},
	"router_kill":    {"count routers are killed and come back after for", killRouters},
	"router_restart": {"count routers are stopped and started anew, one every gap", restartRouters},
	"peers":          {"messages between routers are lost", losePeerMessages},
	"zone_cut":       {"a zone is cut off from the others", cutZone},
	"zone_loss":      {"all caches of a zone die and come back cold after for", loseZone},
	"surplus":        {"a size of the answers come a second time, some milliseconds later", repeatAnswers},
	"surplus_held":   {"of the answers that come a second time, the network holds a size back for up to 40 ms", holdBackCopies},
	"origin_stop":    {"the origin stops", stopOrigin},
	"origin_slow":    {"the origin takes size times as long", slowOrigin},
	"origin_errors":  {"the origin fails a size of its calls", failOrigin},
}

// FaultKinds lists the name and description of each kind of fault, sorted by name.
func FaultKinds() (list [][2]string) {
	for name, k := range faultKinds {
		list = append(list, [2]string{name, k.description})
	}
	sort.Slice(list, func(i, j int) bool { return list[i][0] < list[j][0] })
	return list
}

func (f *Fault) validate(day *Day) error {
	if _, ok := faultKinds[f.Kind]; !ok {
		var names []string
		for _, k := range FaultKinds() {
			names = append(names, k[0])
		}
		return fmt.Errorf("kind is %q: must be one of %s", f.Kind, strings.Join(names, ", "))
	}
	switch {
	case f.Share < 0 || f.Share > 1:
		return fmt.Errorf("part is %g: 0 to 1 is possible", f.Share)
	case f.Severity < 0 || f.Severity > 1 && f.Kind != "resets" && f.Kind != "origin_slow":
		return fmt.Errorf("size is %g: 0 to 1 is possible", f.Severity)
	case f.Kind == "slow" && f.Severity >= 1:
		return fmt.Errorf("size is %g: must be under 1 for a slow cache", f.Severity)
	case f.Kind == "origin_slow" && f.Severity < 1:
		return fmt.Errorf("size is %g: must be at least 1", f.Severity)
	case f.Count < 0 || f.Count > 10000:
		return fmt.Errorf("count is %d: 0 to 10000 is possible", f.Count)
	case f.Zone < 0 || f.Zone >= day.Zones:
		return fmt.Errorf("zone is %d: the day has %d, counted from 0", f.Zone, day.Zones)
	case f.Kind == "churn" && f.Interval < unit.Duration(100*time.Millisecond):
		return fmt.Errorf("gap is %v: must be at least 100 ms", f.Interval)
	case (f.Kind == "drain") && f.Count >= day.Fleet.Caches:
		return fmt.Errorf("count is %d: one of the %d caches must stay", f.Count, day.Fleet.Caches)
	}
	return nil
}

func (w *World) scheduleFault(i int, f *Fault) {
	w.At(w.day.WarmUp.Std()+f.At.Std(), func() {
		w.observer.FaultChanged(f.Kind)
		end := faultKinds[f.Kind].start(w, f, NewRandom(w.day.Seed, "fault", i))
		if end != nil {
			w.After(f.Duration.Std(), func() {
				w.observer.FaultChanged(f.Kind + " ends")
				end()
			})
		}
	})
}

// drawCaches draws a share of the running caches, at least one.
func (w *World) drawCaches(r *rand.Rand, share float64) []*Cache {
	var up []*Cache
	for _, c := range w.Caches {
		if c.running && !c.vanished && w.Discovery.member(c.index).Phase == Ready {
			up = append(up, c)
		}
	}
	r.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	count := max(1, int(math.Round(share*float64(len(up)))))
	return up[:min(count, len(up))]
}

// kill ends a cache's process. Discovery notices this late.
func (w *World) kill(c *Cache) {
	c.halt()
	started := c.Started
	w.After(w.Discovery.deathDelay(), func() {
		if c.Started == started && !c.running {
			w.removeFromList(c)
		}
	})
}

func (w *World) removeFromList(c *Cache) {
	m := w.Discovery.member(c.index)
	m.Phase = Removed
	w.Discovery.setMember(m)
}

// restart starts a cache's process again, unless the cache runs, has collapsed or has left.
func (w *World) restart(c *Cache) {
	if c.stayDown || c.running && !c.vanished {
		return
	}
	c.start(false)
	w.addToList(c)
}

func (w *World) addToList(c *Cache) {
	started := c.Started
	w.After(w.Discovery.noticeDelay(), func() {
		if c.running && c.Started == started {
			w.Discovery.setMember(w.runningMember(c))
		}
	})
}

func crashCaches(w *World, f *Fault, r *rand.Rand) func() {
	return applyToSome(w, f.Share, r, func(c *Cache, dead bool) {
		if dead {
			w.kill(c)
		} else {
			w.restart(c)
		}
	})
}

func vanishCaches(w *World, f *Fault, r *rand.Rand) func() {
	affected := w.drawCaches(r, f.Share)
	for _, c := range affected {
		c.vanished = true
		started := c.Started
		w.After(w.Discovery.deathDelay(), func() {
			if c.Started == started && c.vanished {
				w.removeFromList(c)
			}
		})
	}
	return func() {
		for _, c := range affected {
			c.vanished = false
			c.halt()
			w.restart(c)
		}
	}
}

// applyToSome applies a change to a share of the caches. The function that it returns undoes the change.
func applyToSome(w *World, share float64, r *rand.Rand, apply func(c *Cache, on bool)) (end func()) {
	affected := w.drawCaches(r, share)
	for _, c := range affected {
		apply(c, true)
	}
	return func() {
		for _, c := range affected {
			apply(c, false)
		}
	}
}

func failCalls(w *World, f *Fault, r *rand.Rand) func() {
	return applyToSome(w, f.Share, r, func(c *Cache, on bool) { c.errorRate = valueIf(on, f.Severity) })
}

func hangCaches(w *World, f *Fault, r *rand.Rand) func() {
	return applyToSome(w, f.Share, r, func(c *Cache, on bool) { c.setHanging(on) })
}

func dropCopies(w *World, f *Fault, r *rand.Rand) func() {
	for _, c := range w.Caches {
		for _, key := range c.store.keys() {
			if r.Float64() < f.Severity {
				c.store.remove(key)
			}
		}
	}
	return nil
}

func slowDown(w *World, f *Fault, r *rand.Rand) func() {
	return applyToSome(w, f.Share, r, func(c *Cache, on bool) { c.slowdown = valueIf(on, f.Severity) })
}

func valueIf(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

func addHotKeys(w *World, f *Fault, r *rand.Rand) func() {
	c := w.clients
	c.hotShare = f.Severity
	for range max(1, f.Count) {
		c.hotKeys = append(c.hotKeys, c.keysByRank[r.IntN(len(c.keysByRank))])
	}
	return func() { c.hotKeys, c.hotShare = nil, 0 }
}

// repeatEvery runs an action at regular intervals until the returned function is called.
func repeatEvery(w *World, gap time.Duration, action func()) (end func()) {
	ended := false
	var step func()
	step = func() {
		if !ended {
			action()
			w.After(gap, step)
		}
	}
	step()
	return func() { ended = true }
}

// cacheConns returns all open connections to caches, in a fixed order.
func (w *World) cacheConns() (list []*Conn) {
	for _, c := range w.Caches {
		list = append(list, c.conns...)
	}
	return list
}

func blockConns(w *World, f *Fault, r *rand.Rand) func() {
	return repeatEvery(w, 100*time.Millisecond, func() {
		for _, c := range w.cacheConns() {
			if r.Float64() < f.Severity/10 {
				c.Blackhole()
			}
		}
	})
}

func resetConns(w *World, f *Fault, r *rand.Rand) func() {
	return repeatEvery(w, 100*time.Millisecond, func() {
		list := w.cacheConns()
		for range int(f.Severity/10 + r.Float64()) {
			if len(list) > 0 {
				list[r.IntN(len(list))].Reset()
			}
		}
	})
}

func loseSegments(w *World, f *Fault, _ *rand.Rand) func() {
	w.lossRate = f.Severity
	for i := range w.day.Routers {
		w.lossyRouters[i] = true
	}
	return func() { clear(w.lossyRouters) }
}

// addCache adds a new cache of a random kind. With reuseAddress it takes over the address of a cache that has
// left for good, if there is one.
func (w *World) addCache(random *rand.Rand, reuseAddress bool) {
	point, kind := random.Float64(), 0
	for ; kind < len(w.day.Kinds)-1 && point >= w.day.Kinds[kind].Share; kind++ {
		point -= w.day.Kinds[kind].Share
	}
	c := w.newCache(len(w.Caches)+1, &w.day.Kinds[kind])
	w.Caches, w.hosts = append(w.Caches, c), append(w.hosts, &c.host)
	for _, removed := range w.Caches {
		if reuseAddress && !removed.running && removed.stayDown && w.occupants[removed.Addr] == &removed.host {
			c.Addr = removed.Addr
			break
		}
	}
	c.start(false)
	w.addToList(c)
}

func addCaches(w *World, f *Fault, r *rand.Rand) func() {
	for i := range max(1, f.Count) {
		w.After(time.Duration(i)*f.Interval.Std(), func() { w.addCache(r, false) })
	}
	return nil
}

// drainDuration is how long a cache continues to run after its drain is listed.
const drainDuration = 10 * time.Second

// retireCache drains a cache and ends its process some time after the drain was listed.
func (w *World) retireCache(c *Cache) {
	started := c.Started
	w.After(w.Discovery.noticeDelay(), func() {
		if !c.running || c.Started != started {
			return
		}
		m := w.Discovery.member(c.index)
		m.Phase = Draining
		w.Discovery.setMember(m)
		w.After(drainDuration, func() {
			if c.running && c.Started == started {
				c.halt()
				c.stayDown = true // it is never restarted
				w.After(w.Discovery.noticeDelay(), func() { w.removeFromList(c) })
			}
		})
	})
}

func drainCaches(w *World, f *Fault, r *rand.Rand) func() {
	var chosen []*Cache
	for i := range max(1, f.Count) {
		w.After(time.Duration(i)*f.Interval.Std(), func() {
			list := slices.DeleteFunc(w.drawCaches(r, 1), func(c *Cache) bool { return slices.Contains(chosen, c) })
			if len(list) > 1 {
				chosen = append(chosen, list[0])
				w.retireCache(list[0])
			}
		})
	}
	return nil
}

func replaceCaches(w *World, f *Fault, r *rand.Rand) func() {
	return repeatEvery(w, f.Interval.Std(), func() {
		if list := w.drawCaches(r, 0); len(list) > 0 {
			w.addCache(r, true)
			w.retireCache(list[0])
		}
	})
}

func stopDiscovery(w *World, _ *Fault, _ *rand.Rand) func() {
	w.Discovery.setDown(true)
	return func() { w.Discovery.setDown(false) }
}

// setBelievedDead sets from when on the load balancer believes that a router is dead; 0 marks the router as
// alive.
func (w *World) setBelievedDead(i int, at time.Duration) { w.clients.believedDeadAt[i] = at }

func killRouters(w *World, f *Fault, r *rand.Rand) func() {
	affected := r.Perm(w.day.Routers)[:min(max(1, f.Count), w.day.Routers)]
	for _, i := range affected {
		w.routerControl.Kill(i)
		w.setBelievedDead(i, w.Now()+w.day.Clients.DeadRouterNotice.Std())
	}
	return func() {
		for _, i := range affected {
			w.routerControl.Start(i)
			w.setBelievedDead(i, 0)
		}
	}
}

// restartRouters restarts routers as planned: the load balancer is informed, the router may finish the
// requests that it holds, and then its process ends.
func restartRouters(w *World, f *Fault, r *rand.Rand) func() {
	const notice, killed, restarted = 300 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond
	for n, i := range r.Perm(w.day.Routers)[:min(max(1, f.Count), w.day.Routers)] {
		w.After(time.Duration(n)*f.Interval.Std(), func() {
			w.routerControl.Stop(i)
			w.setBelievedDead(i, w.Now()+notice)
			w.After(killed, func() { w.routerControl.Kill(i) })
			w.After(restarted, func() {
				w.routerControl.Start(i)
				w.setBelievedDead(i, 0)
			})
		})
	}
	return nil
}

func losePeerMessages(w *World, _ *Fault, _ *rand.Rand) func() {
	w.dropPeerMessages = true
	return func() { w.dropPeerMessages = false }
}

func cutZone(w *World, f *Fault, _ *rand.Rand) func() {
	for z := range w.day.Zones {
		if z != f.Zone {
			w.cuts = append(w.cuts, zoneCut{f.Zone, z, w.Now() + f.Duration.Std()})
		}
	}
	return func() { w.cuts = slices.DeleteFunc(w.cuts, func(c zoneCut) bool { return c.until <= w.Now() }) }
}

func loseZone(w *World, f *Fault, _ *rand.Rand) func() {
	var affected []*Cache
	for _, c := range w.Caches {
		if c.zone == f.Zone && c.running {
			w.kill(c)
			affected = append(affected, c)
		}
	}
	return func() {
		for _, c := range affected {
			w.restart(c)
		}
	}
}

func repeatAnswers(w *World, f *Fault, r *rand.Rand) func() {
	w.repetition.share, w.repetition.random = f.Severity, r
	return func() { w.repetition.share = 0 }
}

func holdBackCopies(w *World, f *Fault, _ *rand.Rand) func() {
	w.repetition.heldBack = f.Severity
	return func() { w.repetition.heldBack = 0 }
}

func stopOrigin(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.halt(f.Duration.Std())
	return nil
}

func slowOrigin(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.slowdown = f.Severity
	return func() { w.Origin.slowdown = 1 }
}

func failOrigin(w *World, f *Fault, _ *rand.Rand) func() {
	w.Origin.errorRate = f.Severity
	return func() { w.Origin.errorRate = 0 }
}
