// Package permit decides who of a fleet may be out: a permit is a lease, granted by a majority of electors, of one numbered
// slot in each group that bounds it. A slot has one holder at a time, so that a group of K slots has no more than K out.
//
// Leases are those of Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency", SOSP 1989), granted by majority without a disk as in PaxosLease (Trencseni, Gazso and Reinhardt, 2012): an
// elector that starts anew is silent for the longest lease, and times are durations that each measures by its own clock. There
// is no value to agree on beyond the holder, so one round of messages is enough.
//
// It has neither I/O nor clock. Messages may be lost, late, doubled and out of order.
package permit

import "time"

// MostLease is the longest that a permit lasts without being renewed.
const MostLease = 10 * time.Second

// Slot is one place in a group.
type Slot struct {
	Group  uint16
	Number uint16 // from 0; a group that lets K be out has the numbers under K, of MostPlaces
}

// Ask is what a seeker sends to each elector.
type Ask struct {
	Permit  uint64 // drawn by chance, one for each time that something goes out
	Seq     uint32 // of this permit's asks, rising
	Slots   []Slot
	For     time.Duration // up to MostLease
	Release bool          // the permit is given back; Slots and For don't matter
}

// Why is the reason of an answer.
type Why uint8

// The reasons.
const (
	Granted Why = iota
	Released
	Silent  // the elector started less than the longest lease ago, and doesn't know what it granted before
	Old     // the permit has been asked for or given back later than this
	Held    // another permit has the slot
	Full    // the group lets fewer be out, or too many are out by trouble
	Refused // the ask makes no sense
)

// String implements fmt.Stringer.
func (w Why) String() string {
	return [...]string{"granted", "released", "the elector has just started", "asked later", "held by another", "too many are out", "not possible"}[w]
}

// Reply is an elector's answer.
type Reply struct {
	Permit uint64
	Seq    uint32
	Why    Why
	Slot   Slot   // that is Held, or whose group is Full
	Holder uint64 // the permit that has it
}

// Elector is one of those whose majority grants. The zero value is not useful.
type Elector struct {
	silent time.Duration // until then
	leases map[Slot]lease
	seqs   map[uint64]seen
	most   time.Duration

	expires time.Duration // no lease and no seq may be forgotten before this

	// Allow, if set, tells whether a permit's slot is within its group's bound as this elector sees the fleet now.
	Allow func(permit uint64, s Slot) bool
}

type lease struct {
	permit uint64
	until  time.Duration
}

type seen struct {
	seq   uint32
	until time.Duration // when it may be forgotten
}

// NewElector makes an elector whose process has started now, by its own clock.
func NewElector(now time.Duration) *Elector { return NewElectorOf(now, MostLease, MostLease) }

// NewElectorOf makes one for other longest leases, silent for another time: for searches, which must find it where that is too
// short.
func NewElectorOf(now, most, silent time.Duration) *Elector {
	return &Elector{silent: now + silent, most: most, leases: map[Slot]lease{}, seqs: map[uint64]seen{}}
}

// Take answers an ask.
func (e *Elector) Take(now time.Duration, a *Ask) Reply {
	r := Reply{Permit: a.Permit, Seq: a.Seq}
	if now < e.silent {
		r.Why = Silent
		return r
	}
	e.forget(now)
	e.expires = min(e.expires, now+a.For, now+e.most)
	// What came later than it was sent must not undo what was asked for since: a late ask would take a slot that its seeker
	// has given back, and a late release would free one that it has taken again.
	if last, known := e.seqs[a.Permit]; known && last.seq > a.Seq {
		r.Why = Old
		return r
	}
	if a.Release {
		e.release(a.Permit)
		e.seqs[a.Permit] = seen{a.Seq, now + e.most}
		r.Why = Released
		return r
	}
	if r.Why = e.refuses(now, a, &r); r.Why != Granted {
		return r
	}
	kept := map[Slot]lease{}
	for _, s := range a.Slots { // what was promised for longer before still is
		kept[s] = lease{a.Permit, max(e.leases[s].until, now+a.For)}
	}
	e.release(a.Permit) // it may have moved to other slots
	for s, l := range kept {
		e.leases[s] = l
	}
	e.seqs[a.Permit] = seen{a.Seq, now + e.most}
	return r
}

func (e *Elector) refuses(now time.Duration, a *Ask, r *Reply) Why {
	if len(a.Slots) == 0 || a.For <= 0 || a.For > e.most {
		return Refused
	}
	for _, s := range a.Slots {
		r.Slot = s
		if l, held := e.leases[s]; held && l.permit != a.Permit {
			r.Holder = l.permit
			return Held
		} else if e.Allow != nil && !held && !e.Allow(a.Permit, s) { // what is out already may stay so to its end
			return Full
		}
	}
	r.Slot = Slot{}
	return Granted
}

func (e *Elector) release(permit uint64) {
	for s, l := range e.leases {
		if l.permit == permit {
			delete(e.leases, s)
		}
	}
}

// forget drops what has run out.
func (e *Elector) forget(now time.Duration) {
	if now < e.expires {
		return
	}
	e.expires = now + e.most // nothing that is granted lasts longer
	for s, l := range e.leases {
		if now >= l.until {
			delete(e.leases, s)
		} else {
			e.expires = min(e.expires, l.until)
		}
	}
	for p, x := range e.seqs {
		if now >= x.until {
			delete(e.seqs, p)
		} else {
			e.expires = min(e.expires, x.until)
		}
	}
}

// Holders are the permits that this elector has granted and that have not run out, by slot.
func (e *Elector) Holders(now time.Duration) map[Slot]uint64 {
	e.forget(now)
	all := make(map[Slot]uint64, len(e.leases))
	for s, l := range e.leases {
		all[s] = l.permit
	}
	return all
}
