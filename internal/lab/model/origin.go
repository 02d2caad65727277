package model

import (
	"math/rand/v2"
	"time"
)

// Origin is the scheduling records: slow, shared, and not to be asked too much.
type Origin struct {
	host
	Capacity float64 // fetches a second

	Fetches, Writes int // that have come
	Stops           int

	set      *OriginSet
	station  station
	rand     *rand.Rand
	slow     float64
	errors   float64
	tireless bool
	asked    []ask // in the last FallFor
	byCold   int   // of them
	done     map[uint64]time.Duration
	joined   map[uint64][]*Call // where fetches are shared: by the key of one that is out, those who wait for it too
}

// ask is one call to the origin.
type ask struct {
	at   time.Duration
	cold bool // a miss at a cold cache is why
}

func (w *World) newOrigin(index int) *Origin {
	set := &w.day.Origin
	o := &Origin{set: set, rand: Stream(w.day.Seed, "origin", 0), slow: 1, done: map[uint64]time.Duration{}, joined: map[uint64][]*Call{}}
	hits := w.zipf.Hits(w.day.Fleet.Memory * w.day.Fleet.Caches)
	reads, writes := 0.0, 0.0
	for _, c := range w.day.Classes {
		if c.Write {
			writes += c.Share
		} else {
			reads += c.Share
		}
	}
	all := reads + writes
	o.Capacity = max(1, set.Headroom*w.Rate*(reads*(1-hits)+2*writes)/all) // a write and the fetch after it
	o.host = host{w: w, index: index, zone: 0, most: 1 << 20}
	o.host.serve, o.host.drop = o.take, func(*Call) {} // it goes on with what nobody waits for
	places := max(1, int(o.Capacity*set.Time.Seconds()+0.5))
	o.station = station{q: &w.Queue, places: places, room: int(o.Capacity*set.Queue.Seconds()) + 1,
		rate:  func() float64 { return o.Capacity / float64(places) / o.slow },
		began: o.begin, ended: o.end, stale: o.tooLate}
	return o
}

// Load is the part of its places at which it works.
func (o *Origin) Load() float64 { return float64(o.station.busy) / float64(o.station.places) }

func (o *Origin) start() {
	o.up = true
	o.station.clear()
	o.asked, o.byCold = nil, 0
}

func (o *Origin) halt(d time.Duration) {
	o.Stops++
	o.host.stop()
	o.station.clear()
	clear(o.joined)
	o.w.After(d, o.start)
}

// take takes a call. During warm-up all is answered after the usual time, however much comes.
func (o *Origin) take(call *Call) {
	op := call.Try.Op
	if op.Write {
		o.Writes++
	} else {
		o.Fetches++
	}
	o.w.watcher.Fetched(call)
	call.job = job{call: call}
	if o.tireless {
		o.w.After(o.set.Time.D(), func() { o.end(&call.job) })
		return
	}
	waits, out := o.joined[op.Key]
	if out && !op.Write {
		o.joined[op.Key] = append(waits, call)
		return
	}
	if o.count(call); !o.up {
		return
	}
	if o.errors > 0 && o.rand.Float64() < o.errors {
		call.Conn.finish(call, Failed)
		return
	}
	if o.station.add(&call.job, false) {
		if o.set.Shared && !op.Write {
			o.joined[op.Key] = nil
		}
		return
	}
	if o.set.Drops {
		call.Conn.Break()
	} else {
		call.Conn.finish(call, Busy)
	}
}

// tooLate gives up what has waited longer than the line is meant for.
func (o *Origin) tooLate(j *job) bool {
	late := o.w.Now()-j.since > o.set.Queue.D()
	if late {
		j.call.Conn.finish(j.call, Stale)
		for _, call := range o.unjoin(j.call.Try.Op) {
			call.Conn.finish(call, Stale)
		}
	}
	return late
}

// unjoin ends a fetch that may be shared, and tells who else waits for it.
func (o *Origin) unjoin(op *Op) (waits []*Call) {
	if !op.Write {
		waits = o.joined[op.Key]
		delete(o.joined, op.Key)
	}
	return waits
}

func (o *Origin) begin(j *job) float64 {
	work := exp(o.rand, 1)
	if j.call.Try.Op.Write {
		work *= o.set.Write
	}
	return work
}

func (o *Origin) end(j *job) {
	call, op := j.call, j.call.Try.Op
	if op.Write {
		if class := &o.w.day.Classes[op.Class]; class.Effect == "keyed" {
			at, seen := o.done[op.ID]
			if seen && o.w.Now()-at < class.Window.D() {
				call.Conn.finish(call, Served) // a repeat, dropped
				return
			}
			o.done[op.ID] = o.w.Now()
		}
		op.Runs++
		o.w.watcher.Ran(call)
		for _, c := range o.w.Caches {
			if c.up {
				c.store.void(op.Key)
			}
		}
	}
	o.give(call)
	for _, other := range o.unjoin(op) {
		o.give(other)
	}
}

// give answers a call, and has a value stored where it was missed.
func (o *Origin) give(call *Call) {
	if op := call.Try.Op; !op.Write && !call.Conn.over && !call.Conn.closed {
		for i, c := range call.Try.missedAt {
			if i < 2 && c.up {
				c.store.put(op.Key, op.Size)
			}
		}
	}
	call.Conn.finish(call, Served)
}

// count guards the origin's one weakness: asked too much for too long, it stops.
func (o *Origin) count(call *Call) {
	if o.set.Fall <= 0 {
		return
	}
	a := ask{at: o.w.Now()}
	for _, c := range call.Try.missedAt {
		a.cold = a.cold || c.Warmth(a.at) < 1
	}
	o.asked = append(o.asked, a)
	if a.cold {
		o.byCold++
	}
	for a.at-o.asked[0].at > o.set.FallFor.D() {
		if o.asked[0].cold {
			o.byCold--
		}
		o.asked = o.asked[1:]
	}
	if most := o.set.Fall * o.Capacity * o.set.FallFor.Seconds(); float64(len(o.asked)) > most {
		part := float64(o.byCold) / float64(len(o.asked))
		due := float64(o.byCold) / max(1, o.w.dueAtCold()*o.set.FallFor.Seconds())
		o.halt(o.set.DownFor.D())
		o.w.watcher.OriginStopped(part, due)
	}
}

// dueAtCold is how many reads a second belong to cold caches when their weights are cut by the stated warm-up.
func (w *World) dueAtCold() float64 {
	cold, all := 0.0, 0.0
	for _, c := range w.Caches {
		if !c.up {
			continue
		}
		warmth := c.Warmth(w.Now())
		weight := c.weight() * warmth
		if all += weight; warmth < 1 {
			cold += weight
		}
	}
	return w.Rate * cold / max(all, 1e-9)
}
