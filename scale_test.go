package hoptiller

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// routerGroup drives many Routers side by side, to count what they do together.
type routerGroup struct {
	routers []*Router
	proxies []*recorder
	now     time.Duration
	next    uint32
}

func newRouterGroup(n int, set Settings, list []Server) *routerGroup {
	group := &routerGroup{now: time.Second}
	set.RouterCount = n
	for i := 0; i < n; i++ {
		set.RouterIndex = i
		p := newRecorder()
		r := New(group.now, set, uint64(i)*7919+3, p)
		r.UpdateServers(group.now, ListFull, list)
		group.routers, group.proxies = append(group.routers, r), append(group.proxies, p)
	}
	return group
}

// request gives a request to router i and returns its id and the server of its first attempt; 0: no attempt.
func (g *routerGroup) request(i int, key uint64, tenant int) (id, to uint32) {
	g.next++
	p := g.proxies[i]
	p.sends = p.sends[:0]
	g.routers[i].now = g.now
	g.routers[i].Request(g.now, Request{ID: g.next, Key: key, Tenant: tenant, Remaining: time.Second})
	if len(p.sends) == 0 {
		return g.next, 0
	}
	return g.next, p.sends[0].server
}

func (g *routerGroup) answer(i int, id, to uint32, st Status, after time.Duration) {
	g.routers[i].Outcome(g.now, Outcome{Request: id, Server: to, Status: st, Latency: after, Closed: st == OK})
}

// maxInWindow returns the largest number of times within any window.
func maxInWindow(at []time.Duration, window time.Duration) int {
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	best, from := 0, 0
	for i := range at {
		for at[i]-at[from] >= window {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

var groupSizes = []int{2, 60, 400}

// However many routers there are, all of them together send a server that has just started no more than the limit allows in any
// window.
func TestColdLimitOverAllRouters(t *testing.T) {
	for _, n := range groupSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			set.Tenants = []Tenant{{400}}
			list := fleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			group := newRouterGroup(n, set, list)
			var sends []time.Duration
			for step := 0; step < 12000; step++ { // 600 requests per second: 60 for each server
				group.now += time.Second / 600
				if step == 4800 {
					list[0].Started = group.now
					for _, r := range group.routers {
						r.UpdateServers(group.now, ListFull, list)
					}
				}
				i := int(mix(uint64(step)) % uint64(n))
				group.routers[i].Timer(group.now, tokenSweep)
				id, to := group.request(i, uint64(step+1), 0)
				if to == 1 && step > 4800 {
					sends = append(sends, group.now)
				}
				if to != 0 {
					group.answer(i, id, to, OK, 5*time.Millisecond)
				}
			}
			// Warm, the server handles 60 requests per second. In the first 12 s its capacity is at most 0.68 of that, and it
			// may get 3 times its capacity. In the first 4 s it may get 3 times 0.2 to 0.36 of what it handles warm.
			early := 0
			for early < len(sends) && sends[early] < 9*time.Second+4*time.Second {
				early++
			}
			if got := maxInWindow(sends[:early], set.CollapseWindow); got > 3*60*36/100 {
				t.Errorf("%d sends within a second in the first 4 s, %d allowed", got, 3*60*36/100)
			}
			if got := maxInWindow(sends, set.CollapseWindow); got > 3*60*68/100 {
				t.Errorf("%d sends within a second, %d allowed", got, 3*60*68/100)
			}
			if len(sends) < 100 {
				t.Errorf("only %d sends in 12 s: the limit starves the server", len(sends))
			}
		})
	}
}

// At any number of routers, a tenant within its share counts as within it on average, and what a tenant sends beyond its share
// counts as beyond.
func TestShareOverAllRouters(t *testing.T) {
	for _, n := range groupSizes {
		set := testSettings()
		set.Tenants = []Tenant{{100}, {100}}
		group := newRouterGroup(n, set, fleet(1, 1))
		var low, all [2]int
		for step := 0; step < 60*350; step++ { // tenant 0 sends 50 per second, tenant 1 300
			group.now += time.Second / 350
			tenant := min(1, step%7)
			i := int(mix(uint64(step)) % uint64(n))
			group.routers[i].now = group.now
			if within := group.routers[i].withinShare(tenant); step > 30*350 {
				if all[tenant]++; !within {
					low[tenant]++
				}
			}
		}
		small, big := float64(low[0])/float64(all[0]), float64(low[1])/float64(all[1])
		if small > 0.02 || big < 0.6 || big > 0.72 {
			t.Errorf("%d routers: %.3f of a tenant within its share and %.3f of one at three times counted beyond",
				n, small, big)
		}
	}
}

