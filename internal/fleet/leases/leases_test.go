package leases

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"hoptiller/internal/fleet/permit"
)

// fleet is a fleet of routers with permits and leases, in virtual time. Their datagrams can be lost, delayed and duplicated.
type fleet struct {
	now        time.Duration
	rng        *rand.Rand
	routers    []*router
	cacheBound permit.Bound
	caches     map[uint32]int // listed slot caches, with their zones
	down       map[uint32]bool
	isolated   map[int]bool // routers that exchange no datagrams with others
	loss       float64      // fraction of the datagrams that are lost
	delayed    float64      // fraction of the datagrams that arrive twice: at once, and after up to 15 s
	inFlight   []sentDatagram
	sent       int // number of datagrams with leases

	noSilence bool // a broken protocol: voters grant as soon as they have started
}

type router struct {
	agent       *permit.Agent
	manager     *Manager
	started     time.Duration
	dead        bool
	pausedUntil time.Duration
}

// sentDatagram is a datagram that has not arrived yet.
type sentDatagram struct {
	at       time.Duration // when it arrives
	from, to int
	body     []byte
	isLease  bool // it is for the lease manager, not for the permit agent
}

func newFleet(n int, seed uint64, bound permit.Bound, caches int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), cacheBound: bound, caches: map[uint32]int{}, down: map[uint32]bool{},
		isolated: map[int]bool{}}
	for i := range caches {
		f.caches[uint32(100+i)] = i % 2
	}
	for range n {
		f.routers = append(f.routers, &router{})
	}
	for i := range n {
		f.start(i)
	}
	f.run(permit.MaxLease + time.Second)
	return f
}

// start begins a new incarnation of a router, which remembers nothing. Its clock starts at zero, as that of a process does.
func (f *fleet) start(i int) {
	a := &permit.Agent{Self: i, RouterCount: len(f.routers), MaxRouters: permit.Bound{Number: 1}, MaxCaches: f.cacheBound, Random: f.rng.Uint64,
		ObserveFleet: func() permit.FleetState {
			alive := 0
			for _, r := range f.routers {
				if !r.dead {
					alive++
				}
			}
			return permit.FleetState{AliveCount: alive, CacheZones: f.caches, DownCaches: f.down}
		}}
	r := f.routers[i]
	*r = router{agent: a, started: f.now}
	if f.noSilence {
		a.Start(-permit.MaxLease)
	} else {
		a.Start(0)
	}
	r.manager = NewManager(0, a)
}

// clock returns the time that a router's clock shows.
func (f *fleet) clock(r *router) time.Duration { return f.now - r.started }

// run advances time by a duration. It returns the largest number of slot caches that were out of service at the same time,
// where a slot cache counts if any router believes so.
func (f *fleet) run(duration time.Duration) (maxDrained int) {
	const step = 20 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		slices.SortStableFunc(f.inFlight, func(a, b sentDatagram) int { return cmp.Compare(a.at, b.at) })
		for len(f.inFlight) > 0 && f.inFlight[0].at <= f.now {
			arrived := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			r := f.routers[arrived.to]
			switch {
			case r.dead:
			case f.now < r.pausedUntil: // the datagram waits in the socket
				arrived.at = r.pausedUntil
				f.inFlight = append(f.inFlight, arrived)
			case arrived.isLease:
				r.manager.Receive(f.clock(r), arrived.from, arrived.body)
			default:
				r.agent.Receive(f.clock(r), arrived.from, arrived.body)
			}
		}
		drained := map[uint32]bool{}
		for i, r := range f.routers {
			if r.dead {
				continue
			}
			if f.now >= r.pausedUntil {
				r.agent.Tick(f.clock(r))
				r.manager.Tick(f.clock(r))
				for _, d := range r.agent.Outgoing() {
					f.send(i, d.To, d.Body, false)
				}
				for _, d := range r.manager.Outgoing() {
					f.send(i, d.To, d.Body, true)
					f.sent++
				}
			}
			for key, stored := range r.manager.leases {
				if f.clock(r) < stored.expires && !stored.Ended {
					drained[key.ID] = true
				}
			}
		}
		maxDrained = max(maxDrained, len(drained))
	}
	return maxDrained
}

