package permit

import (
	"reflect"
	"testing"
	"time"
)

// testFleet is a fleet of agents in virtual time. Each datagram arrives 20 ms after it was sent.
type testFleet struct {
	now      time.Duration
	agents   []*Agent
	alive    int          // number of routers that every agent sees alive
	down     map[int]bool // routers that every agent sees down
	isolated map[int]bool // routers that exchange no datagrams with others
	inFlight []sentDatagram
}

// sentDatagram is a datagram that has not arrived yet.
type sentDatagram struct {
	at       time.Duration // when it arrives
	from, to int
	body     []byte
}

func newTestFleet(n int, fleet, zone Bound) *testFleet {
	f := &testFleet{alive: n, down: map[int]bool{}, isolated: map[int]bool{}}
	seed := uint64(0)
	for i := range n {
		a := &Agent{Self: i, RouterCount: n, Zone: i % 2, MaxRouters: fleet, MaxRoutersPerZone: zone,
			ObserveFleet: func() FleetState {
				return FleetState{AliveCount: f.alive, DownRouters: f.down, RouterZone: func(i int) int { return i % 2 }}
			},
			Random: func() uint64 { seed += 0x9e3779b97f4a7c15; return seed }}
		a.Start(0)
		f.agents = append(f.agents, a)
	}
	f.run(MaxLease) // voters grant nothing until then
	return f
}

// run advances time by a duration. It returns the largest number of routers that held a permit at the same time.
func (f *testFleet) run(duration time.Duration) (maxHolders int) {
	for end := f.now + duration; f.now < end; f.now += 10 * time.Millisecond {
		for len(f.inFlight) > 0 && f.inFlight[0].at <= f.now {
			arrived := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			f.agents[arrived.to].Receive(f.now, arrived.from, arrived.body)
		}
		holders := 0
		for i, a := range f.agents {
			a.Tick(f.now)
			for _, d := range a.Outgoing() {
				if !f.isolated[i] && !f.isolated[d.To] || i == d.To {
					f.inFlight = append(f.inFlight, sentDatagram{f.now + 20*time.Millisecond, i, d.To, d.Body})
				}
			}
			if a.Phase(f.now) == Holding {
				holders++
			}
		}
		maxHolders = max(maxHolders, holders)
	}
	return maxHolders
}

// holders returns the routers that hold a permit now.
func (f *testFleet) holders() (list []int) {
	for i, a := range f.agents {
		if a.Phase(f.now) == Holding {
			list = append(list, i)
		}
	}
	return list
}

// All routers request a permit. Never more of them are out of service than the bounds allow, and each gets a permit soon after
// another router has given one back.
func TestBoundsAndTurns(t *testing.T) {
	for name, c := range map[string]struct {
		n           int
		fleet, zone Bound
		maxHolders  int
	}{"one": {5, Bound{Number: 1}, Bound{}, 1}, "two": {7, Bound{Number: 2}, Bound{}, 2},
		"a third":                        {9, Bound{Fraction: 0.34}, Bound{}, 3},
		"one per zone":                   {6, Bound{Number: 3}, Bound{Number: 1}, 2},
		"half of a zone, and two voters": {8, Bound{Number: 8}, Bound{Fraction: 0.5}, 3},
		"a fleet of two":                 {2, Bound{Number: 1}, Bound{}, 1}} {
		f := newTestFleet(c.n, c.fleet, c.zone)
		for _, a := range f.agents {
			a.Acquire(f.now)
		}
		served, maxHolders := map[int]bool{}, 0
		for range 10 * c.n {
			maxHolders = max(maxHolders, f.run(4*time.Second))
			for _, i := range f.holders() {
				served[i] = true
				f.agents[i].Release(f.now)
			}
		}
		if maxHolders != c.maxHolders || len(served) != c.n {
			t.Errorf("%s: up to %d permits at once, want %d; %d of %d routers got one", name, maxHolders, c.maxHolders, len(served), c.n)
		}
	}
}

// A permit is renewed while a majority of the voters receives the requests. A holder that is cut off from them loses its permit
// before another router gets one.
func TestIsolatedHolderLosesPermit(t *testing.T) {
	f := newTestFleet(5, Bound{Number: 1}, Bound{})
	f.agents[3].Acquire(f.now)
	f.run(time.Minute)
	if h := f.holders(); !reflect.DeepEqual(h, []int{3}) {
		t.Fatalf("holders after a minute: %v", h)
	}
	f.isolated[3] = true
	f.agents[4].Acquire(f.now)
	if maxHolders := f.run(2 * MaxLease); maxHolders > 1 {
		t.Errorf("%d routers held a permit at once", maxHolders)
	}
	if h := f.holders(); !reflect.DeepEqual(h, []int{4}) {
		t.Errorf("holders at the end: %v", h)
	}
	if remaining := f.agents[4].Remaining(f.now); remaining <= 0 || remaining > MaxLease {
		t.Errorf("the permit lasts for another %v", remaining)
	}
}

