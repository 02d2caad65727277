package permit

import (
	"slices"
	"time"
)

// MaxClockDrift is the fraction of a lease by which two clocks may drift apart. A holder counts its lease as shorter by this
// fraction than it was granted.
const MaxClockDrift = 0.02

const (
	resendInterval = 300 * time.Millisecond  // between requests to voters that have not replied
	roundTimeout   = 1500 * time.Millisecond // after which a round without a majority ends
	releaseRepeats = 2                       // how often a release is sent again
	// The delay before the next round is random between these bounds: two acquirers that each got half of the voters must not
	// collide again.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Phase is the state of an acquirer.
type Phase uint8

// The phases.
const (
	Idle       Phase = iota
	Requesting       // it requests a permit and has none
	Holding          // it holds the permit
	Ended            // it has given the permit back, or lost it
)

// Acquirer acquires, renews and releases one permit. Each time that something goes out of service needs a new Acquirer.
type Acquirer struct {
	Permit uint64
	Lease  time.Duration
	// Choose returns the slots to request next: one in each group, none of which is known to be held. It returns none if a group
	// has no such slot.
	Choose func(held map[Slot]uint64) []Slot
	// Random returns a random number, at least 0 and less than 1, from which the delay before the next round is computed.
	Random     func() float64
	ClockDrift float64 // MaxClockDrift, or another fraction in a search for protocol faults
	// NeverReleases is set if no slot is given back, not even those that a minority of the voters granted, because other routers
	// rely on the permit.
	NeverReleases bool

	voterCount        int
	phase             Phase
	seq               uint32
	slots             []Slot
	sent              time.Duration // when the request with this seq was first sent
	nextSend          time.Duration // when to send again, or to start the next round
	heldUntil         time.Duration // when the permit expires
	answered          []bool        // by voter; nil between rounds
	grants            int           // in this round
	refusals          int           // in this round
	reason            Reason        // of the latest refusal
	held              map[Slot]uint64
	outgoing          []OutgoingRequest
	remainingReleases int // how often the release is still to be sent again
}

// OutgoingRequest is a request and the voter that it is for.
type OutgoingRequest struct {
	VoterIndex int // index of the voter in the list of voters
	Request    Request
}

// NewAcquirer returns an acquirer in the phase Idle.
func NewAcquirer(permit uint64, voterCount int, lease time.Duration) *Acquirer {
	return &Acquirer{Permit: permit, Lease: lease, ClockDrift: MaxClockDrift, voterCount: voterCount, held: map[Slot]uint64{}}
}

// Majority returns how many of the voters must grant a permit.
func Majority(voters int) int { return voters/2 + 1 }

// Phase returns the acquirer's phase now. Code that acts on a permit must call it each time: a process that was paused past the
// end of its lease holds nothing.
func (a *Acquirer) Phase(now time.Duration) Phase {
	if a.phase == Holding && now >= a.heldUntil {
		a.phase = Ended
	}
	return a.phase
}

// HeldUntil returns when a permit that is held expires unless it is renewed.
func (a *Acquirer) HeldUntil() time.Duration { return a.heldUntil }

// Reason returns the reason of the latest refusal by a voter.
func (a *Acquirer) Reason() Reason { return a.reason }

// Slots returns the slots that are held or requested.
func (a *Acquirer) Slots() []Slot { return a.slots }

// Outgoing returns the requests that were queued since the last call.
func (a *Acquirer) Outgoing() []OutgoingRequest {
	queued := a.outgoing
	a.outgoing = nil
	return queued
}

// Acquire starts to request the permit.
func (a *Acquirer) Acquire(now time.Duration) {
	if a.phase == Idle {
		a.phase = Requesting
		a.startRound(now)
	}
}

// Release gives the permit back, or stops requesting it. What is out of service under the permit must be back in service before
// the call.
func (a *Acquirer) Release(now time.Duration) {
	if a.phase == Idle || a.phase == Ended {
		a.phase = Ended
		return
	}
	a.phase = Ended
	a.seq++
	a.sendReleases()
	a.nextSend, a.remainingReleases = now+resendInterval, releaseRepeats
}

// sendReleases queues a release of all slots that were requested before, for all voters.
func (a *Acquirer) sendReleases() {
	if a.NeverReleases {
		return
	}
	for i := range a.voterCount {
		a.outgoing = append(a.outgoing, OutgoingRequest{i, Request{Permit: a.Permit, Seq: a.seq, Release: true}})
	}
}

// startRound begins a round of requests. While the permit is not held it requests newly chosen slots, else it renews the same
// slots.
func (a *Acquirer) startRound(now time.Duration) {
	if a.phase == Requesting {
		if a.slots = a.Choose(a.held); len(a.slots) == 0 {
			a.reason, a.nextSend = Held, now+a.retryDelay()
			a.answered = nil
			clear(a.held) // slots that are held now may be free after the delay
			return
		}
	}
	a.seq++
	a.sent, a.nextSend = now, now+resendInterval
	a.answered, a.grants, a.refusals = make([]bool, a.voterCount), 0, 0
	a.sendRequests()
}

// retryDelay returns a random delay before the next round.
func (a *Acquirer) retryDelay() time.Duration {
	return minRetryDelay + time.Duration(a.Random()*float64(maxRetryDelay-minRetryDelay))
}

// sendRequests queues the round's request for all voters that have not replied.
func (a *Acquirer) sendRequests() {
	for i, done := range a.answered {
		if !done {
			a.outgoing = append(a.outgoing, OutgoingRequest{i,
				Request{Permit: a.Permit, Seq: a.seq, Slots: slices.Clone(a.slots), Duration: a.Lease}})
		}
	}
}

// Tick starts rounds and sends requests and releases that are due.
func (a *Acquirer) Tick(now time.Duration) {
	switch a.Phase(now) {
	case Requesting:
		switch {
		case a.answered == nil && now >= a.nextSend: // the delay after a failed round is over
			a.startRound(now)
		case a.answered == nil:
		case now >= a.sent+roundTimeout || a.refusals > a.voterCount-Majority(a.voterCount):
			a.seq++
			a.sendReleases() // grants from a minority of the voters are useless and block other acquirers
			a.answered, a.nextSend = nil, now+a.retryDelay()
		case now >= a.nextSend:
			a.nextSend = now + resendInterval
			a.sendRequests()
		}
	case Ended:
		// A voter that gets no release keeps the slots taken until the lease expires.
		if a.remainingReleases > 0 && now >= a.nextSend {
			a.remainingReleases--
			a.nextSend = now + resendInterval
			a.sendReleases()
		}
	case Holding:
		switch {
		case a.answered == nil || now >= a.sent+a.Lease/3: // renew
			a.startRound(now)
		case a.grants < Majority(a.voterCount) && now >= a.nextSend:
			a.nextSend = now + resendInterval
			a.sendRequests()
		}
	}
}

// Handle handles a voter's reply. It ignores replies to other permits or earlier rounds.
func (a *Acquirer) Handle(now time.Duration, from int, reply *Reply) {
	phase := a.Phase(now)
	if reply.Permit != a.Permit || reply.Seq != a.seq || phase != Requesting && phase != Holding ||
		from < 0 || from >= len(a.answered) || a.answered[from] {
		return
	}
	a.answered[from] = true
	if reply.Reason != Granted {
		if a.reason = reply.Reason; reply.Reason == Held {
			a.held[reply.Slot] = reply.Holder
		}
		a.refusals++
		return
	}
	if a.grants++; a.grants < Majority(a.voterCount) {
		return
	}
	// The voters' leases began after the request was sent. By this clock the permit therefore lasts for the lease's
	// duration from the sending, less the time by which the clocks may drift apart.
	if heldUntil := a.sent + time.Duration(float64(a.Lease)*(1-a.ClockDrift)); heldUntil > now {
		a.phase, a.heldUntil = Holding, max(a.heldUntil, heldUntil)
	}
}
