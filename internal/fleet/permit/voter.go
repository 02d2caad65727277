// Package permit decides which routers and slot caches of a fleet may be out of service. A permit is a lease of one numbered
// slot in each group that limits its holder, and a majority of voters grants it. A slot has one holder at a time. A group
// of K slots therefore has no more than K members out of service.
//
// The leases are those of Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency", SOSP 1989), granted by a majority without a disk as in PaxosLease (Trencseni, Gazso and Reinhardt, 2012): a
// voter that has just started grants nothing for the duration of the longest lease, and each party measures durations by its
// own clock. The parties agree on nothing but the holder, so one round of messages is enough.
//
// The package does no I/O and reads no clock. Messages may be lost, delayed, duplicated and reordered.
package permit

import "time"

// MaxLease is the longest time that a permit lasts without renewal.
const MaxLease = 10 * time.Second

// Slot identifies one slot of a group.
type Slot struct {
	Group  uint16
	Number uint16 // from 0 to K-1 in a group of K slots; less than MaxSlots
}

// Request asks a voter to grant, renew or release a permit. An acquirer sends it to each voter.
type Request struct {
	Permit   uint64 // a random ID, new for each time that something goes out of service
	Seq      uint32 // rises with each request for this permit
	Slots    []Slot
	Duration time.Duration // of the lease, up to MaxLease
	Release  bool          // the permit is given back; Slots and Duration are ignored
}

// Reason is a voter's decision on a request.
type Reason uint8

// The decisions: Granted, Released and the reasons for a refusal.
const (
	Granted Reason = iota
	Released
	VoterStarting // the voter started less than the longest lease ago and doesn't know what it granted before
	Superseded    // the voter has received a later request or release for this permit
	Held          // another permit holds the slot
	LimitReached  // the group's limit is too low for the slot, or too many members are out of service, failed ones included
	Invalid       // the request names no slot, or its duration is out of range
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	return [...]string{"granted", "released", "the elector has just started", "superseded by a later request", "held by another",
		"too many are out", "not possible"}[r]
}

// Reply is a voter's answer to a request.
type Reply struct {
	Permit uint64
	Seq    uint32
	Reason Reason
	Slot   Slot   // the slot to which the reason Held or LimitReached applies
	Holder uint64 // the permit that holds Slot
}

// Voter is one of the voters whose majority grants permits. The zero value is not usable.
type Voter struct {
	silentUntil time.Duration // the voter refuses all requests before this time
	leases      map[Slot]lease
	lastSeqs    map[uint64]seqRecord // by permit
	maxLease    time.Duration

	nextExpiry time.Duration // no entry of leases or lastSeqs expires before this time

	// Allow, if set, reports whether a permit's slot is within its group's limit, given what this voter sees of the fleet now.
	Allow func(permit uint64, s Slot) bool
}

// lease is a slot's holder.
type lease struct {
	permit  uint64
	expires time.Duration
}

// seqRecord is the highest sequence number that a voter has accepted from a permit.
type seqRecord struct {
	seq     uint32
	expires time.Duration // when the record may be dropped
}

// NewVoter returns a voter whose process starts at now, by the voter's own clock.
func NewVoter(now time.Duration) *Voter { return NewVoterWithDurations(now, MaxLease, MaxLease) }

// NewVoterWithDurations returns a voter with another longest lease and another time for which it grants nothing after the start.
// Searches for protocol faults use it: they must find a fault where that time is too short.
func NewVoterWithDurations(now, maxLease, silence time.Duration) *Voter {
	return &Voter{silentUntil: now + silence, maxLease: maxLease, leases: map[Slot]lease{}, lastSeqs: map[uint64]seqRecord{}}
}

// Handle handles a request and returns the reply.
func (v *Voter) Handle(now time.Duration, request *Request) Reply {
	reply := Reply{Permit: request.Permit, Seq: request.Seq}
	if now < v.silentUntil {
		reply.Reason = VoterStarting
		return reply
	}
	v.dropExpired(now)
	v.nextExpiry = min(v.nextExpiry, now+request.Duration, now+v.maxLease)
	// A delayed message must not undo a newer one: a delayed request would take a slot that its acquirer has given back since,
	// and a delayed release would free a slot that its acquirer has taken again.
	if last, known := v.lastSeqs[request.Permit]; known && last.seq > request.Seq {
		reply.Reason = Superseded
		return reply
	}
	if request.Release {
		v.release(request.Permit)
		v.lastSeqs[request.Permit] = seqRecord{request.Seq, now + v.maxLease}
		reply.Reason = Released
		return reply
	}
	if reply.Reason = v.decide(now, request, &reply); reply.Reason != Granted {
		return reply
	}
	granted := map[Slot]lease{}
	for _, s := range request.Slots { // a lease that was granted before for longer is not shortened
		granted[s] = lease{request.Permit, max(v.leases[s].expires, now+request.Duration)}
	}
	v.release(request.Permit) // the permit may have moved to other slots
	for s, l := range granted {
		v.leases[s] = l
	}
	v.lastSeqs[request.Permit] = seqRecord{request.Seq, now + v.maxLease}
	return reply
}

// decide returns Granted or the reason why the request is refused. It sets the reply's Slot and Holder for a refused slot.
func (v *Voter) decide(now time.Duration, request *Request, reply *Reply) Reason {
	if len(request.Slots) == 0 || request.Duration <= 0 || request.Duration > v.maxLease {
		return Invalid
	}
	for _, s := range request.Slots {
		reply.Slot = s
		if l, held := v.leases[s]; held && l.permit != request.Permit {
			reply.Holder = l.permit
			return Held
		} else if v.Allow != nil && !held && !v.Allow(request.Permit, s) { // a slot that is held already may be renewed
			return LimitReached
		}
	}
	reply.Slot = Slot{}
	return Granted
}

// release frees the slots of a permit.
func (v *Voter) release(permit uint64) {
	for s, l := range v.leases {
		if l.permit == permit {
			delete(v.leases, s)
		}
	}
}

// dropExpired removes leases and sequence records that have expired.
func (v *Voter) dropExpired(now time.Duration) {
	if now < v.nextExpiry {
		return
	}
	v.nextExpiry = now + v.maxLease // no entry lasts longer
	for s, l := range v.leases {
		if now >= l.expires {
			delete(v.leases, s)
		} else {
			v.nextExpiry = min(v.nextExpiry, l.expires)
		}
	}
	for permit, record := range v.lastSeqs {
		if now >= record.expires {
			delete(v.lastSeqs, permit)
		} else {
			v.nextExpiry = min(v.nextExpiry, record.expires)
		}
	}
}

// Holders returns the permits that this voter has granted and that have not expired, by slot.
func (v *Voter) Holders(now time.Duration) map[Slot]uint64 {
	v.dropExpired(now)
	all := make(map[Slot]uint64, len(v.leases))
	for s, l := range v.leases {
		all[s] = l.permit
	}
	return all
}