// No router gets a permit while others are down, while most of the fleet is not seen, or while most voters are cut off. The
// status names a reason.
func TestNoPermitDuringFailures(t *testing.T) {
	for name, fail := range map[string]func(f *testFleet){
		"one router is down":      func(f *testFleet) { f.down[1] = true },
		"most routers are unseen": func(f *testFleet) { f.alive = 2 },
		"most voters are cut off": func(f *testFleet) { f.isolated[0], f.isolated[1], f.isolated[2] = true, true, true },
	} {
		f := newTestFleet(5, Bound{Number: 1}, Bound{})
		fail(f)
		f.agents[4].Acquire(f.now)
		if f.run(10*time.Second) > 0 {
			t.Errorf("%s: the router got a permit", name)
		}
		if s := f.agents[4].Status(f.now); s.Phase != Requesting || s.Reason == "" {
			t.Errorf("%s: %+v", name, s)
		}
	}
	f := newTestFleet(5, Bound{Number: 1}, Bound{})
	f.down[4] = true // the requesting router is draining already
	if f.agents[4].Acquire(f.now); f.run(5*time.Second) != 1 {
		t.Error("a router that is down itself got no permit")
	}
}

// Permits leave a majority of the voters able to grant. Voters that are down, or that grant nothing because they have just
// started, count as unable.
func TestVoterMajorityStays(t *testing.T) {
	for name, c := range map[string]struct {
		young, down []int
		requester   int
		granted     bool
	}{
		"all voters serve":               {nil, nil, 4, true},
		"one has just started":           {[]int{0}, nil, 4, true},
		"two have just started":          {[]int{0, 1}, nil, 4, false},
		"one is down, one is new":        {[]int{0}, []int{1}, 4, false},
		"the requester has just started": {[]int{4, 0}, nil, 4, true},
	} {
		f := newTestFleet(5, Bound{Number: 5}, Bound{})
		young := map[int]bool{}
		for _, i := range c.young {
			young[i] = true
		}
		for _, i := range c.down {
			f.down[i] = true
		}
		for _, a := range f.agents {
			a.ObserveFleet = func() FleetState { return FleetState{AliveCount: f.alive, DownRouters: f.down, RecentlyStarted: young} }
		}
		f.agents[c.requester].Acquire(f.now)
		if granted := f.run(5*time.Second) == 1; granted != c.granted {
			t.Errorf("%s: granted %v", name, granted)
		}
	}
	f := newTestFleet(7, Bound{Number: 7}, Bound{})
	for _, a := range f.agents {
		a.Acquire(f.now)
	}
	if maxHolders := f.run(20 * time.Second); maxHolders != 4 { // two that are no voters, and two of five voters
		t.Errorf("%d routers held a permit at once, want 4", maxHolders)
	}
}

// A datagram decodes to the message that was encoded, and a corrupt one is rejected. Whatever arrives, an agent answers the
// sender alone, with short datagrams.
func FuzzParse(f *testing.F) {
	request := &Request{Permit: 7<<16 | 3, Seq: 9, Slots: []Slot{{0, 1}, {2, 0}}, Duration: MaxLease}
	reply := &Reply{Permit: 7, Seq: 1, Reason: Held, Slot: Slot{1, 2}, Holder: 5}
	for _, b := range [][]byte{AppendRequest(1, 2, request), AppendRequest(1, 2, &Request{Permit: 1, Seq: 2, Release: true}),
		AppendReply(3, 4, reply)} {
		m, err := Parse(b)
		if err != nil || m.Request == nil == (m.Reply == nil) {
			f.Fatalf("%v, %+v", err, m)
		}
		if m.Request != nil && !m.Request.Release && !reflect.DeepEqual(m.Request, request) ||
			m.Reply != nil && !reflect.DeepEqual(m.Reply, reply) {
			f.Fatalf("%+v differs from what was encoded", m)
		}
		for i := range b {
			b[i] ^= 0x10
			if _, err := Parse(b); err == nil {
				f.Fatalf("a datagram with a corrupt byte %d was accepted", i)
			}
			b[i] ^= 0x10
		}
		f.Add(b[:len(b)-checksumBytes])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		agent := newTestFleet(2, Bound{Number: 1}, Bound{}).agents[0]
		agent.Receive(MaxLease, 1, b)
		agent.Receive(MaxLease, 1, appendChecksum(b))
		for _, d := range agent.Outgoing() {
			if d.To != 1 || len(d.Body) > 256 {
				t.Errorf("%d bytes to router %d", len(d.Body), d.To)
			}
		}
	})
}
