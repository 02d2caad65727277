// Package grants searches for a course of events in which more go out by permit than may: the code of package permit, with
// messages that come, are lost, doubled or late, clocks that come apart, seekers that stand still, and electors that restart.
package grants

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// Tick is the step in which time goes on, and Lease what a permit lasts.
const (
	Tick  = time.Second
	Lease = 5 * Tick
)

// Search goes through all orders of events to a depth, or walks by chance.
type Search struct {
	Electors, Seekers int
	Slots             int // places: at most so many may hold at once
	Depth             int // steps
	Waiting           int // messages on their way at once; more are lost, the oldest first
	Restarts, Doubles int // at most, on each path

	// For searches that must find something: how long a restarted elector is silent, and what a holder takes off its lease for
	// clocks that come apart. A seeker's and an elector's clock may come apart by two ticks of a lease.
	Silence time.Duration
	Margin  time.Duration

	States int
	Took   time.Duration
}

// New is a search of the protocol as it is.
func New(electors, seekers, slots, depth int) *Search {
	return &Search{Electors: electors, Seekers: seekers, Slots: slots, Depth: depth, Waiting: 6, Restarts: 1, Doubles: 1,
		Silence: Lease + Tick, Margin: 2 * Tick} // an elector's clock may be a tick ahead when it counts its silence
}

type node struct {
	now      time.Duration
	electors []*permit.Elector
	seekers  []*permit.Seeker
	ahead    []time.Duration // an elector's clock: 0 or a tick
	behind   []time.Duration // a seeker's: the same
	wires    []wire
	restarts int
	doubles  int
	path     []string
}

type wire struct {
	elector, seeker int
	ask             *permit.Ask   // on its way to the elector
	reply           *permit.Reply // or to the seeker
}

func (s *Search) root() *node {
	n := &node{ahead: make([]time.Duration, s.Electors), behind: make([]time.Duration, s.Seekers)}
	for range s.Electors {
		n.electors = append(n.electors, permit.NewElectorOf(0, Lease, 0))
	}
	for i := range s.Seekers {
		k := permit.NewSeeker(uint64(i+1), s.Electors, Lease)
		k.Drift = float64(s.Margin) / float64(Lease)
		k.Chance = func() float64 { return 0 }
		k.Choose = func(held map[permit.Slot]uint64) []permit.Slot {
			for number := range s.Slots {
				if slot := (permit.Slot{Number: uint8(number)}); held[slot] == 0 {
					return []permit.Slot{slot}
				}
			}
			return nil
		}
		k.Want(0)
		n.seekers = append(n.seekers, k)
		s.collect(n, i)
	}
	return n
}

func (n *node) clone(format string, args ...any) *node {
	c := *n
	c.ahead, c.behind, c.wires = slices.Clone(n.ahead), slices.Clone(n.behind), slices.Clone(n.wires)
	c.electors, c.seekers = slices.Clone(n.electors), slices.Clone(n.seekers) // each is cloned when it is changed
	c.path = append(slices.Clone(n.path), fmt.Sprintf(format, args...))
	return &c
}

func (n *node) elector(i int) *permit.Elector {
	n.electors[i] = n.electors[i].Clone()
	return n.electors[i]
}

func (n *node) seeker(i int) *permit.Seeker {
	n.seekers[i] = n.seekers[i].Clone()
	return n.seekers[i]
}

// electorNow and seekerNow are what their clocks say.
func (n *node) electorNow(i int) time.Duration { return n.now + n.ahead[i] }
func (n *node) seekerNow(i int) time.Duration  { return n.now - n.behind[i] }

func (s *Search) collect(n *node, i int) {
	for _, o := range n.seekers[i].Out() {
		n.wires = append(n.wires, wire{elector: o.To, seeker: i, ask: &o.Ask})
	}
	s.room(n)
}

func (s *Search) room(n *node) {
	if more := len(n.wires) - s.Waiting; more > 0 {
		n.wires = slices.Delete(n.wires, 0, more)
	}
}

// deliver hands a message over.
func (s *Search) deliver(n *node, w wire) {
	if w.ask != nil {
		r := n.elector(w.elector).Take(n.electorNow(w.elector), w.ask)
		n.wires = append(n.wires, wire{elector: w.elector, seeker: w.seeker, reply: &r})
		s.room(n)
		return
	}
	n.seeker(w.seeker).Take(n.seekerNow(w.seeker), w.elector, w.reply)
	s.collect(n, w.seeker)
}

