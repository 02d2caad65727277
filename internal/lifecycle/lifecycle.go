// Package lifecycle says where a router stands as it is drained, called back to work and stopped. It does no I/O
// and reads no clock: those who serve ask it what holds, and hear when that changes.
package lifecycle

import "sync"

// Phase is where a router stands.
type Phase uint8

// The phases. What stops does not come back.
const (
	Serving  Phase = iota
	Draining       // clients are sent away, and served until they go
	Stopping       // the program finishes what it has taken, and ends
	Leaving        // the same, after a drain
)

// String names a phase.
func (p Phase) String() string { return [...]string{"serving", "draining", "stopping", "leaving"}[p] }

// Wanted tells whether clients are told to come. One that stops without a drain does not send them away: whoever
// sends them learns of it otherwise, or another process has the same address already.
func (p Phase) Wanted() bool { return p == Serving || p == Stopping }

// Stops tells whether the program is ending.
func (p Phase) Stops() bool { return p >= Stopping }

// Event is what is asked of a router.
type Event uint8

// The events.
const (
	Drain    Event = iota // from an operator
	Activate              // from an operator
	Stop                  // SIGTERM
)

// next has the phase that follows each by each event.
var next = [...][3]Phase{
	Serving:  {Drain: Draining, Activate: Serving, Stop: Stopping},
	Draining: {Drain: Draining, Activate: Serving, Stop: Leaving},
	Stopping: {Drain: Leaving, Activate: Stopping, Stop: Stopping},
	Leaving:  {Drain: Leaving, Activate: Leaving, Stop: Leaving},
}

// Next is the phase that follows one, and whether what was asked for holds then.
func Next(p Phase, e Event) (to Phase, yes bool) {
	to = next[p][e]
	return to, e != Activate || to == Serving
}

// State is the phase of one router. It may be used by many goroutines.
type State struct {
	mu      sync.Mutex
	phase   Phase
	changed chan struct{}
}

// New returns the State of a router that serves.
func New() *State { return &State{changed: make(chan struct{})} }

// Tell takes an event, and tells whether what it asks for holds now.
func (s *State) Tell(e Event) (yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to, yes := Next(s.phase, e)
	if to != s.phase {
		s.phase = to
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return yes
}

// Phase tells the phase.
func (s *State) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Watch tells the phase, and gives what is closed once it has changed.
func (s *State) Watch() (p Phase, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase, s.changed
}
