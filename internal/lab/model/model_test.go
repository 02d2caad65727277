package model

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
	"hoptiller/internal/unit"
)

// What falls due at one time happens in the order in which it was asked for; nothing happens early or never.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(t, "delays")
		type step struct {
			at time.Duration
			n  int
		}
		var q Queue
		var got, want []step
		for n, d := range delays {
			at := time.Duration(d)
			want = append(want, step{at, n})
			q.At(at, func() { got = append(got, step{q.Now(), n}) })
		}
		slices.SortStableFunc(want, func(a, b step) int { return int(a.at - b.at) })
		q.RunUntil(5)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// The store drops what was used longest ago, and no more than it must.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(10)
		var order []uint64 // those used last at the end
		sizes := map[uint64]float64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := uint64(rapid.IntRange(0, 9).Draw(t, "key"))
			at := slices.Index(order, key)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.void(key)
				if at >= 0 {
					order = slices.Delete(order, at, at+1)
				}
			case 1:
				size := float64(rapid.IntRange(1, 11).Draw(t, "size"))
				s.put(key, size)
				if at >= 0 {
					order = slices.Delete(order, at, at+1)
				}
				if size <= 10 {
					order, sizes[key] = append(order, key), size
				}
				for sum := 0.0; ; order = order[1:] {
					if sum = 0; len(order) > 0 {
						for _, k := range order {
							sum += sizes[k]
						}
					}
					if sum <= 10 {
						break
					}
				}
			default:
				if s.get(key) != (at >= 0) {
					t.Fatalf("key %d: kept %v, want %v", key, at < 0, at >= 0)
				}
				if at >= 0 {
					order = append(slices.Delete(order, at, at+1), key)
				}
			}
		}
	})
}

// bench is a world without clients, with one router that a test plays.
type bench struct {
	*World
	events []string
}

func (b *bench) Take(*Try) bool                 { return true }
func (b *bench) Leave(*Try)                     {}
func (b *bench) Kill(int)                       {}
func (b *bench) Stop(int)                       {}
func (b *bench) Start(int)                      {}
func (b *bench) Ended(*Op)                      {}
func (b *bench) Fetched(*Call)                  {}
func (b *bench) Ran(*Call)                      { b.events = append(b.events, "ran") }
func (b *bench) FellOver(*Fall)                 { b.events = append(b.events, "fell") }
func (b *bench) OriginStopped(float64, float64) { b.events = append(b.events, "stopped") }
func (b *bench) Listed(Member)                  {}
func (b *bench) Fault(string)                   {}
func (b *bench) Opened(*Conn)                   { b.events = append(b.events, "opened") }
func (b *bench) Refused(*Conn)                  { b.events = append(b.events, "refused") }
func (b *bench) Lost(*Conn)                     { b.events = append(b.events, "lost") }
func (b *bench) Answered(c *Call, a Answer) {
	b.events = append(b.events, [...]string{"served", "missed", "failed", "busy", "stale"}[a])
}

func newBench(t *testing.T, change func(*Day)) *bench {
	day := Prairie()
	day.Load.Level, day.Warm = 0.001, 0
	day.Kinds[0].ErrorRate, day.Kinds[1].ErrorRate = 0, 0
	if change != nil {
		change(&day)
	}
	if err := day.Check(); err != nil {
		t.Fatal(err)
	}
	b := &bench{}
	b.World = New(&day, b, b, b)
	return b
}

func (b *bench) run(d time.Duration) { b.RunUntil(b.Now() + d) }

func (b *bench) dial(server int) *Conn {
	c := b.Dial(0, server, b)
	b.run(time.Second)
	return c
}

func (b *bench) call(c *Conn, op *Op) *Call {
	call := &Call{Try: &Try{Op: op}}
	c.Send(call)
	return call
}

func (b *bench) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(b.events, want) {
		t.Fatalf("got %v, want %v", b.events, want)
	}
	b.events = nil
}

// Answers on a connection come in order: a quick one waits for a slow one before it.
func TestAnswersInOrder(t *testing.T) {
	b := newBench(t, nil)
	c := b.Dial(0, 1, b)
	b.run(time.Second)
	b.expect(t, "opened")
	b.Caches[0].store.put(1, 1)
	b.call(c, &Op{Key: 1, Work: 2})
	b.call(c, &Op{Key: 2, Work: 0.01})
	b.run(time.Second)
	b.expect(t)
	b.run(3 * time.Second)
	b.expect(t, "served", "missed")
}