// steps are all that can happen next.
func (s *Search) steps(n *node) (all []func() *node) {
	add := func(do func() *node) { all = append(all, do) }
	for k, w := range n.wires {
		take := func(what string) *node {
			name := fmt.Sprintf("seeker %d to elector %d", w.seeker, w.elector)
			if w.reply != nil {
				name = fmt.Sprintf("elector %d to seeker %d: %v", w.elector, w.seeker, w.reply.Why)
			}
			return n.clone("%s %s", name, what)
		}
		add(func() *node {
			came := take("comes")
			came.wires = slices.Delete(came.wires, k, k+1)
			s.deliver(came, w)
			return came
		})
		add(func() *node {
			lost := take("is lost")
			lost.wires = slices.Delete(lost.wires, k, k+1)
			return lost
		})
		if n.doubles < s.Doubles {
			add(func() *node {
				twice := take("comes, and will again")
				twice.doubles++
				s.deliver(twice, w)
				return twice
			})
		}
	}
	add(func() *node {
		on := n.clone("a second")
		on.now += Tick
		return on
	})
	for i := range n.seekers {
		add(func() *node {
			step := n.clone("seeker %d goes on", i)
			step.seeker(i).Tick(step.seekerNow(i))
			s.collect(step, i)
			return step
		})
		if n.seekers[i].Clone().Phase(n.seekerNow(i)) == permit.Holding {
			add(func() *node {
				back := n.clone("seeker %d gives it back", i)
				back.seeker(i).Return(back.seekerNow(i))
				s.collect(back, i)
				return back
			})
		}
		if n.behind[i] == 0 {
			add(func() *node {
				slow := n.clone("seeker %d's clock falls behind", i)
				slow.behind[i] = Tick
				return slow
			})
		}
	}
	for i := range n.electors {
		if n.ahead[i] == 0 {
			add(func() *node {
				fast := n.clone("elector %d's clock gets ahead", i)
				fast.ahead[i] = Tick
				return fast
			})
		}
		if n.restarts < s.Restarts {
			add(func() *node {
				again := n.clone("elector %d restarts", i)
				again.restarts++
				again.electors[i] = permit.NewElectorOf(again.electorNow(i), Lease, s.Silence)
				return again
			})
		}
	}
	return all
}

func (n *node) key() uint64 {
	b := make([]byte, 0, 512)
	for i, e := range n.electors {
		b = append(e.AppendState(b, n.electorNow(i)), byte(n.ahead[i]/Tick))
	}
	for i, k := range n.seekers {
		b = append(k.AppendState(b, n.seekerNow(i)), byte(n.behind[i]/Tick))
	}
	sum := xxhash.Sum64(append(b, byte(n.restarts), byte(n.doubles)))
	for _, w := range n.wires {
		sum += xxhash.Sum64String(fmt.Sprintf("%d %d %v %v", w.elector, w.seeker, w.ask, w.reply))
	}
	return sum
}

// broken tells who holds one place at once.
func (s *Search) broken(n *node) error {
	by := map[permit.Slot]int{}
	for i, k := range n.seekers {
		k = k.Clone()
		if k.Phase(n.seekerNow(i)) != permit.Holding {
			continue
		}
		for _, slot := range k.Slots() {
			if other, twice := by[slot]; twice {
				return fmt.Errorf("seekers %d and %d hold place %d at once after %q", other, i, slot.Number, n.path)
			}
			by[slot] = i
		}
	}
	return nil
}

// Run goes through all orders and tells the first that breaks the bound.
func (s *Search) Run() error {
	begun := time.Now()
	defer func() { s.Took = time.Since(begun) }()
	root := s.root()
	seen := map[uint64]bool{root.key(): true}
	level := []*node{root}
	for range s.Depth {
		var next []*node
		for _, n := range level {
			for _, step := range s.steps(n) {
				after := step()
				k := after.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				s.States++
				if err := s.broken(after); err != nil {
					return err
				}
				next = append(next, after)
			}
		}
		level = next
	}
	return nil
}

// Walk goes on by chance, again and again from the beginning, and tells the first course that breaks the bound.
func (s *Search) Walk(walks int, seed uint64) (held int, err error) {
	begun := time.Now()
	defer func() { s.Took = time.Since(begun) }()
	for w := range walks {
		r := rand.New(rand.NewPCG(seed, uint64(w)))
		n := s.root()
		for range s.Depth {
			all := s.steps(n)
			n = all[r.IntN(len(all))]()
			s.States++
			if err := s.broken(n); err != nil {
				return held, err
			}
			for i, k := range n.seekers {
				if k.Clone().Phase(n.seekerNow(i)) == permit.Holding {
					held++
				}
			}
		}
	}
	return held, nil
}