// Guards against a limit on cold servers that blocks a fleet in which all servers are cold: some requests are sent from the
// start.
func TestAllColdStillServes(t *testing.T) {
	for _, n := range []int{1, 60, 400} {
		set := testSettings()
		set.Tenants = []Tenant{{400}}
		list := fleet(1, 1, 1, 1, 1, 1)
		for i := range list {
			list[i].Started = time.Second
		}
		group := newRouterGroup(n, set, list)
		sent := 0
		for step := 0; step < 4000; step++ {
			group.now += time.Second / 400
			i := int(mix(uint64(step)) % uint64(n))
			if id, to := group.request(i, uint64(step+1), 0); to != 0 {
				sent++
				group.answer(i, id, to, OK, 10*time.Millisecond)
			}
			group.routers[i].Timer(group.now, tokenSweep)
		}
		if sent < 400 {
			t.Errorf("%d routers: %d of 4000 requests sent to a cold fleet", n, sent)
		}
	}
}

// Odd settings: no routers, too many routers, a router number beyond the count, tenants without a share, lists that grow tenfold
// and shrink to none. Every request gets one answer.
func TestOddScale(t *testing.T) {
	for _, n := range []int{0, 1, 10000} {
		set := testSettings()
		set.RouterCount, set.RouterIndex = n, n+7
		set.Tenants = []Tenant{{0}, {1e-9}}
		p := newRecorder()
		r := New(time.Second, set, 3, p)
		id := uint32(0)
		for _, size := range []int{3, 300, 0, 1, 0} {
			list := make([]Server, size)
			for i := range list {
				list[i] = Server{ID: uint32(i + 1), Phase: Ready, Started: r.now}
			}
			r.UpdateServers(r.now, ListFull, list)
			for i := 0; i < 50; i++ {
				id++
				before := len(p.sends)
				r.Request(r.now, Request{ID: id, Key: uint64(i), Tenant: i % 3, Remaining: time.Second})
				if len(p.sends) > before {
					answer(r, p, id, OK, 10*time.Millisecond)
				} else if p.refused[id] == p.failed[id] {
					t.Fatalf("%d routers, %d servers: request neither sent nor answered once", n, size)
				}
				r.Timer(r.now+sweepInterval, tokenSweep)
			}
		}
		if len(r.requests) != 0 {
			t.Errorf("%d routers: %d requests left open", n, len(r.requests))
		}
	}
}

func BenchmarkDecision80(b *testing.B) {
	list := make([]float64, 80)
	for i := range list {
		list[i] = 1
	}
	set := testSettings()
	set.RouterCount = 400
	r, p := newRouter(set, fleet(list...))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := uint32(i)
		r.Request(r.now, Request{ID: id, Key: uint64(i % 1000), Remaining: time.Second})
		r.Outcome(r.now, Outcome{Request: id, Server: p.last().server, Status: OK,
			Latency: 20 * time.Millisecond, Closed: true})
		r.requestOrder = r.requestOrder[:0]
		p.sends = p.sends[:0]
	}
}

// A key with a hundredth of the reads, which a router sees once or not at all among its latest reads, may have its home at a
// server that has just started. All routers together must not overload that server.
func TestWarmKeyAtColdServer(t *testing.T) {
	set := testSettings()
	ones := make([]float64, 200)
	for i := range ones {
		ones[i] = 1
	}
	list := fleet(ones...)
	cold := append([]Server(nil), list...)
	cold[0].Started = 9 * time.Second
	probe, _ := newRouter(set, cold)
	probe.now = 10 * time.Second
	probe.updateWeights()
	hot := uint64(1 << 40)
	for probe.homeOf(hot) != 1 { // at home there although the server has little weight yet
		hot++
	}
	group := newRouterGroup(2000, set, list)
	var sends []time.Duration
	for step := 0; group.now < 11*time.Second; step++ { // 12000 requests per second: 60 for each server
		group.now += time.Second / 12000
		if sends == nil && group.now >= 9*time.Second {
			sends = []time.Duration{}
			for _, r := range group.routers {
				r.UpdateServers(group.now, ListFull, cold)
			}
		}
		key := uint64(step + 1)
		if step%100 == 0 {
			key = hot
		}
		i := int(mix(uint64(step)) % 2000)
		group.routers[i].Timer(group.now, tokenSweep)
		id, to := group.request(i, key, 0)
		if to == 1 && sends != nil {
			sends = append(sends, group.now)
		}
		if to != 0 {
			group.answer(i, id, to, OK, 5*time.Millisecond)
		}
	}
	// In the two seconds after its start the server has at most 0.28 of its capacity, and it may get three times that.
	if got := maxInWindow(sends, set.CollapseWindow); got > 3*60*28/100 || got == 0 {
		t.Errorf("%d sends within a second, 1 to %d allowed", got, 3*60*28/100)
	}
}