// send puts a datagram in flight, unless it is lost.
func (f *fleet) send(from, to int, body []byte, isLease bool) {
	if from != to && (f.isolated[from] || f.isolated[to] || f.rng.Float64() < f.loss) {
		return
	}
	at := f.now + time.Duration(f.rng.IntN(40))*time.Millisecond
	if f.rng.Float64() < f.delayed {
		at = f.now + time.Duration(f.rng.IntN(15000))*time.Millisecond
		f.inFlight = append(f.inFlight, sentDatagram{f.now, from, to, body, isLease}) // it also arrives at once
	}
	f.inFlight = append(f.inFlight, sentDatagram{at, from, to, body, isLease})
}

// drain asks a router to drain a slot cache for a duration.
func (f *fleet) drain(i int, cache uint32, duration time.Duration) error {
	r := f.routers[i]
	return r.manager.Acquire(f.clock(r), Key{KindCache, cache}, r.agent.CacheGroups(f.caches[cache]), "x", duration)
}

// undo asks a router to end the drain of a slot cache.
func (f *fleet) undo(i int, cache uint32) error {
	r := f.routers[i]
	return r.manager.End(f.clock(r), Key{KindCache, cache})
}

// drainedAt returns the slot caches that a router believes to be out of service.
func (f *fleet) drainedAt(i int) (list []uint32) {
	for _, lease := range f.routers[i].manager.All(f.clock(f.routers[i])) {
		list = append(list, lease.ID)
	}
	return list
}

