package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/view"
)

// Search explores all sequences of events in a small fleet up to a depth. Each datagram in flight may arrive, be lost or
// wait. Each router's clock may advance to its view's next tick, independently of the others. Each router may crash and
// start again.
//
// No step may take a view back to an older incarnation of any router. From every state, all views must converge within
// convergenceTimeout once all datagrams arrive and all clocks advance together.
type Search struct {
	Routers, Depth int
	MaxCrashes     int            // maximum number of crashes on each path
	MaxInFlight    int            // maximum number of datagrams in flight; beyond it the oldest are lost
	ClockSetBack   bool           // each new incarnation of a router starts with a clock that is behind the previous one's
	Corrupt        func(n *State) // corrupts a state before it is checked; for tests

	States, Converged int // number of visited states; number of those from which all views converged
	Duration          time.Duration
}

// State is one state of the fleet in a search.
type State struct {
	Views        []*view.View // nil for a router that doesn't run
	now          []time.Duration
	incarnations []int
	inFlight     []message
	path         []string // the steps from the root to this state
	crashes      int
}

// message is one datagram in flight.
type message struct {
	from, to int
	body     []byte
}

const (
	convergenceTimeout = 20 * time.Second
	clockStep          = 10 * time.Millisecond // step of all clocks in converge
	minAdvance         = time.Millisecond      // minimum advance of a router's clock in a step of the search
	restartTime        = time.Second           // time between the starts of two incarnations of a router
)

// Run searches breadth-first. It returns an error that names the path to the first state that violates an invariant.
func (s *Search) Run() error {
	start := time.Now()
	defer func() { s.Duration = time.Since(start) }()
	root := s.root()
	visited := map[uint64]bool{root.key(): true}
	level := []*State{root}
	for depth := 0; ; depth++ {
		for _, state := range level {
			s.States++
			if err := s.checkConvergence(state); err != nil {
				return err
			}
		}
		if depth == s.Depth {
			return nil
		}
		next, err := s.nextLevel(level, visited)
		if err != nil {
			return err
		}
		level = next
	}
}

// root returns the state in which all routers run and all views have converged.
func (s *Search) root() *State {
	root := &State{
		Views:        make([]*view.View, s.Routers),
		now:          make([]time.Duration, s.Routers),
		incarnations: make([]int, s.Routers),
	}
	for i := range s.Routers {
		s.start(root, i)
	}
	converge(root)
	return root
}

// nextLevel returns the states that are one step from those of a level and have not been visited yet.
func (s *Search) nextLevel(level []*State, visited map[uint64]bool) ([]*State, error) {
	var next []*State
	for _, state := range level {
		for _, after := range s.successors(state) {
			if s.Corrupt != nil {
				s.Corrupt(after)
			}
			if err := checkIncarnations(state, after); err != nil {
				return nil, err
			}
			if key := after.key(); !visited[key] {
				visited[key] = true
				next = append(next, after)
			}
		}
	}
	return next, nil
}

// start starts a new incarnation of a router.
func (s *Search) start(n *State, i int) {
	n.incarnations[i]++
	startTime := time.Duration(n.incarnations[i]) * restartTime
	if s.ClockSetBack {
		startTime = -startTime
	}
	n.now[i] += restartTime
	n.Views[i] = view.New(view.Config{
		Self:        i,
		RouterCount: s.Routers,
		Start:       Epoch.Add(startTime),
		Seed:        uint64(n.incarnations[i]),
		Now:         n.now[i],
	})
	n.Views[i].SetPhase(view.Serving)
}

// clone returns a deep copy with one more step on its path.
func (n *State) clone(step string, args ...any) *State {
	c := &State{
		Views:        make([]*view.View, len(n.Views)),
		now:          slices.Clone(n.now),
		incarnations: slices.Clone(n.incarnations),
		inFlight:     slices.Clone(n.inFlight),
		path:         append(slices.Clone(n.path), fmt.Sprintf(step, args...)),
		crashes:      n.crashes,
	}
	for i, v := range n.Views {
		if v != nil {
			c.Views[i] = v.Clone()
		}
	}
	return c
}

// key returns a hash of the state. It doesn't depend on the order of the datagrams in flight.
func (n *State) key() uint64 {
	b := make([]byte, 0, 1024)
	for i, v := range n.Views {
		if b = append(b, byte(n.incarnations[i])); v != nil {
			b = append(v.AppendState(b), 1)
		}
	}
	checksum := xxhash.Sum64(b)
	for _, m := range n.inFlight {
		checksum += xxhash.Sum64(append([]byte{byte(m.from), byte(m.to)}, m.body...))
	}
	return checksum
}