// threeZoneGroup returns hundreds of routers and caches in three zones; cache i+1 is in zone i%3.
func threeZoneGroup() *routerGroup {
	list := make([]Server, 200)
	for i := range list {
		list[i] = Server{ID: uint32(i + 1), Zone: i % 3, Phase: Ready, Weight: 1}
	}
	group := newRouterGroup(300, testSettings(), list)
	for i, r := range group.routers {
		r.settings.Zone = i % 3
		r.updateWeights()
	}
	return group
}

// If no cache accepts a connection of every router, a key has a home in each zone, which all routers there agree on. It is in
// another zone only if their own zone is lost.
func TestHomesInOwnZone(t *testing.T) {
	group := threeZoneGroup()
	far := 0
	for key := uint64(1); key <= 100; key++ {
		homes := map[int]uint32{}
		for _, r := range group.routers {
			zone, home := r.settings.Zone, r.homeOf(key)
			if homes[zone] == 0 {
				homes[zone] = home
			}
			if home != homes[zone] {
				t.Fatalf("key %d has homes %d and %d in zone %d", key, home, homes[zone], zone)
			}
		}
		for zone, home := range homes {
			if int(home-1)%3 != zone {
				far++
			}
		}
	}
	if far > 30 {
		t.Errorf("%d of 300 homes are in another zone", far)
	}
	r := group.routers[0]
	lost := make([]Server, 0, 200)
	for _, s := range r.caches {
		if s.Zone != 0 {
			lost = append(lost, s.Server)
		}
	}
	r.UpdateServers(group.now, ListFull, lost)
	if home := r.homeOf(1); int(home-1)%3 == 0 {
		t.Errorf("a key's home is still in its lost zone: %d", home)
	}
}

// Guards against taking a key for hot by coincidence, as each of hundreds of routers sees few reads. Keys with up to a third of
// one cache's share of the reads nearly always stay at their homes.
func TestFewReadsMakeNoHotKey(t *testing.T) {
	group := threeZoneGroup()
	away, n, random := 0, 0, mix(1)
	for _, r := range group.routers[:100] {
		for step := range 400 {
			random = mix(random)
			key := 1 + random%600 // each with a third of a cache's share
			r.now = group.now + time.Duration(step)*50*time.Millisecond
			r.countRead(key)
			if step > 100 {
				n++
				away += int(boolToFloat(r.homesToSkip(&request{Request: Request{Key: key}}) > 0))
			}
		}
	}
	if away > n/50 {
		t.Errorf("%d of %d reads leave their home by coincidence", away, n)
	}
}

// One of hundreds of routers must win back a window that it has cut, within a few windows' worth of good answers and not within
// hundreds.
func TestWindowOfOneRouterRecovers(t *testing.T) {
	r := threeZoneGroup().routers[0]
	s, q := r.caches[0], &request{class: &r.settings.Classes[0]}
	s.window = 1
	for range 30 {
		r.now += 100 * time.Millisecond
		r.learnWindow(q, &attempt{target: s, sentAt: r.now}, &Outcome{Status: OK, Latency: 10 * time.Millisecond})
		s.inFlight = int(s.window) - 1
	}
	if s.window < 3 {
		t.Errorf("after 30 good answers the window is %.2f", s.window)
	}
}

// If a key has a home in each zone, a cold cache may be sent what a warm cache of its zone serves, reduced by the warm-up. The
// caches of other zones, which this router sends next to nothing, don't count for that limit.
func TestColdLimitInOwnZone(t *testing.T) {
	r := threeZoneGroup().routers[0]
	r.servedRate, r.arrivalRate = 20, 20
	r.learnRatePerWeight(0.1, 1)
	s, passed := r.caches[0], 0
	for range 1000 {
		r.now += 10 * time.Second // the router's share is 0.3 requests per second at a warm cache and 0.17 at a half warm one
		s.Started = r.now - r.settings.WarmUp/2
		r.updateWeights()
		passed += int(boolToFloat(r.coldHasRoom(&request{}, s, true)))
	}
	if passed < 750 {
		t.Errorf("%d of 1000 requests, one in 10 s, may go to a half warm cache", passed)
	}
}