// checkDrained returns an error unless every router that is alive believes exactly these slot caches to be out of service.
func (f *fleet) checkDrained(want ...uint32) error {
	for i, r := range f.routers {
		if got := f.drainedAt(i); !r.dead && !reflect.DeepEqual(got, want) {
			return fmt.Errorf("router %d believes %v to be out of service, want %v", i, got, want)
		}
	}
	return nil
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// One router is asked to drain a slot cache. All routers know of the drain within a second. Any router can end it, and all
// know that within a second too. Without drains no datagrams are sent.
func TestDrainSpreads(t *testing.T) {
	for _, n := range []int{2, 5, 60, 300} {
		f := newFleet(n, 1, permit.Bound{Number: 1}, 10)
		f.sent = 0
		f.run(10 * time.Second)
		if f.sent > 0 {
			t.Errorf("%d routers: %d datagrams without any lease", n, f.sent)
		}
		must(t, f.drain(1, 103, time.Hour))
		f.run(time.Second)
		must(t, f.checkDrained(103))
		f.sent = 0
		f.run(time.Minute)
		must(t, f.checkDrained(103))
		if rate := float64(f.sent) / 60 / float64(n); rate > 12 {
			t.Errorf("%d routers: %.1f datagrams per second and router", n, rate)
		} else {
			t.Logf("%d routers: %.1f datagrams per second and router during a drain", n, rate)
		}
		must(t, f.undo(n-1, 103))
		f.run(time.Second)
		must(t, f.checkDrained())
	}
}

// No more slot caches are drained than the bound allows. A slot cache that is down without a permit counts against it.
func TestBound(t *testing.T) {
	f := newFleet(5, 2, permit.Bound{Fraction: 0.2}, 10)
	for i := range 4 {
		must(t, f.drain(i, uint32(100+i), time.Hour))
	}
	if maxDrained := f.run(5 * time.Second); maxDrained != 2 {
		t.Errorf("%d of 10 slot caches are drained, want 2", maxDrained)
	}
	f = newFleet(5, 2, permit.Bound{Number: 2}, 10)
	f.down[109] = true
	must(t, f.drain(0, 100, time.Hour))
	must(t, f.drain(1, 101, time.Hour))
	must(t, f.drain(2, 109, time.Hour)) // is down itself
	if f.run(5 * time.Second); len(f.drainedAt(0)) != 1 && len(f.drainedAt(0)) != 2 {
		t.Errorf("%v are drained while another one is down", f.drainedAt(0))
	}
	if _, reason := f.routers[1].manager.Status(f.clock(f.routers[1]), Key{KindCache, 101}); reason == "" {
		t.Error("no reason for the refusal")
	}
}

// A drain continues when the router that was asked for it dies or restarts, and ends when its time is over. Routers without a
// majority of voters lose drains and start none.
func TestOwners(t *testing.T) {
	f := newFleet(5, 3, permit.Bound{Number: 1}, 10)
	must(t, f.drain(4, 100, time.Minute))
	f.run(2 * time.Second)
	f.routers[4].dead = true
	for range 15 {
		f.run(time.Second)
		must(t, f.checkDrained(100))
	}
	f.start(4)
	f.run(2 * time.Second)
	must(t, f.checkDrained(100))
	for range 3 { // the new owner restarts again and again
		f.start(0)
		f.run(2 * time.Second)
		must(t, f.checkDrained(100))
	}
	f.run(time.Minute)
	must(t, f.checkDrained())

	f = newFleet(5, 4, permit.Bound{Number: 1}, 10)
	must(t, f.drain(3, 100, time.Hour))
	f.run(2 * time.Second)
	f.isolated[0], f.isolated[1], f.isolated[2] = true, true, true // each is alone, so that no router reaches a majority
	f.run(permit.MaxLease)
	must(t, f.checkDrained())
	must(t, f.drain(4, 101, time.Hour))
	f.run(permit.MaxLease)
	must(t, f.checkDrained())
}

// Commands that are not possible return an error, which names the owner if another lease is in the way.
func TestRefused(t *testing.T) {
	f := newFleet(5, 5, permit.Bound{Number: 1}, 10)
	if err := f.undo(0, 100); !errors.Is(err, ErrNotFound) {
		t.Errorf("end of a drain that nobody has requested: %v", err)
	}
	must(t, f.drain(1, 100, time.Hour))
	var taken *AlreadyManagedError
	if err := f.drain(1, 100, time.Hour); !errors.As(err, &taken) || taken.Router != 1 {
		t.Errorf("second request to the same router: %v", err)
	}
	f.run(time.Second)
	if err := f.drain(2, 100, time.Hour); !errors.As(err, &taken) || taken.Router != 1 {
		t.Errorf("second request to another router: %v", err)
	}
	must(t, f.drain(2, 101, time.Hour))
	must(t, f.undo(2, 101)) // requested, but not granted
	must(t, f.undo(2, 100)) // owned by another router
	f.run(time.Second)
	must(t, f.checkDrained())
	must(t, f.drain(3, 100, time.Hour)) // again, at once
	f.run(12 * time.Second)
	must(t, f.checkDrained(100))
}

// runRandomEvents runs one trace of random events that the seed determines. It returns the largest number of slot caches that
// were drained at the same time.
func runRandomEvents(seed uint64, bound int) (maxDrained int) {
	f := newFleet(5, seed, permit.Bound{Number: bound}, 6)
	f.loss, f.delayed = f.rng.Float64()*0.3, f.rng.Float64()*0.2
	for range 40 {
		i, cache := f.rng.IntN(5), uint32(100+f.rng.IntN(6))
		switch r := f.routers[i]; f.rng.IntN(8) {
		case 0, 1, 2:
			if !r.dead && f.now >= r.pausedUntil {
				f.drain(i, cache, time.Duration(1+f.rng.IntN(60))*time.Second)
			}
		case 3:
			if !r.dead && f.now >= r.pausedUntil {
				f.undo(i, cache)
			}
		case 4:
			r.dead = true
		case 5:
			f.start(i)
		case 6:
			if f.isolated[i] = !f.isolated[i]; f.rng.IntN(3) == 0 {
				clear(f.isolated)
			}
		case 7:
			r.pausedUntil = f.now + time.Duration(f.rng.IntN(15000))*time.Millisecond
		}
		maxDrained = max(maxDrained, f.run(time.Duration(f.rng.IntN(5000))*time.Millisecond))
	}
	return maxDrained
}

var traces = flag.Uint64("courses", 60, "number of random traces of events that TestRandomEvents runs")

// Routers die, restart, are paused and are cut off, and datagrams are lost, delayed and duplicated. The routers
// together never believe more slot caches to be drained than the bound allows.
func TestRandomEvents(t *testing.T) {
	reached := 0
	for seed := range *traces {
		bound := 1 + int(seed%2)
		maxDrained := runRandomEvents(seed, bound)
		if maxDrained > bound {
			t.Errorf("seed %d: %d slot caches are drained at once, the bound is %d", seed, maxDrained, bound)
		}
		if maxDrained == bound {
			reached++
		}
	}
	if reached < int(*traces*2/3) {
		t.Errorf("the bound was reached in %d of %d traces", reached, *traces)
	}
}

// A voter forgets its grants in a restart and therefore grants nothing for the duration of the longest lease. If voters grant
// at once, two slot caches are drained at the same time.
func TestSilenceAfterRestart(t *testing.T) {
	for _, broken := range []bool{false, true} {
		f := newFleet(5, 6, permit.Bound{Number: 1}, 10)
		f.noSilence = broken
		must(t, f.drain(4, 100, time.Hour))
		f.run(3 * time.Second)
		f.isolated[4] = true // the others can't learn from it what it holds
		for i := range 3 {
			f.start(i)
		}
		must(t, f.drain(0, 101, time.Hour))
		if maxDrained := f.run(permit.MaxLease); maxDrained > 1 != broken {
			t.Errorf("broken %v: %d slot caches are drained at once", broken, maxDrained)
		}
	}
}

// A datagram decodes to the message that was encoded, and a corrupt one is rejected. Whatever arrives, a store sends only short
// datagrams, and only to other routers.
func FuzzParse(f *testing.F) {
	lease := Lease{Key: Key{KindCache, 0x5be2a07c}, Epoch: 3<<16 | 1, Owner: 4, Seq: 9, Permit: 1<<60 | 7, Ended: true,
		EndsIn: 90 * time.Second, Slots: []permit.Slot{{Group: permit.GroupAllCaches}, {Group: permit.GroupFirstCacheZone + 1, Number: 2}},
		Body: "x y"}
	answer := appendChecksum(appendLease(appendAnswer(4, 1, 77), &lease, 1500*time.Millisecond))
	m, err := parse(answer)
	if err != nil || len(m.leases) != 1 || !reflect.DeepEqual(m.leases[0], wireLease{lease, 1500 * time.Millisecond}) {
		f.Fatalf("%v: %+v", err, m)
	}
	for _, b := range [][]byte{answer, appendAnnouncement(1, 2, 3), appendPull(1, 0, 4, 5)} {
		for i := range b {
			b[i] ^= 0x10
			if _, err := parse(b); err == nil {
				f.Fatalf("a datagram with a corrupt byte %d was accepted", i)
			}
			b[i] ^= 0x10
		}
		f.Add(b[:len(b)-checksumBytes])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewStore(0, 0, 4, rand.New(rand.NewPCG(1, 1)).Uint64)
		s.Tick(0)
		for number := range s.openPulls {
			s.openPulls[77], s.openPulls[number] = 0, 0
		}
		s.Receive(time.Second, 4, b)
		s.Receive(time.Second, 1, appendChecksum(b))
		s.Tick(2 * time.Second)
		if m, err := parse(appendChecksum(b)); err == nil {
			for i := range m.leases {
				lease := &m.leases[i]
				again, size := parseLease(appendLease(nil, &lease.Lease, lease.remaining))
				if size == 0 || !reflect.DeepEqual(again, *lease) {
					t.Errorf("%+v becomes %+v when it is encoded and decoded again", lease, again)
				}
			}
		}
		for _, d := range s.Outgoing() {
			if d.To == 0 || d.To > 3 || len(d.Body) > maxDatagramBytes {
				t.Errorf("%d bytes to router %d", len(d.Body), d.To)
			}
		}
	})
}
