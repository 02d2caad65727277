package model

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "hoptiller/internal/draws"
	"hoptiller/internal/unit"
)

// TestQueueOrder checks that steps due at the same time run in the order in which they were scheduled, and
// that every step runs when it is due.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(t, "delays")
		type step struct {
			at     time.Duration
			number int
		}
		var q Queue
		var got, want []step
		for number, delay := range delays {
			at := time.Duration(delay)
			want = append(want, step{at, number})
			q.At(at, func() { got = append(got, step{q.Now(), number}) })
		}
		slices.SortStableFunc(want, func(a, w step) int { return int(a.at - w.at) })
		q.RunUntil(5)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestStore checks that the store evicts the least recently used objects, and no more of them than necessary.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := newStore(10)
		var recency []uint64 // the most recently used at the end
		sizes := map[uint64]float64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := uint64(rapid.IntRange(0, 9).Draw(t, "key"))
			position := slices.Index(recency, key)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				cache.remove(key)
				if position >= 0 {
					recency = slices.Delete(recency, position, position+1)
				}
			case 1:
				size := float64(rapid.IntRange(1, 11).Draw(t, "size"))
				cache.put(key, size)
				if position >= 0 {
					recency = slices.Delete(recency, position, position+1)
				}
				if size <= 10 {
					recency, sizes[key] = append(recency, key), size
				}
				for sum := 0.0; ; recency = recency[1:] {
					if sum = 0; len(recency) > 0 {
						for _, k := range recency {
							sum += sizes[k]
						}
					}
					if sum <= 10 {
						break
					}
				}
			default:
				if cache.lookUp(key) != (position >= 0) {
					t.Fatalf("key %d: stored %v, want %v", key, position < 0, position >= 0)
				}
				if position >= 0 {
					recency = append(slices.Delete(recency, position, position+1), key)
				}
			}
		}
	})
}

// testWorld is a world without clients and with one router, which the test itself plays.
type testWorld struct {
	*World
	events []string
}

func (w *testWorld) Deliver(*Try) bool              { return true }
func (w *testWorld) ClientDisconnected(*Try)        {}
func (w *testWorld) Kill(int)                       {}
func (w *testWorld) Stop(int)                       {}
func (w *testWorld) Start(int)                      {}
func (w *testWorld) OperationEnded(*Operation)      {}
func (w *testWorld) OriginCalled(*Call)             {}
func (w *testWorld) WriteExecuted(*Call)            { w.events = append(w.events, "ran") }
func (w *testWorld) CacheCollapsed(*Collapse)       { w.events = append(w.events, "fell") }
func (w *testWorld) OriginStopped(float64, float64) { w.events = append(w.events, "stopped") }
func (w *testWorld) Listed(Member)                  {}
func (w *testWorld) FaultChanged(string)            {}
func (w *testWorld) Opened(*Conn)                   { w.events = append(w.events, "opened") }
func (w *testWorld) Refused(*Conn)                  { w.events = append(w.events, "refused") }
func (w *testWorld) Closed(*Conn)                   { w.events = append(w.events, "lost") }
func (w *testWorld) Answered(c *Call, a CallResult) {
	w.events = append(w.events, [...]string{"served", "missed", "failed", "busy", "stale"}[a])
}

func newTestWorld(t *testing.T, change func(*Day)) *testWorld {
	day := DefaultDay()
	day.Load.Level, day.WarmUp = 0.001, 0
	day.Kinds[0].ErrorRate, day.Kinds[1].ErrorRate = 0, 0
	if change != nil {
		change(&day)
	}
	if err := day.Validate(); err != nil {
		t.Fatal(err)
	}
	w := &testWorld{}
	w.World = New(&day, w, w, w)
	return w
}

func (w *testWorld) run(d time.Duration) { w.RunUntil(w.Now() + d) }

func (w *testWorld) dial(server int) *Conn {
	c := w.Dial(0, server, w)
	w.run(time.Second)
	return c
}