// To close a connection stops the work on it, and what waits begins at once.
func TestCancelByClosing(t *testing.T) {
	b := newBench(t, func(d *Day) { d.Kinds = d.Kinds[:1]; d.Kinds[0].Cores = 1; d.Kinds[0].Queue = 2 })
	first, second := b.Dial(0, 1, b), b.Dial(0, 1, b)
	b.run(time.Second)
	b.events = nil
	for key := range uint64(9) {
		b.Caches[0].store.put(key, 1)
	}
	b.call(first, &Op{Key: 1, Work: 100})
	b.run(100 * time.Millisecond)
	b.call(second, &Op{Key: 2, Work: 0.1})
	b.call(second, &Op{Key: 3, Work: 0.1})
	b.call(second, &Op{Key: 4, Work: 0.1})
	b.run(time.Second)
	b.expect(t) // the last was turned away, but its answer comes after those before it
	first.Close()
	b.run(time.Second)
	b.expect(t, "served", "served", "busy")
	if b.Waste < 0.5 {
		t.Errorf("waste %.2f", b.Waste)
	}
}

// A process that dies while a connection comes up refuses it; one that has vanished says nothing.
func TestCrashInHandshake(t *testing.T) {
	b := newBench(t, nil)
	b.Dial(0, 1, b)
	b.After(100*time.Microsecond, func() { b.Caches[0].halt() })
	b.run(time.Second)
	if !slices.Contains([]string{"refused", "lost"}, b.events[0]) || len(b.events) != 1 {
		t.Errorf("got %v", b.events)
	}
	b.events = nil
	b.Caches[1].mute = true
	b.Dial(0, 2, b)
	b.run(time.Second)
	b.expect(t)
}

// A cold cache bears 2.5 times what it can do for 1.5 s, no more; a warm one turns away what is too much.
func TestFallsOver(t *testing.T) {
	for _, before := range []bool{true, false} {
		b := newBench(t, nil)
		c := b.Caches[0]
		c.start(before)
		conn := b.Dial(0, 1, b)
		b.run(time.Second)
		b.events = nil
		for range 40 {
			b.call(conn, &Op{Key: 1, Work: 1})
		}
		b.run(100 * time.Millisecond)
		if fell := slices.Contains(b.events, "fell"); fell == before || c.Up() != before {
			t.Errorf("ran before %v: fell %v", before, fell)
		}
		b.run(20 * time.Second) // the directory learns of its death, as of any other
		if listed := b.Member(1).Phase == Ready; listed != before {
			t.Errorf("ran before %v: listed %v", before, listed)
		}
	}
}

// A new cache takes over the address of one that has left; who still looks for the old one finds the new one there,
// and an id that is its own tells them apart.
func TestAddressTakenOver(t *testing.T) {
	b := newBench(t, func(d *Day) {
		d.Faults = []Fault{{Kind: "churn", For: unit.Duration(30 * time.Second), Gap: unit.Duration(4 * time.Second)}}
		d.Length = unit.Duration(60 * time.Second)
	})
	b.run(60 * time.Second)
	taken := 0
	for _, c := range b.Caches[10:] {
		if c.Addr == c.index {
			continue
		}
		taken++
		old := b.Caches[c.Addr-1]
		if b.Member(c.index).ID == b.Member(old.index).ID || old.up {
			t.Errorf("cache %d at the address of %d: same id, or both run", c.index, old.index)
		}
		if b.occupants[c.Addr] == &c.host {
			b.events = nil
			b.call(b.dial(old.index), &Op{Key: 1, Work: 0.01})
			b.run(5 * time.Second)
			b.expect(t, "opened", "missed")
		}
	}
	if taken == 0 {
		t.Errorf("no address of %d new caches is an old one", len(b.Caches)-10)
	}
}

// Asked more than three times what it can do, the origin stops, and comes back.
func TestOriginStops(t *testing.T) {
	b := newBench(t, nil)
	conn := b.Dial(0, 0, b)
	b.run(time.Second)
	b.events = nil
	for range int(3*3*b.Origin.Capacity) + 2 {
		b.call(conn, &Op{Key: 1})
	}
	b.run(100 * time.Millisecond)
	if b.Origin.up || b.Origin.Stops != 1 || !slices.Contains(b.events, "stopped") {
		t.Errorf("up %v after %d stops, %v", b.Origin.up, b.Origin.Stops, b.events[:min(5, len(b.events))])
	}
	if b.run(6 * time.Second); !b.Origin.up {
		t.Error("it does not come back")
	}
}

// What has waited too long at the origin is given up, and never runs.
func TestStaleFetch(t *testing.T) {
	b := newBench(t, func(d *Day) { d.Origin.Headroom = 1000; d.Origin.Queue = unit.Duration(time.Second) })
	b.Origin.slow = 100
	conn := b.Dial(0, 0, b)
	b.run(time.Second)
	b.events = nil
	for id := range uint64(30) {
		b.call(conn, &Op{ID: id, Class: 1, Write: true})
	}
	b.run(10 * time.Minute)
	var ran, stale int
	for _, e := range b.events {
		switch e {
		case "ran":
			ran++
		case "stale":
			stale++
		}
	}
	if ran == 0 || stale == 0 || ran+stale > 30 {
		t.Errorf("%d ran, %d too late: %v", ran, stale, b.events)
	}
}