// successors returns all states that are one step away.
func (s *Search) successors(n *State) (all []*State) {
	for k, m := range n.inFlight {
		all = append(all, s.deliveries(n, k, m)...)
	}
	for i, v := range n.Views {
		if v == nil {
			restarted := n.clone("%d starts", i)
			s.start(restarted, i)
			all = append(all, restarted)
			continue
		}
		ticked := n.clone("%d ticks", i)
		ticked.tick(i)
		s.collect(ticked, i)
		all = append(all, ticked)
		if n.crashes < s.MaxCrashes {
			crashed := n.clone("%d crashes", i)
			crashed.Views[i] = nil
			crashed.crashes++
			all = append(all, crashed)
		}
	}
	return all
}

// deliveries returns a state in which the k-th datagram in flight is lost and, if its receiver runs, one in which it has
// arrived.
func (s *Search) deliveries(n *State, k int, m message) []*State {
	lost := n.clone("from %d to %d lost", m.from, m.to)
	lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
	if n.Views[m.to] == nil {
		return []*State{lost}
	}
	arrived := n.clone("from %d to %d arrives", m.from, m.to)
	arrived.inFlight = slices.Delete(arrived.inFlight, k, k+1)
	arrived.Views[m.to].Receive(arrived.now[m.to], m.from, m.body)
	s.collect(arrived, m.to)
	return []*State{lost, arrived}
}

// tick advances one router's clock to the next tick of its view, and ticks it.
func (n *State) tick(i int) {
	n.now[i] = max(n.now[i]+minAdvance, n.Views[i].NextTick())
	n.Views[i].Tick(n.now[i])
}

// collect moves the datagrams that a view has queued into the network.
func (s *Search) collect(n *State, i int) {
	n.Views[i].Events()
	n.send(i)
	if excess := len(n.inFlight) - s.MaxInFlight; excess > 0 {
		n.inFlight = slices.Delete(n.inFlight, 0, excess)
	}
}

// send adds the datagrams that a view has queued to those in flight.
func (n *State) send(i int) {
	for _, datagram := range n.Views[i].Outgoing() {
		n.inFlight = append(n.inFlight, message{i, datagram.To, datagram.Body})
	}
}

// converge delivers all datagrams and advances all clocks together. It reports whether all views converge within
// convergenceTimeout.
func converge(n *State) bool {
	for elapsed := time.Duration(0); elapsed < convergenceTimeout; elapsed += clockStep {
		arriving := n.inFlight
		n.inFlight = nil
		for _, m := range arriving {
			if v := n.Views[m.to]; v != nil {
				v.Receive(n.now[m.to], m.from, m.body)
			}
		}
		for i, v := range n.Views {
			if v == nil {
				continue
			}
			if n.now[i] += clockStep; n.now[i] >= v.NextTick() {
				v.Tick(n.now[i])
			}
			v.Events()
			n.send(i)
		}
		if n.converged() {
			return true
		}
	}
	return false
}

// converged reports whether all views are the same, exactly the running routers are alive in them, and no router is
// suspected.
func (n *State) converged() bool {
	checksum, first := uint32(0), true
	for _, v := range n.Views {
		if v == nil {
			continue
		}
		if first {
			checksum, first = v.Checksum(), false
		}
		if v.Checksum() != checksum {
			return false
		}
		for j := range v.Members() {
			member := &v.Members()[j]
			if member.AssumedAlive() != (n.Views[j] != nil) || member.State == view.Suspect {
				return false
			}
		}
	}
	return true
}

// checkConvergence returns an error if the views of a state don't converge.
func (s *Search) checkConvergence(n *State) error {
	if !converge(n.clone("settles")) {
		return fmt.Errorf("the views don't agree within %v after: %v", convergenceTimeout, n.path)
	}
	s.Converged++
	return nil
}

var errOlderIncarnation = errors.New("an older incarnation has replaced a newer one")

// checkIncarnations returns an error if a step took a view back to an older incarnation of a router.
func checkIncarnations(before, after *State) error {
	for i, v := range after.Views {
		if v == nil || before.Views[i] == nil || before.incarnations[i] != after.incarnations[i] {
			continue
		}
		for j := range v.Members() {
			if v.Members()[j].Incarnation.Compare(before.Views[i].Members()[j].Incarnation) < 0 {
				return fmt.Errorf("%w: of router %d at router %d after %v", errOlderIncarnation, j, i, after.path)
			}
		}
	}
	return nil
}