func (w *testWorld) send(c *Conn, op *Operation) *Call {
	call := &Call{Try: &Try{Op: op}}
	c.Send(call)
	return call
}

func (w *testWorld) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(w.events, want) {
		t.Fatalf("got %v, want %v", w.events, want)
	}
	w.events = nil
}

// TestAnswersInOrder checks that answers on a connection come in order: a quick one waits for the slow one
// before it.
func TestAnswersInOrder(t *testing.T) {
	w := newTestWorld(t, nil)
	c := w.Dial(0, 1, w)
	w.run(time.Second)
	w.expect(t, "opened")
	w.Caches[0].store.put(1, 1)
	w.send(c, &Operation{Key: 1, Work: 2})
	w.send(c, &Operation{Key: 2, Work: 0.01})
	w.run(time.Second)
	w.expect(t)
	w.run(3 * time.Second)
	w.expect(t, "served", "missed")
}

// TestCloseCancelsWork checks that closing a connection stops the work on it, and that waiting work then starts
// at once.
func TestCloseCancelsWork(t *testing.T) {
	w := newTestWorld(t, func(d *Day) { d.Kinds = d.Kinds[:1]; d.Kinds[0].Cores = 1; d.Kinds[0].Queue = 2 })
	first, second := w.Dial(0, 1, w), w.Dial(0, 1, w)
	w.run(time.Second)
	w.events = nil
	for key := range uint64(9) {
		w.Caches[0].store.put(key, 1)
	}
	w.send(first, &Operation{Key: 1, Work: 100})
	w.run(100 * time.Millisecond)
	w.send(second, &Operation{Key: 2, Work: 0.1})
	w.send(second, &Operation{Key: 3, Work: 0.1})
	w.send(second, &Operation{Key: 4, Work: 0.1})
	w.run(time.Second)
	w.expect(t) // the last call was rejected, but its answer comes after those before it
	first.Close()
	w.run(time.Second)
	w.expect(t, "served", "served", "busy")
	if w.WastedWork < 0.5 {
		t.Errorf("wasted work %.2f", w.WastedWork)
	}
}

// TestCrashInHandshake checks that a process that dies during a handshake refuses the connection, and that a
// vanished one does not respond.
func TestCrashInHandshake(t *testing.T) {
	w := newTestWorld(t, nil)
	w.Dial(0, 1, w)
	w.After(100*time.Microsecond, func() { w.Caches[0].halt() })
	w.run(time.Second)
	if !slices.Contains([]string{"refused", "lost"}, w.events[0]) || len(w.events) != 1 {
		t.Errorf("got %v", w.events)
	}
	w.events = nil
	w.Caches[1].vanished = true
	w.Dial(0, 2, w)
	w.run(time.Second)
	w.expect(t)
}

// TestColdCacheCollapses checks that a cold cache tolerates 2.5 times its capacity for 1.5 s and collapses above that,
// while a warm cache rejects the excess.
func TestColdCacheCollapses(t *testing.T) {
	for _, beforeDay := range []bool{true, false} {
		w := newTestWorld(t, nil)
		c := w.Caches[0]
		c.start(beforeDay)
		conn := w.Dial(0, 1, w)
		w.run(time.Second)
		w.events = nil
		for range 40 {
			w.send(conn, &Operation{Key: 1, Work: 1})
		}
		w.run(100 * time.Millisecond)
		if collapsed := slices.Contains(w.events, "fell"); collapsed == beforeDay || c.IsRunning() != beforeDay {
			t.Errorf("running before the day %v: collapsed %v", beforeDay, collapsed)
		}
		w.run(20 * time.Second) // discovery learns of this death as of any other
		if listed := w.Member(1).Phase == Ready; listed != beforeDay {
			t.Errorf("running before the day %v: listed %v", beforeDay, listed)
		}
	}
}

