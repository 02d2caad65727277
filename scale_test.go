package hoptiller

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// crowd drives many Routers side by side and counts what they do in sum.
type crowd struct {
	routers []*Router
	proxies []*recorder
	now     time.Duration
	next    uint32
}

func newCrowd(n int, set Settings, list []Server) *crowd {
	c := &crowd{now: time.Second}
	set.Balancers = n
	for i := 0; i < n; i++ {
		set.Self = i
		p := newRecorder()
		r := New(c.now, set, uint64(i)*7919+3, p)
		r.List(c.now, ListFull, list)
		c.routers, c.proxies = append(c.routers, r), append(c.proxies, p)
	}
	return c
}

// request gives one request to an instance and tells where it went first; 0 is nowhere.
func (c *crowd) request(i int, key uint64, tenant int) (id, to uint32) {
	c.next++
	p := c.proxies[i]
	p.sends = p.sends[:0]
	c.routers[i].now = c.now
	c.routers[i].Request(c.now, Request{ID: c.next, Key: key, Tenant: tenant, Remaining: time.Second})
	if len(p.sends) == 0 {
		return c.next, 0
	}
	return c.next, p.sends[0].server
}

func (c *crowd) answer(i int, id, to uint32, st Status, after time.Duration) {
	c.routers[i].Outcome(c.now, Outcome{Request: id, Server: to, Status: st, Latency: after, Closed: st == OK})
}

// most is the largest count of times within any window.
func most(at []time.Duration, window time.Duration) int {
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

var crowdSizes = []int{2, 60, 400}

// However many instances there are, a server that has just started gets no more from all of
// them together than the rule allows over any window of its length.
func TestColdBudgetInSum(t *testing.T) {
	for _, n := range crowdSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			set := testSettings()
			set.Tenants = []Tenant{{400}}
			list := fleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			c := newCrowd(n, set, list)
			var at []time.Duration
			for step := 0; step < 12000; step++ { // 600 requests a second: 60 for each server
				c.now += time.Second / 600
				if step == 4800 {
					list[0].Started = c.now
					for _, r := range c.routers {
						r.List(c.now, ListFull, list)
					}
				}
				i := int(mix(uint64(step)) % uint64(n))
				c.routers[i].Timer(c.now, tokSweep)
				id, to := c.request(i, uint64(step+1), 0)
				if to == 1 && step > 4800 {
					at = append(at, c.now)
				}
				if to != 0 {
					c.answer(i, id, to, OK, 5*time.Millisecond)
				}
			}
			// Warm, the server carries 60 a second; within the first 12 s it is at 0.68 at most,
			// and what it may get is 3 times that. Early on it is 3 times 0.2 to 0.36.
			early := 0
			for early < len(at) && at[early] < 9*time.Second+4*time.Second {
				early++
			}
			if got := most(at[:early], set.Fall); got > 3*60*36/100 {
				t.Errorf("%d sends within a second in the first 4 s, %d allowed", got, 3*60*36/100)
			}
			if got := most(at, set.Fall); got > 3*60*68/100 {
				t.Errorf("%d sends within a second, %d allowed", got, 3*60*68/100)
			}
			if len(at) < 100 {
				t.Errorf("only %d sends in 12 s: the budget starves the server", len(at))
			}
		})
	}
}

// A tenant within its share is within it at any number of instances, in the mean; what one sends
// beyond is seen as beyond.
func TestShareInSum(t *testing.T) {
	for _, n := range crowdSizes {
		set := testSettings()
		set.Tenants = []Tenant{{100}, {100}}
		c := newCrowd(n, set, fleet(1, 1))
		var low, all [2]int
		for step := 0; step < 60*350; step++ { // tenant 0 sends 50 a second, tenant 1 300
			c.now += time.Second / 350
			tenant := min(1, step%7)
			i := int(mix(uint64(step)) % uint64(n))
			c.routers[i].now = c.now
			if within := c.routers[i].withinShare(tenant); step > 30*350 {
				if all[tenant]++; !within {
					low[tenant]++
				}
			}
		}
		small, big := float64(low[0])/float64(all[0]), float64(low[1])/float64(all[1])
		if small > 0.02 || big < 0.6 || big > 0.72 {
			t.Errorf("%d instances: %.3f of a tenant within its share and %.3f of one at three times counted beyond",
				n, small, big)
		}
	}
}

