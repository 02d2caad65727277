package notes

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

// fleet is some routers with permits and notes, whose datagrams can be lost, late and doubled.
type fleet struct {
	now     time.Duration
	rng     *rand.Rand
	routers []*router
	fleet   permit.Bound
	caches  map[uint32]int // listed, with their zones
	down    map[uint32]bool
	cut     map[int]bool
	loss    float64
	late    float64 // part that takes up to 15 s
	wires   []wire
	sent    int

	silence bool // taken away: electors grant as soon as they have started
}

type router struct {
	agent  *permit.Agent
	keeper *Keeper
	begun  time.Duration
	dead   bool
	frozen time.Duration // stands still until then
}

type wire struct {
	at       time.Duration
	from, to int
	body     []byte
	note     bool
}

func newFleet(n int, seed uint64, bound permit.Bound, caches int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), fleet: bound, caches: map[uint32]int{}, down: map[uint32]bool{}, cut: map[int]bool{}}
	for i := range caches {
		f.caches[uint32(100+i)] = i % 2
	}
	for range n {
		f.routers = append(f.routers, &router{})
	}
	for i := range n {
		f.start(i)
	}
	f.run(permit.MostLease + time.Second)
	return f
}

// start begins a life of a router, which remembers nothing. Its clock begins anew, as a process's does.
func (f *fleet) start(i int) {
	a := &permit.Agent{Self: i, Of: len(f.routers), Fleet: permit.Bound{Number: 1}, Caches: f.fleet, Chance: f.rng.Uint64,
		See: func() permit.Sight {
			alive := 0
			for _, r := range f.routers {
				if !r.dead {
					alive++
				}
			}
			return permit.Sight{Alive: alive, Caches: f.caches, CachesDown: f.down}
		}}
	r := f.routers[i]
	*r = router{agent: a, begun: f.now}
	if f.silence {
		a.Start(-permit.MostLease)
	} else {
		a.Start(0)
	}
	r.keeper = NewKeeper(0, a)
}

func (f *fleet) clock(r *router) time.Duration { return f.now - r.begun }

// run goes on for a time, and gives the greatest number of slot caches that were out at once as any router believed.
func (f *fleet) run(over time.Duration) (most int) {
	const step = 20 * time.Millisecond
	for end := f.now + over; f.now < end; f.now += step {
		slices.SortStableFunc(f.wires, func(a, b wire) int { return cmp.Compare(a.at, b.at) })
		for len(f.wires) > 0 && f.wires[0].at <= f.now {
			w := f.wires[0]
			f.wires = f.wires[1:]
			r := f.routers[w.to]
			switch {
			case r.dead:
			case f.now < r.frozen: // waits in its socket
				w.at = r.frozen
				f.wires = append(f.wires, w)
			case w.note:
				r.keeper.Receive(f.clock(r), w.from, w.body)
			default:
				r.agent.Receive(f.clock(r), w.from, w.body)
			}
		}
		out := map[uint32]bool{}
		for i, r := range f.routers {
			if r.dead {
				continue
			}
			if f.now >= r.frozen {
				r.agent.Tick(f.clock(r))
				r.keeper.Tick(f.clock(r))
				for _, d := range r.agent.Out() {
					f.send(i, d.To, d.Body, false)
				}
				for _, d := range r.keeper.Out() {
					f.send(i, d.To, d.Body, true)
					f.sent++
				}
			}
			for key, h := range r.keeper.notes {
				if f.clock(r) < h.until && !h.Off {
					out[key.ID] = true
				}
			}
		}
		most = max(most, len(out))
	}
	return most
}

func (f *fleet) send(from, to int, body []byte, note bool) {
	if from != to && (f.cut[from] || f.cut[to] || f.rng.Float64() < f.loss) {
		return
	}
	at := f.now + time.Duration(f.rng.IntN(40))*time.Millisecond
	if f.rng.Float64() < f.late {
		at = f.now + time.Duration(f.rng.IntN(15000))*time.Millisecond
		f.wires = append(f.wires, wire{f.now, from, to, body, note}) // and once in time
	}
	f.wires = append(f.wires, wire{at, from, to, body, note})
}

// ask has a router drain a slot cache, and says why it may not.
func (f *fleet) ask(i int, cache uint32, over time.Duration) error {
	r := f.routers[i]
	return r.keeper.Ask(f.clock(r), Key{Cache, cache}, r.agent.CacheGroups(f.caches[cache]), "x", over)
}

func (f *fleet) undo(i int, cache uint32) error {
	r := f.routers[i]
	return r.keeper.Undo(f.clock(r), Key{Cache, cache})
}