// TestAddressTakenOver checks that a new cache may take over the address of one that has left. A router that
// still uses the old address reaches the new cache, and the different IDs tell the two apart.
func TestAddressTakenOver(t *testing.T) {
	w := newTestWorld(t, func(d *Day) {
		d.Faults = []Fault{{Kind: "churn", Duration: unit.Duration(30 * time.Second), Interval: unit.Duration(4 * time.Second)}}
		d.Length = unit.Duration(60 * time.Second)
	})
	w.run(60 * time.Second)
	reused := 0
	for _, c := range w.Caches[10:] {
		if c.Addr == c.index {
			continue
		}
		reused++
		old := w.Caches[c.Addr-1]
		if w.Member(c.index).ID == w.Member(old.index).ID || old.running {
			t.Errorf("cache %d at the address of %d: same ID, or both run", c.index, old.index)
		}
		if w.occupants[c.Addr] == &c.host {
			w.events = nil
			w.send(w.dial(old.index), &Operation{Key: 1, Work: 0.01})
			w.run(5 * time.Second)
			w.expect(t, "opened", "missed")
		}
	}
	if reused == 0 {
		t.Errorf("none of %d new caches has reused an address", len(w.Caches)-10)
	}
}

// TestOriginStops checks that the origin stops at more than three times its capacity, and starts again.
func TestOriginStops(t *testing.T) {
	w := newTestWorld(t, nil)
	conn := w.Dial(0, 0, w)
	w.run(time.Second)
	w.events = nil
	for range int(3*3*w.Origin.Capacity) + 2 {
		w.send(conn, &Operation{Key: 1})
	}
	w.run(100 * time.Millisecond)
	if w.Origin.running || w.Origin.StopCount != 1 || !slices.Contains(w.events, "stopped") {
		t.Errorf("up %v after %d stops, events %v", w.Origin.running, w.Origin.StopCount, w.events[:min(5, len(w.events))])
	}
	if w.run(6 * time.Second); !w.Origin.running {
		t.Error("the origin does not start again")
	}
}

// TestStaleCalls checks that the origin drops calls that have waited too long, and never executes them.
func TestStaleCalls(t *testing.T) {
	w := newTestWorld(t, func(d *Day) { d.Origin.Headroom = 1000; d.Origin.Queue = unit.Duration(time.Second) })
	w.Origin.slowdown = 100
	conn := w.Dial(0, 0, w)
	w.run(time.Second)
	w.events = nil
	for id := range uint64(30) {
		w.send(conn, &Operation{ID: id, Class: 1, Write: true})
	}
	w.run(10 * time.Minute)
	var ran, stale int
	for _, e := range w.events {
		switch e {
		case "ran":
			ran++
		case "stale":
			stale++
		}
	}
	if ran == 0 || stale == 0 || ran+stale > 30 {
		t.Errorf("%d executed, %d stale: %v", ran, stale, w.events)
	}
}

// TestSizeWork checks that a larger object takes more work and that the mean work stays the same.
func TestSizeWork(t *testing.T) {
	w := newTestWorld(t, func(d *Day) { d.Load.SizeWork, d.Load.Keys = 1, 2000 })
	small, large, work, reads := 0.0, 0.0, 0.0, 0
	for range 40000 {
		op := w.clients.drawOperation()
		if op.Write {
			continue
		}
		reads++
		work += op.Work
		if op.Size < 0.5 {
			small = max(small, op.Size)
		}
		if op.Size > 2 {
			large += op.Work / op.Size
		}
	}
	if mean := work / float64(reads) / w.meanWork; mean < 0.85 || mean > 1.15 || small == 0 || large == 0 {
		t.Errorf("mean work is %.2f of the configured one", mean)
	}
}

