// Package leasesearch looks for a course of events in which two holders have a lease on the same
// slot at once. It runs the code of package permit with messages that arrive, are lost, duplicated
// or delayed, clocks that drift apart, seekers that pause and electors that restart.
package leasesearch

import (
	"math/rand/v2"
	"time"

	"hoptiller/internal/fleet/permit"
)

const (
	// Tick is the step by which time advances.
	Tick = time.Second
	// Lease is the time for which a permit is granted.
	Lease = 5 * Tick
)

const (
	defaultMaxInFlight = 6
	maxElectorDrift    = Tick // an elector's clock may be ahead by this
	maxSeekerDrift     = Tick // a seeker's clock may be behind by this
)

// Search explores all orders of events up to a depth (Run), or a random sample of them (RandomWalks).
type Search struct {
	Electors, Seekers int
	Slots             int // each may have one holder at a time
	Depth             int // number of steps
	MaxInFlight       int // messages at once; the oldest of more are lost
	MaxRestarts       int // of electors, on each path
	MaxDuplicates     int // of messages, on each path

	// StartDelay is the time for which a restarted elector grants nothing, and DriftMargin what a
	// holder subtracts from its lease for the drift of clocks. A seeker's clock and an elector's may
	// drift apart by two ticks in a lease. Searches that must find a violation shorten these.
	StartDelay  time.Duration
	DriftMargin time.Duration

	States int // states visited
	Took   time.Duration
}

// New returns a search of the protocol with the delays and margins that make it safe.
func New(electors, seekers, slots, depth int) *Search {
	return &Search{
		Electors:      electors,
		Seekers:       seekers,
		Slots:         slots,
		Depth:         depth,
		MaxInFlight:   defaultMaxInFlight,
		MaxRestarts:   1,
		MaxDuplicates: 1,
		StartDelay:    Lease + maxElectorDrift, // the elector's clock may be ahead when it counts this
		DriftMargin:   maxElectorDrift + maxSeekerDrift,
	}
}

// Run explores all orders of events breadth-first. It returns an error that names the first path to
// a state in which a slot has two holders.
func (s *Search) Run() error {
	start := time.Now()
	defer func() { s.Took = time.Since(start) }()
	root := s.root()
	seen := map[uint64]bool{root.key(): true}
	level := []*state{root}
	for range s.Depth {
		var next []*state
		for _, n := range level {
			for _, step := range s.steps(n) {
				after := step()
				key := after.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				s.States++
				if err := after.checkHolders(); err != nil {
					return err
				}
				next = append(next, after)
			}
		}
		level = next
	}
	return nil
}

// RandomWalks takes random steps from the beginning, so many times. It returns the number of seekers
// that held a permit, summed over all states, and an error that names the first path to a state in
// which a slot has two holders.
func (s *Search) RandomWalks(walks int, seed uint64) (holders int, err error) {
	start := time.Now()
	defer func() { s.Took = time.Since(start) }()
	for walk := range walks {
		rng := rand.New(rand.NewPCG(seed, uint64(walk)))
		n := s.root()
		for range s.Depth {
			steps := s.steps(n)
			n = steps[rng.IntN(len(steps))]()
			s.States++
			if err := n.checkHolders(); err != nil {
				return holders, err
			}
			holders += n.holders()
		}
	}
	return holders, nil
}

// root returns the state in which all electors and seekers have just started.
func (s *Search) root() *state {
	n := &state{ahead: make([]time.Duration, s.Electors), behind: make([]time.Duration, s.Seekers)}
	for range s.Electors {
		n.electors = append(n.electors, permit.NewElectorOf(0, Lease, 0))
	}
	for i := range s.Seekers {
		n.seekers = append(n.seekers, s.newSeeker(uint64(i+1)))
		s.collect(n, i)
	}
	return n
}

// newSeeker returns a seeker that wants the first free slot, without randomness.
func (s *Search) newSeeker(id uint64) *permit.Seeker {
	seeker := permit.NewSeeker(id, s.Electors, Lease)
	seeker.Drift = float64(s.DriftMargin) / float64(Lease)
	seeker.Chance = func() float64 { return 0 }
	seeker.Choose = func(held map[permit.Slot]uint64) []permit.Slot {
		for number := range s.Slots {
			if slot := (permit.Slot{Number: uint16(number)}); held[slot] == 0 {
				return []permit.Slot{slot}
			}
		}
		return nil
	}
	seeker.Want(0)
	return seeker
}
