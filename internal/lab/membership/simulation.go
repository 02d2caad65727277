// Package membership simulates the membership protocol of a fleet in virtual time. It runs the code
// of package view that routers run, over a network that loses and delays datagrams, with routers
// that join, crash, pause and are partitioned. It uses no sockets, clocks or goroutines; the same
// seed gives the same course of events.
//
// Search, beside the simulation, explores all orders of events in a small fleet.
package membership

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"hoptiller/internal/fleet/view"
)

// Network is what the network does to datagrams.
type Network struct {
	MinDelay, MaxDelay time.Duration // each datagram is delayed by a random time between these
	Loss               float64       // probability that a datagram is lost
}

// Epoch is what the wall clocks show when a simulation begins.
var Epoch = time.UnixMilli(1_800_000_000_000)

const (
	socketBuffer = 300                   // datagrams that a paused router's socket holds
	pollInterval = 50 * time.Millisecond // resolution of RunUntil
)

// Simulation is a fleet of routers with a view each. Time passes only in Run and RunUntil.
type Simulation struct {
	Network
	// OnChange, if set, is called with each change of a member's state in a router's view.
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

// link is one direction between two routers.
type link struct{ from, to int }

type router struct {
	view        *view.View
	incarnation int
	running     bool
	paused      bool
	received    []event // datagrams that arrived during a pause
}

// noSender marks an event as a tick of its receiver; other events are datagrams.
const noSender = -1

type event struct {
	at          time.Duration
	order       uint64 // breaks ties
	to          int
	from        int
	incarnation int // of the receiver, for ticks
	body        []byte
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
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

// Start starts a router as a new incarnation in the phase Serving.
func (s *Simulation) Start(i int) {
	r := &s.routers[i]
	*r = router{incarnation: r.incarnation + 1, running: true}
	r.view = view.New(view.Config{
		Self:  i,
		Of:    len(s.routers),
		Start: Epoch.Add(s.now + s.clockOffset[i]),
		Seed:  s.rng.Uint64(),
		Now:   s.now,
	})
	r.view.SetPhase(view.Serving)
	s.flush(i)
	firstTick := s.now + time.Duration(s.rng.Int64N(int64(view.Period))) // routers don't tick in step
	s.push(event{at: firstTick, to: i, from: noSender, incarnation: r.incarnation})
}

// SetClockOffset sets how far a router's wall clock is off, from its next start on.
func (s *Simulation) SetClockOffset(i int, offset time.Duration) { s.clockOffset[i] = offset }

// Crash ends a router without notice.
func (s *Simulation) Crash(i int) { s.routers[i].running = false }

// Leave has a router announce that it leaves, and ends it.
func (s *Simulation) Leave(i int) {
	s.routers[i].view.Leave(s.now)
	s.flush(i)
	s.Crash(i)
}

// Pause stops a router's processing; datagrams wait in its socket's buffer.
func (s *Simulation) Pause(i int) { s.routers[i].paused = true }

// Resume ends a pause.
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
	s.push(event{at: r.view.Next(), to: i, from: noSender, incarnation: r.incarnation})
}

// Partition divides the routers into groups that can't reach each other, by their number modulo the
// number of groups. One group heals the network.
func (s *Simulation) Partition(groups int) {
	for i := range s.groups {
		s.groups[i] = i % groups
	}
}

// Cut sets whether datagrams from one router to another are lost, in this direction alone.
func (s *Simulation) Cut(from, to int, cut bool) { s.cut[link{from, to}] = cut }

// Run runs the simulation up to a time.
func (s *Simulation) Run(until time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= until {
		e := heap.Pop(&s.pending).(event)
		s.now = max(s.now, e.at)
		s.process(e)
	}
	s.now = until
}

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
		s.push(event{at: max(s.now+1, r.view.Next()), to: e.to, from: noSender, incarnation: r.incarnation})
	default:
		if s.groups[e.from] != s.groups[e.to] || s.cut[link{e.from, e.to}] {
			return
		}
		r.view.Receive(s.now, e.from, e.body)
	}
	s.flush(e.to)
}

// flush sends the datagrams that a router's view has queued and reports its changes.
func (s *Simulation) flush(i int) {
	v := s.routers[i].view
	for _, datagram := range v.Out() {
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

func (s *Simulation) push(e event) {
	s.eventCount++
	e.order = s.eventCount
	heap.Push(&s.pending, e)
}

// Converged reports whether all running routers have the same view, in which exactly the running
// routers are alive.
func (s *Simulation) Converged() bool {
	var first *view.View
	var sum uint32
	for i := range s.routers {
		v := s.View(i)
		if v == nil {
			continue
		}
		if first == nil {
			first, sum = v, v.Sum()
		}
		if v.Sum() != sum {
			return false
		}
	}
	if first == nil {
		return true
	}
	for i, member := range first.Members() {
		if member.Here() != s.routers[i].running {
			return false
		}
	}
	return true
}

// RunUntil runs the simulation until a condition holds and returns the time that took. It gives up
// and returns false after timeout.
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

// All reports whether a condition holds for what each other running router knows of a router.
func (s *Simulation) All(of int, condition func(m *view.Member) bool) bool {
	for i := range s.routers {
		if v := s.View(i); v != nil && i != of && !condition(&v.Members()[of]) {
			return false
		}
	}
	return true
}