// TestWritesAndFetches checks that a write is executed once and removes every cached copy, that a repeated
// keyed write is dropped, and that a value is stored where its request missed.
func TestWritesAndFetches(t *testing.T) {
	w := newTestWorld(t, func(d *Day) { d.Origin.Headroom = 1000 })
	conn := w.Dial(0, 0, w)
	w.run(20 * time.Second)
	w.Caches[0].store.put(5, 1)
	cancel := &Operation{ID: 9, Key: 5, Class: 2, Write: true}
	w.send(conn, cancel)
	w.send(conn, cancel)
	w.run(20 * time.Second)
	w.expect(t, "opened", "ran", "served", "served")
	if w.Caches[0].store.lookUp(5) || cancel.Executions != 1 {
		t.Errorf("the cached copy survived the write, or the write ran %d times", cancel.Executions)
	}
	read := &Call{Try: &Try{Op: &Operation{Key: 6, Size: 1}, missedCaches: []*Cache{w.Caches[2]}}}
	conn.Send(read)
	w.run(20 * time.Second)
	if !w.Caches[2].store.lookUp(6) || w.Caches[1].store.lookUp(6) {
		t.Error("the value is not stored exactly where its request missed")
	}
}

// TestDiscoveryWatch checks that a watch reports changes, that it breaks when discovery goes down, and that the
// next watch reports the changes missed meanwhile.
func TestDiscoveryWatch(t *testing.T) {
	w := newTestWorld(t, nil)
	var updates []ListUpdate
	w.Discovery.Register(0, w.Discovery.Version(), func(u ListUpdate) { updates = append(updates, u) })
	w.Discovery.Request(0, false, true, nil)
	w.run(time.Second)
	m := w.Discovery.member(1)
	m.Phase = Draining
	w.Discovery.setMember(m)
	w.run(time.Second)
	w.Discovery.setDown(true)
	m.Phase = Removed
	w.Discovery.setMember(m)
	w.run(time.Second)
	w.Discovery.Request(0, false, true, nil)
	w.run(time.Second)
	w.Discovery.setDown(false)
	w.Discovery.Request(0, false, true, nil)
	w.run(time.Second)
	w.Discovery.Request(0, true, false, nil)
	w.run(time.Second)
	if len(updates) != 6 || len(updates[0].Members) != 0 || updates[1].Members[0].Phase != Draining || !updates[2].Failed ||
		!updates[3].Failed || updates[4].Members[0].Phase != Removed || !updates[5].Complete || len(updates[5].Members) != 10 {
		t.Errorf("updates %+v", updates)
	}
}

// TestZoneCut checks that a cut between zones delays what is sent until the cut ends, and that a message between
// routers is lost.
func TestZoneCut(t *testing.T) {
	w := newTestWorld(t, nil)
	w.cuts = []zoneCut{{0, 1, 2 * time.Second}}
	received := false
	w.SendPeerMessage(0, 1, func() { received = true })
	w.Dial(0, 1, w) // server 1 is in zone 1
	w.run(1900 * time.Millisecond)
	w.expect(t)
	w.run(time.Second)
	w.expect(t, "opened")
	if received {
		t.Error("the message crossed the cut")
	}
}

// TestInvalidDay checks that an error names the setting with an impossible value.
func TestInvalidDay(t *testing.T) {
	for want, change := range map[string]func(*Day){
		"fleet.caches is 0: 1 to 20000 is possible":         func(d *Day) { d.Fleet.Caches = 0 },
		"class 2: aim is 9: 0.001 to 5 is possible":         func(d *Day) { d.Classes[1].Aim = unit.Duration(9 * time.Second) },
		"fault 1: zone is 7: the day has 3, counted from 0": func(d *Day) { d.Faults = []Fault{{Kind: "zone_cut", Zone: 7}} },
		"no class of request":                               func(d *Day) { d.Classes = nil },
	} {
		day := DefaultDay()
		change(&day)
		if err := day.Validate(); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// TestHitRate checks that the approximated hit rate agrees with that of a real store.
func TestHitRate(t *testing.T) {
	zipf, random, lru := NewZipf(600, 1, 3), NewRandom(1, "test", 0), newStore(300)
	hits, draws := 0, 200000
	for range draws {
		key := uint64(zipf.Rank(random.Float64()))
		if lru.lookUp(key) {
			hits++
		} else {
			lru.put(key, 1)
		}
	}
	if got, want := float64(hits)/float64(draws), zipf.HitRate(300); got < want-0.01 || got > want+0.01 {
		t.Errorf("hits %.3f, approximation %.3f", got, want)
	}
}
