package leasesearch

import (
	"fmt"
	"slices"

	"hoptiller/internal/fleet/permit"
)

// step returns the state after one event.
type step func() *state

// steps returns the steps for all events that can happen next.
func (s *Search) steps(n *state) []step {
	var all []step
	for k := range n.inFlight {
		all = append(all, s.messageSteps(n, k)...)
	}
	all = append(all, func() *state {
		later := n.clone("one tick")
		later.now += Tick
		return later
	})
	for i := range n.acquirers {
		all = append(all, s.acquirerSteps(n, i)...)
	}
	for i := range n.voters {
		all = append(all, s.voterSteps(n, i)...)
	}
	return all
}

// messageSteps returns the steps for the k-th message in flight: it arrives, is lost, or arrives and is duplicated.
func (s *Search) messageSteps(n *state, k int) []step {
	m := n.inFlight[k]
	all := []step{
		func() *state {
			arrived := n.clone("%v arrives", m)
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
			duplicated := n.clone("%v arrives and is duplicated", m)
			duplicated.duplicates++
			s.deliver(duplicated, m)
			return duplicated
		})
	}
	return all
}

// acquirerSteps returns the steps for an acquirer: it ticks, releases its permit, or its clock falls behind.
func (s *Search) acquirerSteps(n *state, i int) []step {
	all := []step{func() *state {
		ticked := n.clone("acquirer %d ticks", i)
		ticked.acquirer(i).Tick(ticked.acquirerNow(i))
		s.collect(ticked, i)
		return ticked
	}}
	if n.holds(i) {
		all = append(all, func() *state {
			returned := n.clone("acquirer %d releases its permit", i)
			returned.acquirer(i).Release(returned.acquirerNow(i))
			s.collect(returned, i)
			return returned
		})
	}
	if n.behind[i] == 0 {
		all = append(all, func() *state {
			drifted := n.clone("acquirer %d's clock falls behind", i)
			drifted.behind[i] = maxAcquirerDrift
			return drifted
		})
	}
	return all
}

// voterSteps returns the steps for a voter: its clock gets ahead, or it restarts.
func (s *Search) voterSteps(n *state, i int) (all []step) {
	if n.ahead[i] == 0 {
		all = append(all, func() *state {
			drifted := n.clone("voter %d's clock gets ahead", i)
			drifted.ahead[i] = maxVoterDrift
			return drifted
		})
	}
	if n.restarts < s.MaxRestarts {
		all = append(all, func() *state {
			restarted := n.clone("voter %d restarts", i)
			restarted.restarts++
			restarted.voters[i] = permit.NewVoterWithDurations(restarted.voterNow(i), Lease, s.StartDelay)
			return restarted
		})
	}
	return all
}

// deliver passes a message to its receiver and adds the messages that the receiver sends to those in flight.
func (s *Search) deliver(n *state, m message) {
	if m.request == nil {
		n.acquirer(m.acquirer).Handle(n.acquirerNow(m.acquirer), m.voter, m.reply)
		s.collect(n, m.acquirer)
		return
	}
	reply := n.voter(m.voter).Handle(n.voterNow(m.voter), m.request)
	n.inFlight = append(n.inFlight, message{voter: m.voter, acquirer: m.acquirer, reply: &reply})
	s.dropExcess(n)
}

// collect adds the messages that an acquirer has queued to those in flight.
func (s *Search) collect(n *state, i int) {
	for _, out := range n.acquirers[i].Outgoing() {
		n.inFlight = append(n.inFlight, message{voter: out.VoterIndex, acquirer: i, request: &out.Request})
	}
	s.dropExcess(n)
}

// dropExcess drops the oldest messages in flight beyond MaxInFlight.
func (s *Search) dropExcess(n *state) {
	if excess := len(n.inFlight) - s.MaxInFlight; excess > 0 {
		n.inFlight = slices.Delete(n.inFlight, 0, excess)
	}
}

// message is one message in flight: a request to the voter, or a reply to the acquirer.
type message struct {
	voter, acquirer int
	request         *permit.Request
	reply           *permit.Reply
}

// String returns the text for the message in a path.
func (m message) String() string {
	if m.reply != nil {
		return fmt.Sprintf("voter %d to acquirer %d: %v", m.voter, m.acquirer, m.reply.Reason)
	}
	return fmt.Sprintf("acquirer %d to voter %d", m.acquirer, m.voter)
}
