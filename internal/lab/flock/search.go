package flock

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/view"
)

// Search goes through all that can happen to a small fleet up to a depth: each datagram that is on its way may come, be
// lost, or wait; each router's clock may go on by a period, whatever the others' do; and each may crash and start anew.
//
// In every state no view may have gone back to an older incarnation of anyone, and from every state, once datagrams come and
// clocks go on alike, all views must agree on who lives within patienceAfter.
type Search struct {
	Routers, Depth int
	Crashes        int           // at most, on each path
	Waiting        int           // datagrams on their way at once; more are lost, the oldest first
	Rewind         bool          // a new life's clock is behind its former one's
	Broken         func(n *Node) // for tests: spoils a state before it is checked

	States, Settled int // states visited, and those from which all settled
	Took            time.Duration
}

// Node is one state of a search.
type Node struct {
	Views []*view.View // nil: it does not run
	now   []time.Duration
	lives []int
	wires []wire
	path  []string
	down  int // crashes so far
}

type wire struct {
	from, to int
	body     []byte
}

const patienceAfter = 20 * time.Second

// Run searches, and tells the first path that leads to a broken state.
func (s *Search) Run() error {
	begun := time.Now()
	defer func() { s.Took = time.Since(begun) }()
	root := &Node{Views: make([]*view.View, s.Routers), now: make([]time.Duration, s.Routers), lives: make([]int, s.Routers)}
	for i := range s.Routers {
		s.start(root, i)
	}
	settle(root) // they know each other; what follows is what can go wrong then
	seen := map[uint64]bool{root.key(): true}
	level := []*Node{root}
	for depth := 0; ; depth++ {
		for _, n := range level {
			s.States++
			if err := s.settles(n); err != nil {
				return err
			}
		}
		if depth == s.Depth {
			return nil
		}
		var next []*Node
		for _, n := range level {
			for _, after := range s.successors(n) {
				if s.Broken != nil {
					s.Broken(after)
				}
				if err := older(n, after); err != nil {
					return err
				}
				if k := after.key(); !seen[k] {
					seen[k] = true
					next = append(next, after)
				}
			}
		}
		level = next
	}
}

func (s *Search) start(n *Node, i int) {
	n.lives[i]++
	life := time.Duration(n.lives[i]) * time.Second
	if s.Rewind {
		life = -life
	}
	n.now[i] += time.Second
	n.Views[i] = view.New(view.Config{Self: i, Of: s.Routers, Start: Epoch.Add(life), Seed: uint64(n.lives[i]), Now: n.now[i]})
	n.Views[i].SetPhase(view.Serving)
}

func (n *Node) clone(what string, args ...any) *Node {
	c := &Node{Views: make([]*view.View, len(n.Views)), now: slices.Clone(n.now), lives: slices.Clone(n.lives),
		wires: slices.Clone(n.wires), down: n.down, path: append(slices.Clone(n.path), fmt.Sprintf(what, args...))}
	for i, v := range n.Views {
		if v != nil {
			c.Views[i] = v.Clone()
		}
	}
	return c
}

func (n *Node) key() uint64 {
	b := make([]byte, 0, 1024)
	for i, v := range n.Views {
		if b = append(b, byte(n.lives[i])); v != nil {
			b = append(v.AppendState(b), 1)
		}
	}
	h := xxhash.New()
	h.Write(b)
	sum := h.Sum64()
	for _, w := range n.wires { // in whatever order they were sent
		sum += xxhash.Sum64(append([]byte{byte(w.from), byte(w.to)}, w.body...))
	}
	return sum
}

// successors are all states that one step leads to.
func (s *Search) successors(n *Node) (all []*Node) {
	for k, w := range n.wires {
		lost := n.clone("from %d to %d lost", w.from, w.to)
		lost.wires = slices.Delete(lost.wires, k, k+1)
		all = append(all, lost)
		if n.Views[w.to] != nil {
			came := n.clone("from %d to %d comes", w.from, w.to)
			came.wires = slices.Delete(came.wires, k, k+1)
			came.Views[w.to].Receive(came.now[w.to], w.from, w.body)
			s.collect(came, w.to)
			all = append(all, came)
		}
	}
	for i, v := range n.Views {
		if v == nil {
			up := n.clone("%d starts", i)
			s.start(up, i)
			all = append(all, up)
			continue
		}
		on := n.clone("%d goes on", i)
		on.tick(i)
		s.collect(on, i)
		all = append(all, on)
		if n.down < s.Crashes {
			crash := n.clone("%d crashes", i)
			crash.Views[i] = nil
			crash.down++
			all = append(all, crash)
		}
	}
	return all
}

// tick lets one router's clock go on to the next thing that is due.
func (n *Node) tick(i int) {
	n.now[i] = max(n.now[i]+time.Millisecond, n.Views[i].Next())
	n.Views[i].Tick(n.now[i])
}

func (s *Search) collect(n *Node, i int) {
	n.Views[i].Events()
	for _, d := range n.Views[i].Out() {
		n.wires = append(n.wires, wire{i, d.To, d.Body})
	}
	if more := len(n.wires) - s.Waiting; more > 0 {
		n.wires = slices.Delete(n.wires, 0, more)
	}
}

// settle lets all come and all go on, each 10 ms at a time, and tells whether and when all agree on who lives.
func settle(n *Node) bool {
	const step = 10 * time.Millisecond
	for spent := time.Duration(0); spent < patienceAfter; spent += step {
		wires := n.wires
		n.wires = nil
		for _, w := range wires {
			if v := n.Views[w.to]; v != nil {
				v.Receive(n.now[w.to], w.from, w.body)
			}
		}
		for i, v := range n.Views {
			if v == nil {
				continue
			}
			if n.now[i] += step; n.now[i] >= v.Next() {
				v.Tick(n.now[i])
			}
			v.Events()
			for _, d := range v.Out() {
				n.wires = append(n.wires, wire{i, d.To, d.Body})
			}
		}
		if agree(n) {
			return true
		}
	}
	return false
}

func agree(n *Node) bool {
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
			if m := &v.Members()[j]; m.Here() != (n.Views[j] != nil) || m.State == view.Suspect {
				return false
			}
		}
	}
	return true
}

func (s *Search) settles(n *Node) error {
	if !settle(n.clone("settles")) {
		return fmt.Errorf("the views don't agree within %v after: %v", patienceAfter, n.path)
	}
	s.Settled++
	return nil
}

var errOlder = errors.New("an older incarnation has replaced a newer one")

func older(before, after *Node) error {
	for i, v := range after.Views {
		if v == nil || before.Views[i] == nil || before.lives[i] != after.lives[i] {
			continue
		}
		for j := range v.Members() {
			if v.Members()[j].Inc.Compare(before.Views[i].Members()[j].Inc) < 0 {
				return fmt.Errorf("%w: of router %d at router %d after %v", errOlder, j, i, after.path)
			}
		}
	}
	return nil
}
