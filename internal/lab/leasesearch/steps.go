package leasesearch

import (
	"fmt"
	"slices"

	"hoptiller/internal/fleet/permit"
)

// step makes the state that one event leads to.
type step func() *state

// steps returns all events that can happen next.
func (s *Search) steps(n *state) []step {
	var all []step
	for k := range n.inFlight {
		all = append(all, s.messageSteps(n, k)...)
	}
	all = append(all, func() *state {
		later := n.clone("a second")
		later.now += Tick
		return later
	})
	for i := range n.seekers {
		all = append(all, s.seekerSteps(n, i)...)
	}
	for i := range n.electors {
		all = append(all, s.electorSteps(n, i)...)
	}
	return all
}

// messageSteps returns what can happen to the k-th message in flight.
func (s *Search) messageSteps(n *state, k int) []step {
	m := n.inFlight[k]
	all := []step{
		func() *state {
			arrived := n.clone("%v comes", m)
			arrived.inFlight = slices.Delete(arrived.inFlight, k, k+1)
			s.deliver(arrived, m)
			return arrived
		},
		func() *state {
			lost := n.clone("%v is lost", m)
			lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
			return lost
		},
	}
	if n.duplicates < s.MaxDuplicates {
		all = append(all, func() *state {
			duplicated := n.clone("%v comes, and will again", m)
			duplicated.duplicates++
			s.deliver(duplicated, m)
			return duplicated
		})
	}
	return all
}

// seekerSteps returns what can happen to a seeker.
func (s *Search) seekerSteps(n *state, i int) []step {
	all := []step{func() *state {
		ticked := n.clone("seeker %d goes on", i)
		ticked.seeker(i).Tick(ticked.seekerNow(i))
		s.collect(ticked, i)
		return ticked
	}}
	if n.holds(i) {
		all = append(all, func() *state {
			returned := n.clone("seeker %d gives it back", i)
			returned.seeker(i).Return(returned.seekerNow(i))
			s.collect(returned, i)
			return returned
		})
	}
	if n.behind[i] == 0 {
		all = append(all, func() *state {
			drifted := n.clone("seeker %d's clock falls behind", i)
			drifted.behind[i] = maxSeekerDrift
			return drifted
		})
	}
	return all
}

// electorSteps returns what can happen to an elector.
func (s *Search) electorSteps(n *state, i int) (all []step) {
	if n.ahead[i] == 0 {
		all = append(all, func() *state {
			drifted := n.clone("elector %d's clock gets ahead", i)
			drifted.ahead[i] = maxElectorDrift
			return drifted
		})
	}
	if n.restarts < s.MaxRestarts {
		all = append(all, func() *state {
			restarted := n.clone("elector %d restarts", i)
			restarted.restarts++
			restarted.electors[i] = permit.NewElectorOf(restarted.electorNow(i), Lease, s.StartDelay)
			return restarted
		})
	}
	return all
}

// deliver hands a message to its receiver and puts what that sends in flight.
func (s *Search) deliver(n *state, m message) {
	if m.ask == nil {
		n.seeker(m.seeker).Take(n.seekerNow(m.seeker), m.elector, m.reply)
		s.collect(n, m.seeker)
		return
	}
	reply := n.elector(m.elector).Take(n.electorNow(m.elector), m.ask)
	n.inFlight = append(n.inFlight, message{elector: m.elector, seeker: m.seeker, reply: &reply})
	s.dropExcess(n)
}

// collect puts the messages that a seeker has queued in flight.
func (s *Search) collect(n *state, i int) {
	for _, out := range n.seekers[i].Out() {
		n.inFlight = append(n.inFlight, message{elector: out.To, seeker: i, ask: &out.Ask})
	}
	s.dropExcess(n)
}

// dropExcess loses the oldest messages of more than MaxInFlight.
func (s *Search) dropExcess(n *state) {
	if excess := len(n.inFlight) - s.MaxInFlight; excess > 0 {
		n.inFlight = slices.Delete(n.inFlight, 0, excess)
	}
}

// message is one message in flight: an ask to the elector, or a reply to the seeker.
type message struct {
	elector, seeker int
	ask             *permit.Ask
	reply           *permit.Reply
}

// String names the message in a path.
func (m message) String() string {
	if m.reply != nil {
		return fmt.Sprintf("elector %d to seeker %d: %v", m.elector, m.seeker, m.reply.Why)
	}
	return fmt.Sprintf("seeker %d to elector %d", m.seeker, m.elector)
}
