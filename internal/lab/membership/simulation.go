// Package membership simulates the membership protocol of a fleet in virtual time. It runs the code
// of package view that routers run, over a network that loses and delays datagrams, with routers
// that join, crash, pause and are partitioned. It uses no sockets, clocks or goroutines; the same
// seed gives the same sequence of events.
//
// In addition to the simulation, Search explores all orders of events in a small fleet.
package membership

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"hoptiller/internal/fleet/view"
)

// Network describes how the network delays and loses datagrams.
type Network struct {
	MinDelay, MaxDelay time.Duration // bounds of the random delay of each datagram
	Loss               float64       // probability that a datagram is lost
}

// Epoch is the time on the wall clocks when a simulation begins.
var Epoch = time.UnixMilli(1_800_000_000_000)

const (
	socketBuffer = 300                   // number of datagrams that the socket of a paused router holds
	pollInterval = 50 * time.Millisecond // interval at which RunUntil checks its condition
)

// Simulation is a fleet of routers that have a view each. Time passes only in Run and RunUntil.
type Simulation struct {
	Network
	// OnChange, if not nil, is called for each change of a member's state in a router's view.
	OnChange func(at time.Duration, viewer int, e view.Event)

	now         time.Duration
	rng         *rand.Rand
	routers     []router
	groups      []int // routers of different groups are partitioned from each other
	cut         map[link]bool
	pending     events
	eventCount  uint64
	clockOffset []time.Duration // of each router's wall clock
}

// link is the network path from one router to another.
type link struct{ from, to int }

// router is one router of the fleet, running or not.
type router struct {
	view        *view.View
	incarnation int
	running     bool
	paused      bool
	received    []event // datagrams that arrived during a pause
}

// noSender is the sender of an event that is a tick of its receiver. All other events are datagrams.
const noSender = -1