// out are the slot caches that a router believes to be out.
func (f *fleet) out(i int) (list []uint32) {
	for _, n := range f.routers[i].keeper.All(f.clock(f.routers[i])) {
		list = append(list, n.ID)
	}
	return list
}

func (f *fleet) all(want ...uint32) error {
	for i, r := range f.routers {
		if got := f.out(i); !r.dead && !reflect.DeepEqual(got, want) {
			return fmt.Errorf("router %d believes %v to be out, not %v", i, got, want)
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

// A slot cache that one router was asked to drain is out for all within a second, and back as soon, whoever is asked.
func TestKnown(t *testing.T) {
	for _, n := range []int{2, 5, 60, 300} {
		f := newFleet(n, 1, permit.Bound{Number: 1}, 10)
		f.sent = 0
		f.run(10 * time.Second)
		if f.sent > 0 {
			t.Errorf("%d routers: %d datagrams where nothing is to be said", n, f.sent)
		}
		must(t, f.ask(1, 103, time.Hour))
		f.run(time.Second)
		must(t, f.all(103))
		f.sent = 0
		f.run(time.Minute)
		must(t, f.all(103))
		if each := float64(f.sent) / 60 / float64(n); each > 12 {
			t.Errorf("%d routers: %.1f datagrams a second and router", n, each)
		} else {
			t.Logf("%d routers: %.1f datagrams a second and router while one is out", n, each)
		}
		must(t, f.undo(n-1, 103))
		f.run(time.Second)
		must(t, f.all())
	}
}

// No more are out than the bound allows, and what is down without a permit counts.
func TestBound(t *testing.T) {
	f := newFleet(5, 2, permit.Bound{Part: 0.2}, 10)
	for i := range 4 {
		must(t, f.ask(i, uint32(100+i), time.Hour))
	}
	if most := f.run(5 * time.Second); most != 2 {
		t.Errorf("%d of 10 are out, 2 may be", most)
	}
	f = newFleet(5, 2, permit.Bound{Number: 2}, 10)
	f.down[109] = true
	must(t, f.ask(0, 100, time.Hour))
	must(t, f.ask(1, 101, time.Hour))
	must(t, f.ask(2, 109, time.Hour)) // is down itself
	if f.run(5 * time.Second); len(f.out(0)) != 1 && len(f.out(0)) != 2 {
		t.Errorf("%v are out beside one that is down", f.out(0))
	}
	if _, why := f.routers[1].keeper.Stand(f.clock(f.routers[1]), Key{Cache, 101}); why == "" {
		t.Error("no reason for a refusal")
	}
}

// A drain outlives the router that was asked, and its restart; it ends at its time; a minority begins none and keeps none.
func TestOwners(t *testing.T) {
	f := newFleet(5, 3, permit.Bound{Number: 1}, 10)
	must(t, f.ask(4, 100, time.Minute))
	f.run(2 * time.Second)
	f.routers[4].dead = true
	for range 15 {
		f.run(time.Second)
		must(t, f.all(100))
	}
	f.start(4)
	f.run(2 * time.Second)
	must(t, f.all(100))
	for range 3 { // killed again and again
		f.start(0)
		f.run(2 * time.Second)
		must(t, f.all(100))
	}
	f.run(time.Minute)
	must(t, f.all())

	f = newFleet(5, 4, permit.Bound{Number: 1}, 10)
	must(t, f.ask(3, 100, time.Hour))
	f.run(2 * time.Second)
	f.cut[0], f.cut[1], f.cut[2] = true, true, true // each for itself: no majority anywhere
	f.run(permit.MostLease)
	must(t, f.all())
	must(t, f.ask(4, 101, time.Hour))
	f.run(permit.MostLease)
	must(t, f.all())
}

// What can't be is told, with who stands in the way.
func TestRefused(t *testing.T) {
	f := newFleet(5, 5, permit.Bound{Number: 1}, 10)
	if err := f.undo(0, 100); !errors.Is(err, ErrNone) {
		t.Errorf("undone what nobody has done: %v", err)
	}
	must(t, f.ask(1, 100, time.Hour))
	var taken *ErrTaken
	if err := f.ask(1, 100, time.Hour); !errors.As(err, &taken) || taken.Router != 1 {
		t.Errorf("asked twice: %v", err)
	}
	f.run(time.Second)
	if err := f.ask(2, 100, time.Hour); !errors.As(err, &taken) || taken.Router != 1 {
		t.Errorf("asked of another one: %v", err)
	}
	must(t, f.ask(2, 101, time.Hour))
	must(t, f.undo(2, 101)) // asked for, not granted
	must(t, f.undo(2, 100)) // another one's
	f.run(time.Second)
	must(t, f.all())
	must(t, f.ask(3, 100, time.Hour)) // anew, at once
	f.run(12 * time.Second)
	must(t, f.all(100))
}

// chaos plays one course of events drawn from a seed, and gives the most that were out at once.
func chaos(seed uint64, bound int) (most int) {
	f := newFleet(5, seed, permit.Bound{Number: bound}, 6)
	f.loss, f.late = f.rng.Float64()*0.3, f.rng.Float64()*0.2
	for range 40 {
		i, cache := f.rng.IntN(5), uint32(100+f.rng.IntN(6))
		switch r := f.routers[i]; f.rng.IntN(8) {
		case 0, 1, 2:
			if !r.dead && f.now >= r.frozen {
				f.ask(i, cache, time.Duration(1+f.rng.IntN(60))*time.Second)
			}
		case 3:
			if !r.dead && f.now >= r.frozen {
				f.undo(i, cache)
			}
		case 4:
			r.dead = true
		case 5:
			f.start(i)
		case 6:
			if f.cut[i] = !f.cut[i]; f.rng.IntN(3) == 0 {
				clear(f.cut)
			}
		case 7:
			r.frozen = f.now + time.Duration(f.rng.IntN(15000))*time.Millisecond
		}
		most = max(most, f.run(time.Duration(f.rng.IntN(5000))*time.Millisecond))
	}
	return most
}

var courses = flag.Uint64("courses", 60, "how many courses of events TestChaos plays")

// However routers die, restart, stand still and are cut off, and datagrams are lost, late and doubled, no more slot caches are
// out by the word of anybody than may be.
func TestChaos(t *testing.T) {
	reached := 0
	for seed := range *courses {
		bound := 1 + int(seed%2)
		most := chaos(seed, bound)
		if most > bound {
			t.Errorf("seed %d: %d are out at once, %d may be", seed, most, bound)
		}
		if most == bound {
			reached++
		}
	}
	if reached < int(*courses*2/3) {
		t.Errorf("the bound was reached in %d of %d", reached, *courses)
	}
}

// Electors that remember nothing are silent for the longest lease. Those that grant at once are caught.
func TestSilence(t *testing.T) {
	for _, broken := range []bool{false, true} {
		f := newFleet(5, 6, permit.Bound{Number: 1}, 10)
		f.silence = broken
		must(t, f.ask(4, 100, time.Hour))
		f.run(3 * time.Second)
		f.cut[4] = true // the others hear nothing of what it holds
		for i := range 3 {
			f.start(i)
		}
		must(t, f.ask(0, 101, time.Hour))
		if most := f.run(permit.MostLease); most > 1 != broken {
			t.Errorf("broken %v: %d are out at once", broken, most)
		}
	}
}

// Datagrams are read as they were written, and no others are.
func FuzzParse(f *testing.F) {
	n := Note{Key: Key{Cache, 0x5be2a07c}, Epoch: 3<<16 | 1, Owner: 4, N: 9, Permit: 1<<60 | 7, Off: true, Ends: 90 * time.Second,
		Slots: []permit.Slot{{Group: permit.AllCaches}, {Group: permit.FirstCacheZone + 1, Number: 2}}, Body: "x y"}
	whole := seal(appendNote(appendReply(4, 1, 77), &n, 1500*time.Millisecond))
	m, err := parse(whole)
	if err != nil || len(m.notes) != 1 || !reflect.DeepEqual(m.notes[0], wireNote{n, 1500 * time.Millisecond}) {
		f.Fatalf("%v: %+v", err, m)
	}
	for _, b := range [][]byte{whole, appendHint(1, 2, 3), appendPull(1, 0, 4, 5)} {
		for i := range b {
			b[i] ^= 0x10
			if _, err := parse(b); err == nil {
				f.Fatalf("spoilt at %d, and read", i)
			}
			b[i] ^= 0x10
		}
		f.Add(b[:len(b)-checkBytes])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewStore(0, 0, 4, rand.New(rand.NewPCG(1, 1)).Uint64)
		s.Tick(0)
		for number := range s.pulls {
			s.pulls[77], s.pulls[number] = 0, 0
		}
		s.Receive(time.Second, 4, b)
		s.Receive(time.Second, 1, seal(b))
		s.Tick(2 * time.Second)
		if m, err := parse(seal(b)); err == nil {
			for i := range m.notes {
				n := &m.notes[i]
				again, size := parseNote(appendNote(nil, &n.Note, n.left))
				if size == 0 || !reflect.DeepEqual(again, *n) {
					t.Errorf("%+v is written as %+v", n, again)
				}
			}
		}
		for _, d := range s.Out() {
			if d.To == 0 || d.To > 3 || len(d.Body) > mostBytes {
				t.Errorf("%d bytes to %d", len(d.Body), d.To)
			}
		}
	})
}
