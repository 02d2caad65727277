package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/view"
)

// Search explores all that can happen to a small fleet up to a depth: each datagram in flight may
// arrive, be lost or wait; each router's clock may advance by a period, independently of the others;
// and each router may crash and start again.
//
// In every state, no view may have gone back to an older incarnation of any router. From every
// state, once datagrams arrive and clocks advance together, all views must converge within
// convergenceTimeout.
type Search struct {
	Routers, Depth int
	MaxCrashes     int            // on each path
	MaxInFlight    int            // datagrams at once; the oldest of more are lost
	ClockSetBack   bool           // the clock of each new incarnation is behind that of the one before
	Corrupt        func(n *State) // for tests: corrupts a state before it is checked

	States, Converged int // states visited, and those of them from which all views converged
	Took              time.Duration
}

// State is one state of a search.
type State struct {
	Views        []*view.View // nil for a router that doesn't run
	now          []time.Duration
	incarnations []int
	inFlight     []message
	path         []string // the steps that lead here
	crashes      int
}

type message struct {
	from, to int
	body     []byte
}

const (
	convergenceTimeout = 20 * time.Second
	clockStep          = 10 * time.Millisecond // of all clocks while a state converges
	minAdvance         = time.Millisecond      // of one router's clock in a step of the search
	restartTime        = time.Second           // between two incarnations of a router
)

// Run searches breadth-first and returns an error that names the first path to a state that violates
// a condition.
func (s *Search) Run() error {
	start := time.Now()
	defer func() { s.Took = time.Since(start) }()
	root := s.root()
	seen := map[uint64]bool{root.key(): true}
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
		next, err := s.nextLevel(level, seen)
		if err != nil {
			return err
		}
		level = next
	}
}

// root returns the state in which all routers run and know each other.
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

// nextLevel returns the states one step after those of a level that have not been seen yet.
func (s *Search) nextLevel(level []*State, seen map[uint64]bool) ([]*State, error) {
	var next []*State
	for _, state := range level {
		for _, after := range s.successors(state) {
			if s.Corrupt != nil {
				s.Corrupt(after)
			}
			if err := checkIncarnations(state, after); err != nil {
				return nil, err
			}
			if key := after.key(); !seen[key] {
				seen[key] = true
				next = append(next, after)
			}
		}
	}
	return next, nil
}

func (s *Search) start(n *State, i int) {
	n.incarnations[i]++
	startTime := time.Duration(n.incarnations[i]) * restartTime
	if s.ClockSetBack {
		startTime = -startTime
	}
	n.now[i] += restartTime
	n.Views[i] = view.New(view.Config{
		Self:  i,
		Of:    s.Routers,
		Start: Epoch.Add(startTime),
		Seed:  uint64(n.incarnations[i]),
		Now:   n.now[i],
	})
	n.Views[i].SetPhase(view.Serving)
}

// clone returns a deep copy whose path has one more step.
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
	sum := xxhash.Sum64(b)
	for _, m := range n.inFlight {
		sum += xxhash.Sum64(append([]byte{byte(m.from), byte(m.to)}, m.body...))
	}
	return sum
}

// successors returns all states that one step leads to.
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
		ticked := n.clone("%d goes on", i)
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

// deliveries returns the states in which the k-th datagram in flight is lost and has arrived.
func (s *Search) deliveries(n *State, k int, m message) []*State {
	lost := n.clone("from %d to %d lost", m.from, m.to)
	lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
	if n.Views[m.to] == nil {
		return []*State{lost}
	}
	arrived := n.clone("from %d to %d comes", m.from, m.to)
	arrived.inFlight = slices.Delete(arrived.inFlight, k, k+1)
	arrived.Views[m.to].Receive(arrived.now[m.to], m.from, m.body)
	s.collect(arrived, m.to)
	return []*State{lost, arrived}
}

// tick advances one router's clock to the next time at which its view is due.
func (n *State) tick(i int) {
	n.now[i] = max(n.now[i]+minAdvance, n.Views[i].Next())
	n.Views[i].Tick(n.now[i])
}

// collect puts the datagrams that a view has queued in flight.
func (s *Search) collect(n *State, i int) {
	n.Views[i].Events()
	n.send(i)
	if excess := len(n.inFlight) - s.MaxInFlight; excess > 0 {
		n.inFlight = slices.Delete(n.inFlight, 0, excess)
	}
}

func (n *State) send(i int) {
	for _, datagram := range n.Views[i].Out() {
		n.inFlight = append(n.inFlight, message{i, datagram.To, datagram.Body})
	}
}

// converge delivers all datagrams and advances all clocks together, and reports whether all views
// converge within convergenceTimeout.
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
			if n.now[i] += clockStep; n.now[i] >= v.Next() {
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

// converged reports whether all views are the same, and exactly the running routers are alive in
// them and none is suspected.
func (n *State) converged() bool {
	sum, first := uint32(0), true
	for _, v := range n.Views {
		if v == nil {
			continue
		}
		if first {
			sum, first = v.Sum(), false
		}
		if v.Sum() != sum {
			return false
		}
		for j := range v.Members() {
			member := &v.Members()[j]
			if member.Here() != (n.Views[j] != nil) || member.State == view.Suspect {
				return false
			}
		}
	}
	return true
}

func (s *Search) checkConvergence(n *State) error {
	if !converge(n.clone("settles")) {
		return fmt.Errorf("the views don't agree within %v after: %v", convergenceTimeout, n.path)
	}
	s.Converged++
	return nil
}

var errOlderIncarnation = errors.New("an older incarnation has replaced a newer one")

// checkIncarnations returns an error if a step has taken a view back to an older incarnation.
func checkIncarnations(before, after *State) error {
	for i, v := range after.Views {
		if v == nil || before.Views[i] == nil || before.incarnations[i] != after.incarnations[i] {
			continue
		}
		for j := range v.Members() {
			if v.Members()[j].Inc.Compare(before.Views[i].Members()[j].Inc) < 0 {
				return fmt.Errorf("%w: of router %d at router %d after %v", errOlderIncarnation, j, i, after.path)
			}
		}
	}
	return nil
}