// A budget that starves a warm fleet's newcomers or a fleet that is cold altogether is no budget:
// something is sent from the start.
func TestAllColdStillServes(t *testing.T) {
	for _, n := range []int{1, 60, 400} {
		set := testSettings()
		set.Tenants = []Tenant{{400}}
		list := fleet(1, 1, 1, 1, 1, 1)
		for i := range list {
			list[i].Started = time.Second
		}
		c := newCrowd(n, set, list)
		sent := 0
		for step := 0; step < 4000; step++ {
			c.now += time.Second / 400
			i := int(mix(uint64(step)) % uint64(n))
			if id, to := c.request(i, uint64(step+1), 0); to != 0 {
				sent++
				c.answer(i, id, to, OK, 10*time.Millisecond)
			}
			c.routers[i].Timer(c.now, tokSweep)
		}
		if sent < 400 {
			t.Errorf("%d instances: %d of 4000 requests sent to a cold fleet", n, sent)
		}
	}
}

// Odd settings: no balancers, too many, an instance number beyond the count, tenants without a
// part, lists that grow tenfold and shrink to none. Every request has one answer.
func TestOddScale(t *testing.T) {
	for _, n := range []int{0, 1, 10000} {
		set := testSettings()
		set.Balancers, set.Self = n, n+7
		set.Tenants = []Tenant{{0}, {1e-9}}
		p := newRecorder()
		r := New(time.Second, set, 3, p)
		id := uint32(0)
		for _, size := range []int{3, 300, 0, 1, 0} {
			list := make([]Server, size)
			for i := range list {
				list[i] = Server{ID: uint32(i + 1), Phase: Ready, Started: r.now}
			}
			r.List(r.now, ListFull, list)
			for i := 0; i < 50; i++ {
				id++
				before := len(p.sends)
				r.Request(r.now, Request{ID: id, Key: uint64(i), Tenant: i % 3, Remaining: time.Second})
				if len(p.sends) > before {
					answer(r, p, id, OK, 10*time.Millisecond)
				} else if p.refused[id] == p.failed[id] {
					t.Fatalf("%d balancers, %d servers: request neither sent nor answered once", n, size)
				}
				r.Timer(r.now+sweepTick, tokSweep)
			}
		}
		if len(r.reqs) != 0 {
			t.Errorf("%d balancers: %d requests left open", n, len(r.reqs))
		}
	}
}

func BenchmarkDecision80(b *testing.B) {
	list := make([]float64, 80)
	for i := range list {
		list[i] = 1
	}
	set := testSettings()
	set.Balancers = 400
	r, p := newRouter(set, fleet(list...))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := uint32(i)
		r.Request(r.now, Request{ID: id, Key: uint64(i % 1000), Remaining: time.Second})
		r.Outcome(r.now, Outcome{Request: id, Server: p.last().server, Status: OK,
			Latency: 20 * time.Millisecond, Closed: true})
		r.order = r.order[:0]
		p.sends = p.sends[:0]
	}
}

// A key with a hundredth of the reads, seen once or not at all among an instance's last reads, may
// find its home at a server that has just started: all instances together must not push that over.
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
	probe.weigh()
	hot := uint64(1 << 40)
	for probe.homeOf(hot) != 1 { // at home there although the server hardly counts yet
		hot++
	}
	c := newCrowd(2000, set, list)
	var at []time.Duration
	for step := 0; c.now < 11*time.Second; step++ { // 12000 requests a second: 60 for each server
		c.now += time.Second / 12000
		if at == nil && c.now >= 9*time.Second {
			at = []time.Duration{}
			for _, r := range c.routers {
				r.List(c.now, ListFull, cold)
			}
		}
		key := uint64(step + 1)
		if step%100 == 0 {
			key = hot
		}
		i := int(mix(uint64(step)) % 2000)
		c.routers[i].Timer(c.now, tokSweep)
		id, to := c.request(i, key, 0)
		if to == 1 && at != nil {
			at = append(at, c.now)
		}
		if to != 0 {
			c.answer(i, id, to, OK, 5*time.Millisecond)
		}
	}
	// Within two seconds of its start the server is at 0.28 at most, and may get three times that.
	if got := most(at, set.Fall); got > 3*60*28/100 || got == 0 {
		t.Errorf("%d sends within a second, 1 to %d allowed", got, 3*60*28/100)
	}
}

