// Package lifecycle tracks whether a router serves, drains or stops. It does no I/O and reads no clock. The parts of
// the router that serve clients query the current phase and are notified when it changes.
package lifecycle

import "sync"

// Phase is the state of a router between its start and its end.
type Phase uint8

// The phases of a router. A router that is stopping or leaving never serves or drains again.
const (
	Serving  Phase = iota
	Draining       // clients are sent away, and served until they disconnect
	Stopping       // the program finishes the requests that it has accepted, and ends
	Leaving        // as Stopping, and clients are sent away because of a drain
)

// String returns the name of a phase.
func (p Phase) String() string { return [...]string{"serving", "draining", "stopping", "leaving"}[p] }

// WantsClients reports whether clients should come to this router. A router that stops without a drain does not send its
// clients away: those who direct clients to it learn of the stop by other means, or another process already serves
// at the same address.
func (p Phase) WantsClients() bool { return p == Serving || p == Stopping }

// IsEnding reports whether the program is ending.
func (p Phase) IsEnding() bool { return p >= Stopping }

// Event is a request to change the phase of a router.
type Event uint8

// The events of a router.
const (
	Drain    Event = iota // an operator takes the router out of service
	Activate              // an operator returns the router to service
	Stop                  // the process receives SIGTERM
)

// transitions holds the phase that follows each phase after each event.
var transitions = [...][3]Phase{
	Serving:  {Drain: Draining, Activate: Serving, Stop: Stopping},
	Draining: {Drain: Draining, Activate: Serving, Stop: Leaving},
	Stopping: {Drain: Leaving, Activate: Stopping, Stop: Stopping},
	Leaving:  {Drain: Leaving, Activate: Leaving, Stop: Leaving},
}

// Next returns the phase that follows phase p after event e, and whether the new phase fulfils the request.
func Next(p Phase, e Event) (to Phase, fulfilled bool) {
	to = transitions[p][e]
	return to, e != Activate || to == Serving
}

// State holds the phase of one router. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	phase   Phase
	changed chan struct{} // closed at the next change of the phase
}

// New returns the State of a router in phase Serving.
func New() *State { return &State{changed: make(chan struct{})} }

// Apply applies an event, and reports whether the phase now fulfils the request.
func (s *State) Apply(e Event) (fulfilled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to, fulfilled := Next(s.phase, e)
	if to != s.phase {
		s.phase = to
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return fulfilled
}

// Phase returns the current phase.
func (s *State) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Watch returns the current phase, and a channel that is closed when the phase changes.
func (s *State) Watch() (p Phase, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase, s.changed
}
