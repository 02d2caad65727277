package model

import (
	"math/rand/v2"
	"time"
)

// Origin is the system of record for schedules. It is slow, shared by all, and fails under too much load.
type Origin struct {
	host
	Capacity float64 // fetches per second

	Fetches, Writes int // calls received
	StopCount       int

	settings       *OriginSettings
	workers        station
	random         *rand.Rand
	slowdown       float64
	errorRate      float64
	warmingUp      bool
	recent         []originCall // calls received within the last CollapseDuration
	recentFromCold int          // number of recent calls that a miss at a cold cache caused
	doneAt         map[uint64]time.Duration
	waitingReads   map[uint64][]*Call // with shared fetches, by key: the calls that wait for the fetch in progress
}

// originCall is one call to the origin.
type originCall struct {
	at       time.Duration
	fromCold bool // caused by a miss at a cold cache
}

func (w *World) newOrigin(index int) *Origin {
	settings := &w.day.Origin
	o := &Origin{settings: settings, random: NewRandom(w.day.Seed, "origin", 0), slowdown: 1,
		doneAt: map[uint64]time.Duration{}, waitingReads: map[uint64][]*Call{}}
	hits := w.zipf.HitRate(w.day.Fleet.Memory * w.day.Fleet.Caches)
	reads, writes := 0.0, 0.0
	for _, c := range w.day.Classes {
		if c.Write {
			writes += c.Share
		} else {
			reads += c.Share
		}
	}
	total := reads + writes
	// Writes count twice, because each write also causes the fetch that follows it.
	o.Capacity = max(1, settings.Headroom*w.Rate*(reads*(1-hits)+2*writes)/total)
	o.host = host{w: w, index: index, zone: 0, maxConns: 1 << 20}
	o.host.serve, o.host.cancel = o.handle, func(*Call) {} // the origin finishes calls that nobody waits for
	slots := max(1, int(o.Capacity*settings.Time.Seconds()+0.5))
	o.workers = station{queue: &w.Queue, slots: slots, queueLimit: int(o.Capacity*settings.Queue.Seconds()) + 1,
		slotRate: func() float64 { return o.Capacity / float64(slots) / o.slowdown },
		workOf:   o.workNeeded, finished: o.finish, expired: o.dropExpired}
	return o
}

// Load returns the share of slots that are busy.
func (o *Origin) Load() float64 { return float64(o.workers.busySlots) / float64(o.workers.slots) }

func (o *Origin) start() {
	o.running = true
	o.workers.clear()
	o.recent, o.recentFromCold = nil, 0
}

func (o *Origin) halt(downtime time.Duration) {
	o.StopCount++
	o.host.stop()
	o.workers.clear()
	clear(o.waitingReads)
	o.w.After(downtime, o.start)
}

// handle receives a call. During warm-up every call is answered after the usual time, whatever the load.
func (o *Origin) handle(call *Call) {
	op := call.Try.Op
	if op.Write {
		o.Writes++
	} else {
		o.Fetches++
	}
	o.w.observer.OriginCalled(call)
	call.job = job{call: call}
	if o.warmingUp {
		o.w.After(o.settings.Time.Std(), func() { o.finish(&call.job) })
		return
	}
	waiting, fetching := o.waitingReads[op.Key]
	if fetching && !op.Write {
		o.waitingReads[op.Key] = append(waiting, call)
		return
	}
	if o.recordLoad(call); !o.running {
		return
	}
	if o.errorRate > 0 && o.random.Float64() < o.errorRate {
		call.Conn.finish(call, ResultFailed)
		return
	}
	if o.workers.add(&call.job, false) {
		if o.settings.SharesFetches && !op.Write {
			o.waitingReads[op.Key] = nil
		}
		return
	}
	if o.settings.ClosesOnOverload {
		call.Conn.Reset()
	} else {
		call.Conn.finish(call, ResultBusy)
	}
}

// dropExpired rejects a job that has waited longer than the limit of the queue, and reports whether it did.
func (o *Origin) dropExpired(j *job) bool {
	expired := o.w.Now()-j.enteredAt > o.settings.Queue.Std()
	if expired {
		j.call.Conn.finish(j.call, ResultStale)
		for _, call := range o.removeWaiting(j.call.Try.Op) {
			call.Conn.finish(call, ResultStale)
		}
	}
	return expired
}

// removeWaiting ends a shared fetch and returns the other calls that wait for it.
func (o *Origin) removeWaiting(op *Operation) (waiting []*Call) {
	if !op.Write {
		waiting = o.waitingReads[op.Key]
		delete(o.waitingReads, op.Key)
	}
	return waiting
}

func (o *Origin) workNeeded(j *job) float64 {
	work := drawExponential(o.random, 1)
	if j.call.Try.Op.Write {
		work *= o.settings.WriteWork
	}
	return work
}

func (o *Origin) finish(j *job) {
	call, op := j.call, j.call.Try.Op
	if op.Write {
		if class := &o.w.day.Classes[op.Class]; class.Effect == "keyed" {
			at, seen := o.doneAt[op.ID]
			if seen && o.w.Now()-at < class.Window.Std() {
				call.Conn.finish(call, ResultServed) // a repeated write, deduplicated
				return
			}
			o.doneAt[op.ID] = o.w.Now()
		}
		op.Executions++
		o.w.observer.WriteExecuted(call)
		for _, c := range o.w.Caches {
			if c.running {
				c.store.remove(op.Key)
			}
		}
	}
	o.serve(call)
	for _, other := range o.removeWaiting(op) {
		o.serve(other)
	}
}

// serve answers a call and stores the value in the caches that missed it.
func (o *Origin) serve(call *Call) {
	if op := call.Try.Op; !op.Write && !call.Conn.closedByServer && !call.Conn.closedByRouter {
		for i, c := range call.Try.missedCaches {
			if i < 2 && c.running {
				c.store.put(op.Key, op.Size)
			}
		}
	}
	call.Conn.finish(call, ResultServed)
}

// recordLoad records a call and stops the origin if its load has been too high for too long.
func (o *Origin) recordLoad(call *Call) {
	if o.settings.CollapseLoad <= 0 {
		return
	}
	added := originCall{at: o.w.Now()}
	for _, c := range call.Try.missedCaches {
		added.fromCold = added.fromCold || c.Warmth(added.at) < 1
	}
	o.recent = append(o.recent, added)
	if added.fromCold {
		o.recentFromCold++
	}
	for added.at-o.recent[0].at > o.settings.CollapseDuration.Std() {
		if o.recent[0].fromCold {
			o.recentFromCold--
		}
		o.recent = o.recent[1:]
	}
	if limit := o.settings.CollapseLoad * o.Capacity * o.settings.CollapseDuration.Seconds(); float64(len(o.recent)) > limit {
		coldShare := float64(o.recentFromCold) / float64(len(o.recent))
		coldRatio := float64(o.recentFromCold) / max(1, o.w.coldReadRate()*o.settings.CollapseDuration.Seconds())
		o.halt(o.settings.Downtime.Std())
		o.w.observer.OriginStopped(coldShare, coldRatio)
	}
}

// coldReadRate returns how many reads per second belong to cold caches when their weights are reduced by the
// stated warm-up.
func (w *World) coldReadRate() float64 {
	coldWeight, totalWeight := 0.0, 0.0
	for _, c := range w.Caches {
		if !c.running {
			continue
		}
		warmth := c.Warmth(w.Now())
		weight := c.weight() * warmth
		if totalWeight += weight; warmth < 1 {
			coldWeight += weight
		}
	}
	return w.Rate * coldWeight / max(totalWeight, 1e-9)
}
