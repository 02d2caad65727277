package permit

import (
	"slices"
	"time"
)

// Drift is by how much of a lease two clocks may come apart, and what a holder therefore holds less than it was granted.
const Drift = 0.02

const (
	resend    = 300 * time.Millisecond // of an ask, to electors that have not answered
	giveUp    = 1500 * time.Millisecond
	saidAgain = 2                      // how often it is said once more that a permit is given back
	waitLeast = 200 * time.Millisecond // before another try; two that took half of the electors each must not meet again
	waitMost  = 2 * time.Second
)

// Phase is where a seeker stands.
type Phase uint8

// The phases.
const (
	Idle    Phase = iota
	Asking        // it wants a permit and has none
	Holding       // it has one
	Ended         // it had one, and has given it back, or lost it
)

// Seeker gets one permit and keeps it. It is one time that something goes out: another one wants another Seeker.
type Seeker struct {
	Permit uint64
	Lease  time.Duration
	// Choose gives the slots to ask for next, one in each group, not among those that are known to be held; none: there are none.
	Choose func(held map[Slot]uint64) []Slot
	// Chance is drawn for the wait before another try, at least 0 and less than 1.
	Chance func() float64
	Drift  float64 // Drift, or another figure for a search
	Keeps  bool    // nothing is ever given back, not even what a part of the electors grants: others go by it

	electors int
	phase    Phase
	seq      uint32
	slots    []Slot
	sent     time.Duration // when this seq was sent first
	again    time.Duration // when it is sent to those that have not answered
	until    time.Duration // that the permit is held
	answered []bool        // by elector
	granted  int
	refused  int
	why      Why
	held     map[Slot]uint64
	out      []Send
	returns  int // how often it is still said that the permit is given back
}

// Send is an ask for one elector, by its number among the electors.
type Send struct {
	To  int
	Ask Ask
}

// NewSeeker makes a seeker that wants nothing yet.
func NewSeeker(permit uint64, electors int, lease time.Duration) *Seeker {
	return &Seeker{Permit: permit, Lease: lease, Drift: Drift, electors: electors, held: map[Slot]uint64{}}
}

// Majority is how many electors must grant.
func Majority(electors int) int { return electors/2 + 1 }

// Phase tells where the seeker stands now. Whoever acts on a permit asks each time: a process that stood still past the end of
// its lease holds nothing.
func (s *Seeker) Phase(now time.Duration) Phase {
	if s.phase == Holding && now >= s.until {
		s.phase = Ended
	}
	return s.phase
}

// Until is when a permit that is held ends unless it is renewed.
func (s *Seeker) Until() time.Duration { return s.until }

// Why is the latest reason for which an elector refused.
func (s *Seeker) Why() Why { return s.why }

// Slots are those that are held or asked for.
func (s *Seeker) Slots() []Slot { return s.slots }

// Out gives what is to be sent since it was last asked.
func (s *Seeker) Out() []Send {
	o := s.out
	s.out = nil
	return o
}

// Want begins to ask.
func (s *Seeker) Want(now time.Duration) {
	if s.phase == Idle {
		s.phase = Asking
		s.try(now)
	}
}

// Return gives the permit back, or wants it no more. What is out by it must be back before.
func (s *Seeker) Return(now time.Duration) {
	if s.phase == Idle || s.phase == Ended {
		s.phase = Ended
		return
	}
	s.phase = Ended
	s.seq++
	s.giveBack()
	s.again, s.returns = now+resend, saidAgain
}

// giveBack tells all electors that what was asked for before is free.
func (s *Seeker) giveBack() {
	if s.Keeps {
		return
	}
	for i := range s.electors {
		s.out = append(s.out, Send{i, Ask{Permit: s.Permit, Seq: s.seq, Release: true}})
	}
}

// try begins another round: for other slots while none are held, else for the same ones.
func (s *Seeker) try(now time.Duration) {
	if s.phase == Asking {
		if s.slots = s.Choose(s.held); len(s.slots) == 0 {
			s.why, s.again = Held, now+s.wait()
			s.answered = nil
			clear(s.held) // what is held now may be free then
			return
		}
	}
	s.seq++
	s.sent, s.again = now, now+resend
	s.answered, s.granted, s.refused = make([]bool, s.electors), 0, 0
	s.ask()
}

func (s *Seeker) wait() time.Duration {
	return waitLeast + time.Duration(s.Chance()*float64(waitMost-waitLeast))
}

func (s *Seeker) ask() {
	for i, done := range s.answered {
		if !done {
			s.out = append(s.out, Send{i, Ask{Permit: s.Permit, Seq: s.seq, Slots: slices.Clone(s.slots), For: s.Lease}})
		}
	}
}

// Tick does what is due.
func (s *Seeker) Tick(now time.Duration) {
	switch s.Phase(now) {
	case Asking:
		switch {
		case s.answered == nil && now >= s.again: // after a wait
			s.try(now)
		case s.answered == nil:
		case now >= s.sent+giveUp || s.refused > s.electors-Majority(s.electors):
			s.seq++
			s.giveBack() // a part of the electors is of no use, and in others' way
			s.answered, s.again = nil, now+s.wait()
		case now >= s.again:
			s.again = now + resend
			s.ask()
		}
	case Ended:
		if s.returns > 0 && now >= s.again { // or the places are lost until the lease runs out
			s.returns--
			s.again = now + resend
			s.giveBack()
		}
	case Holding:
		switch {
		case s.answered == nil || now >= s.sent+s.Lease/3: // renew
			s.try(now)
		case s.granted < Majority(s.electors) && now >= s.again:
			s.again = now + resend
			s.ask()
		}
	}
}

// Take takes an elector's reply.
func (s *Seeker) Take(now time.Duration, from int, r *Reply) {
	phase := s.Phase(now)
	if r.Permit != s.Permit || r.Seq != s.seq || phase != Asking && phase != Holding || from < 0 || from >= len(s.answered) || s.answered[from] {
		return
	}
	s.answered[from] = true
	if r.Why != Granted {
		if s.why = r.Why; r.Why == Held {
			s.held[r.Slot] = r.Holder
		}
		s.refused++
		return
	}
	if s.granted++; s.granted < Majority(s.electors) {
		return
	}
	// The elector's lease began after the ask was sent: by this clock it lasts from then, less what the clocks may differ by.
	if until := s.sent + time.Duration(float64(s.Lease)*(1-s.Drift)); until > now {
		s.phase, s.until = Holding, max(s.until, until)
	}
}