// event is the arrival of a datagram or a tick of a router.
type event struct {
	at          time.Duration
	sequence    uint64 // number of the event; orders events of the same time
	to          int
	from        int
	incarnation int // of the receiver, for ticks
	body        []byte
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a simulation of n routers, none of which runs yet.
func New(n int, network Network, seed uint64) *Simulation {
	return &Simulation{
		Network:     network,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		routers:     make([]router, n),
		groups:      make([]int, n),
		cut:         map[link]bool{},
		clockOffset: make([]time.Duration, n),
	}
}

// Now returns the time since the beginning of the simulation.
func (s *Simulation) Now() time.Duration { return s.now }

// Size returns the number of routers, running or not.
func (s *Simulation) Size() int { return len(s.routers) }

// View returns the view of a router, or nil if it isn't running.
func (s *Simulation) View(i int) *view.View {
	if !s.routers[i].running {
		return nil
	}
	return s.routers[i].view
}

// Start starts a new incarnation of a router, in the phase Serving.
func (s *Simulation) Start(i int) {
	r := &s.routers[i]
	*r = router{incarnation: r.incarnation + 1, running: true}
	r.view = view.New(view.Config{
		Self:        i,
		RouterCount: len(s.routers),
		Start:       Epoch.Add(s.now + s.clockOffset[i]),
		Seed:        s.rng.Uint64(),
		Now:         s.now,
	})
	r.view.SetPhase(view.Serving)
	s.flush(i)
	// The first tick is at a random time, so that routers don't tick at the same time.
	firstTick := s.now + time.Duration(s.rng.Int64N(int64(view.ProbeInterval)))
	s.push(event{at: firstTick, to: i, from: noSender, incarnation: r.incarnation})
}

// SetClockOffset sets the offset of a router's wall clock. It takes effect at the next start of the router.
func (s *Simulation) SetClockOffset(i int, offset time.Duration) { s.clockOffset[i] = offset }

// Crash stops a router without an announcement.
func (s *Simulation) Crash(i int) { s.routers[i].running = false }

// Leave has a router announce that it leaves, and stops it.
func (s *Simulation) Leave(i int) {
	s.routers[i].view.Leave(s.now)
	s.flush(i)
	s.Crash(i)
}

// Pause pauses a router. Datagrams wait in the buffer of its socket.
func (s *Simulation) Pause(i int) { s.routers[i].paused = true }

// Resume ends the pause of a router. The router handles the datagrams in the buffer of its socket.
func (s *Simulation) Resume(i int) {
	r := &s.routers[i]
	if !r.running || !r.paused {
		return
	}
	r.paused = false
	received := r.received
	r.received = nil
	for _, e := range received {
		r.view.Receive(s.now, e.from, e.body)
		s.flush(i)
	}
	r.view.Tick(s.now)
	s.flush(i)
	s.push(event{at: r.view.NextTick(), to: i, from: noSender, incarnation: r.incarnation})
}

// Partition divides the routers into groups that can't reach each other. The group of a router is its number modulo the
// number of groups. A single group ends the partition.
func (s *Simulation) Partition(groups int) {
	for i := range s.groups {
		s.groups[i] = i % groups
	}
}

// Cut sets whether datagrams from one router to another are lost. The opposite direction is not affected.
func (s *Simulation) Cut(from, to int, cut bool) { s.cut[link{from, to}] = cut }

// Run runs the simulation up to a time, counted from its beginning.
func (s *Simulation) Run(until time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= until {
		e := heap.Pop(&s.pending).(event)
		s.now = max(s.now, e.at)
		s.process(e)
	}
	s.now = until
}

// process handles one event: a tick, or a datagram that arrives.
func (s *Simulation) process(e event) {
	r := &s.routers[e.to]
	isTick := e.from == noSender
	switch {
	case !r.running || isTick && (e.incarnation != r.incarnation || r.paused):
		return
	case r.paused:
		if len(r.received) < socketBuffer {
			r.received = append(r.received, e)
		}
		return
	case isTick:
		r.view.Tick(s.now)
		s.push(event{at: max(s.now+1, r.view.NextTick()), to: e.to, from: noSender, incarnation: r.incarnation})
	default:
		if s.groups[e.from] != s.groups[e.to] || s.cut[link{e.from, e.to}] {
			return
		}
		r.view.Receive(s.now, e.from, e.body)
	}
	s.flush(e.to)
}

// flush sends the datagrams that a router's view has queued, and reports the changes in the view to OnChange.
func (s *Simulation) flush(i int) {
	v := s.routers[i].view
	for _, datagram := range v.Outgoing() {
		if s.rng.Float64() < s.Loss {
			continue
		}
		delay := s.MinDelay + time.Duration(s.rng.Int64N(int64(s.MaxDelay-s.MinDelay)+1))
		s.push(event{at: s.now + delay, to: datagram.To, from: i, body: datagram.Body})
	}
	for _, change := range v.Events() {
		if s.OnChange != nil {
			s.OnChange(s.now, i, change)
		}
	}
}

// push schedules an event.
func (s *Simulation) push(e event) {
	s.eventCount++
	e.sequence = s.eventCount
	heap.Push(&s.pending, e)
}

// Converged reports whether all running routers have the same view and exactly the running routers are alive in it.
func (s *Simulation) Converged() bool {
	var first *view.View
	var checksum uint32
	for i := range s.routers {
		v := s.View(i)
		if v == nil {
			continue
		}
		if first == nil {
			first, checksum = v, v.Checksum()
		}
		if v.Checksum() != checksum {
			return false
		}
	}
	if first == nil {
		return true
	}
	for i, member := range first.Members() {
		if member.AssumedAlive() != s.routers[i].running {
			return false
		}
	}
	return true
}

// RunUntil runs the simulation until a condition holds and returns how long that took. It returns false if the condition
// doesn't hold within timeout.
func (s *Simulation) RunUntil(timeout time.Duration, condition func() bool) (time.Duration, bool) {
	start := s.now
	for !condition() {
		if s.now-start >= timeout {
			return timeout, false
		}
		s.Run(s.now + pollInterval)
	}
	return s.now - start, true
}

// HoldsInAllViews reports whether a condition holds for a router in the views of all other running routers.
func (s *Simulation) HoldsInAllViews(subject int, condition func(m *view.Member) bool) bool {
	for i := range s.routers {
		if v := s.View(i); v != nil && i != subject && !condition(&v.Members()[subject]) {
			return false
		}
	}
	return true
}