// A larger object takes more work, and the mean stays.
func TestSizeWork(t *testing.T) {
	b := newBench(t, func(d *Day) { d.Load.SizeWork, d.Load.Keys = 1, 2000 })
	small, large, work, n := 0.0, 0.0, 0.0, 0
	for range 40000 {
		op := b.clients.draw()
		if op.Write {
			continue
		}
		n++
		work += op.Work
		if op.Size < 0.5 {
			small = max(small, op.Size)
		}
		if op.Size > 2 {
			large += op.Work / op.Size
		}
	}
	if mean := work / float64(n) / b.meanWork; mean < 0.85 || mean > 1.15 || small == 0 || large == 0 {
		t.Errorf("mean work %.2f of the stated", mean)
	}
}

// A write is carried out once, voids every kept copy, and a keyed one that is repeated is dropped. A value is
// stored where its request missed.
func TestWritesAndFetches(t *testing.T) {
	b := newBench(t, func(d *Day) { d.Origin.Headroom = 1000 })
	conn := b.Dial(0, 0, b)
	b.run(20 * time.Second)
	b.Caches[0].store.put(5, 1)
	cancel := &Op{ID: 9, Key: 5, Class: 2, Write: true}
	b.call(conn, cancel)
	b.call(conn, cancel)
	b.run(20 * time.Second)
	b.expect(t, "opened", "ran", "served", "served")
	if b.Caches[0].store.get(5) || cancel.Runs != 1 {
		t.Errorf("the copy outlives the write, or it ran %d times", cancel.Runs)
	}
	read := &Call{Try: &Try{Op: &Op{Key: 6, Size: 1}, missedAt: []*Cache{b.Caches[2]}}}
	conn.Send(read)
	b.run(20 * time.Second)
	if !b.Caches[2].store.get(6) || b.Caches[1].store.get(6) {
		t.Error("the value is not where its request missed")
	}
}

// A watch tells what changes, breaks when the directory goes down, and what was missed comes with the next one.
func TestDirectory(t *testing.T) {
	b := newBench(t, nil)
	var told []Update
	b.Directory.Join(0, b.Directory.Version(), func(u Update) { told = append(told, u) })
	b.Directory.Ask(0, false, true, nil)
	b.run(time.Second)
	m := b.Directory.entry(1)
	m.Phase = Draining
	b.Directory.know(m)
	b.run(time.Second)
	b.Directory.outage(true)
	m.Phase = Gone
	b.Directory.know(m)
	b.run(time.Second)
	b.Directory.Ask(0, false, true, nil)
	b.run(time.Second)
	b.Directory.outage(false)
	b.Directory.Ask(0, false, true, nil)
	b.run(time.Second)
	b.Directory.Ask(0, true, false, nil)
	b.run(time.Second)
	if len(told) != 6 || len(told[0].Members) != 0 || told[1].Members[0].Phase != Draining || !told[2].Failed ||
		!told[3].Failed || told[4].Members[0].Phase != Gone || !told[5].Full || len(told[5].Members) != 10 {
		t.Errorf("told %+v", told)
	}
}

// A cut holds what is sent until it mends; a message between routers is lost.
func TestCut(t *testing.T) {
	b := newBench(t, nil)
	b.cuts = []cut{{0, 1, 2 * time.Second}}
	heard := false
	b.Tell(0, 1, func() { heard = true })
	b.Dial(0, 1, b) // server 1 is in zone 1
	b.run(1900 * time.Millisecond)
	b.expect(t)
	b.run(time.Second)
	b.expect(t, "opened")
	if heard {
		t.Error("the message came through")
	}
}

// What is impossible is told by name.
func TestCheckDay(t *testing.T) {
	for want, change := range map[string]func(*Day){
		"fleet.caches is 0: 1 to 20000 is possible":         func(d *Day) { d.Fleet.Caches = 0 },
		"class 2: aim is 9: 0.001 to 5 is possible":         func(d *Day) { d.Classes[1].Aim = unit.Duration(9 * time.Second) },
		"fault 1: zone is 7: the day has 3, counted from 0": func(d *Day) { d.Faults = []Fault{{Kind: "zone_cut", Zone: 7}} },
		"no class of request":                               func(d *Day) { d.Classes = nil },
	} {
		day := Prairie()
		change(&day)
		if err := day.Check(); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// The approximation of what a memory keeps agrees with a store that is asked.
func TestHits(t *testing.T) {
	z, r, s := NewZipf(600, 1, 3), Stream(1, "test", 0), newStore(300)
	hits, n := 0, 200000
	for range n {
		key := uint64(z.Rank(r.Float64()))
		if s.get(key) {
			hits++
		} else {
			s.put(key, 1)
		}
	}
	if got, want := float64(hits)/float64(n), z.Hits(300); got < want-0.01 || got > want+0.01 {
		t.Errorf("hits %.3f, approximation %.3f", got, want)
	}
}