// hundreds are the routers and caches of three zones, cache i+1 in zone i%3.
func hundreds() *crowd {
	list := make([]Server, 200)
	for i := range list {
		list[i] = Server{ID: uint32(i + 1), Zone: i % 3, Phase: Ready, Weight: 1}
	}
	c := newCrowd(300, testSettings(), list)
	for i, r := range c.routers {
		r.set.Zone = i % 3
		r.weigh()
	}
	return c
}

// Where no cache's table holds a connection of each router, keys have a home in each zone, the same one for all
// routers there. They go to other zones only where their own is lost.
func TestHomesInTheOwnZone(t *testing.T) {
	c := hundreds()
	far := 0
	for key := uint64(1); key <= 100; key++ {
		homes := map[int]uint32{}
		for _, r := range c.routers {
			zone, home := r.set.Zone, r.homeOf(key)
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
	r := c.routers[0]
	lost := make([]Server, 0, 200)
	for _, s := range r.caches {
		if s.Zone != 0 {
			lost = append(lost, s.Server)
		}
	}
	r.List(c.now, ListFull, lost)
	if home := r.homeOf(1); int(home-1)%3 == 0 {
		t.Errorf("with its zone lost a key's home is still there: %d", home)
	}
}

// Each of hundreds of routers sees few reads: what it takes for a hot key must not be chance. Keys with up to a third
// of one cache's worth of the reads stay at their homes nearly always.
func TestFewReadsMakeNoHotKey(t *testing.T) {
	c := hundreds()
	away, n, random := 0, 0, mix(1)
	for _, r := range c.routers[:100] {
		for step := range 400 {
			random = mix(random)
			key := 1 + random%600 // each a third of a cache's worth
			r.now = c.now + time.Duration(step)*50*time.Millisecond
			r.count(key)
			if step > 100 {
				n++
				away += int(one(r.homes(&request{Request: Request{Key: key}}) > 0))
			}
		}
	}
	if away > n/50 {
		t.Errorf("%d of %d reads leave their home by chance", away, n)
	}
}

// What one of hundreds of routers cuts, it alone can win back: in a few windows' worth of good answers, not in hundreds.
func TestWindowOfOneInHundredsMends(t *testing.T) {
	r := hundreds().routers[0]
	s, q := r.caches[0], &request{class: &r.set.Classes[0]}
	s.window = 1
	for range 30 {
		r.now += 100 * time.Millisecond
		r.learnWindow(q, &attempt{to: s, at: r.now}, &Outcome{Status: OK, Latency: 10 * time.Millisecond})
		s.out = int(s.window) - 1
	}
	if s.window < 3 {
		t.Errorf("after 30 good answers the window is %.2f", s.window)
	}
}

// Where homes are in the own zone, a cold cache there may be sent what a warm one there carries, cut by the
// warm-up; the other zones' caches, which this router asks for next to nothing, say nothing of that.
func TestColdRoomInTheOwnZone(t *testing.T) {
	r := hundreds().routers[0]
	r.carried, r.arrivals = 20, 20
	r.learnUnit(0.1, 1)
	s, passed := r.caches[0], 0
	for range 1000 {
		r.now += 10 * time.Second // its part of a warm cache's is 0.3 requests a second, and half warm 0.17
		s.Started = r.now - r.set.Cold/2
		r.weigh()
		passed += int(one(r.coldRoom(&request{}, s, true)))
	}
	if passed < 750 {
		t.Errorf("%d of 1000 requests, one in 10 s, may go to a half warm cache", passed)
	}
}
