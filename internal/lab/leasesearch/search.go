// Package leasesearch searches for a sequence of events after which two acquirers hold a permit for the same slot at
// once. It runs the code of package permit with messages that arrive, are lost, duplicated or delayed, clocks that drift
// apart, acquirers that pause and voters that restart.
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
	maxVoterDrift      = Tick // a voter's clock may be ahead by this
	maxAcquirerDrift   = Tick // an acquirer's clock may be behind by this
)

// Search explores all orders of events up to a depth (Run), or a random sample of them (RandomWalks).
type Search struct {
	Voters, Acquirers int
	Slots             int // number of slots; each may have one holder at a time
	Depth             int // number of steps
	MaxInFlight       int // maximum number of messages in flight; beyond it the oldest are lost
	MaxRestarts       int // maximum number of restarts of voters on each path
	MaxDuplicates     int // maximum number of duplicated messages on each path

	// StartDelay is the time for which a restarted voter grants nothing. DriftMargin is the time that a holder subtracts
	// from its lease for the drift of clocks: the clocks of an acquirer and of a voter may drift apart by two ticks in a
	// lease. Searches that must find a violation shorten these.
	StartDelay  time.Duration
	DriftMargin time.Duration

	States   int // number of visited states
	Duration time.Duration
}

// New returns a search of the protocol with a start delay and a drift margin that make it safe.
func New(voters, acquirers, slots, depth int) *Search {
	return &Search{
		Voters:        voters,
		Acquirers:     acquirers,
		Slots:         slots,
		Depth:         depth,
		MaxInFlight:   defaultMaxInFlight,
		MaxRestarts:   1,
		MaxDuplicates: 1,
		StartDelay:    Lease + maxVoterDrift, // measured by the voter's clock, which may be ahead
		DriftMargin:   maxVoterDrift + maxAcquirerDrift,
	}
}

// Run explores all orders of events breadth-first. It returns an error that names the path to the first state in which a
// slot has two holders.
func (s *Search) Run() error {
	start := time.Now()
	defer func() { s.Duration = time.Since(start) }()
	root := s.root()
	visited := map[uint64]bool{root.key(): true}
	level := []*state{root}
	for range s.Depth {
		var next []*state
		for _, n := range level {
			for _, step := range s.steps(n) {
				after := step()
				key := after.key()
				if visited[key] {
					continue
				}
				visited[key] = true
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

// RandomWalks takes a number of random walks of Depth steps from the root. It returns the number of acquirers that held a
// permit, summed over all states, and an error that names the path to the first state in which a slot has two holders.
func (s *Search) RandomWalks(walks int, seed uint64) (holders int, err error) {
	start := time.Now()
	defer func() { s.Duration = time.Since(start) }()
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

// root returns the state in which all voters and acquirers have just started.
func (s *Search) root() *state {
	n := &state{ahead: make([]time.Duration, s.Voters), behind: make([]time.Duration, s.Acquirers)}
	for range s.Voters {
		n.voters = append(n.voters, permit.NewVoterWithDurations(0, Lease, 0))
	}
	for i := range s.Acquirers {
		n.acquirers = append(n.acquirers, s.newAcquirer(uint64(i+1)))
		s.collect(n, i)
	}
	return n
}

// newAcquirer returns an acquirer that requests the first free slot. Its random source always returns 0.
func (s *Search) newAcquirer(id uint64) *permit.Acquirer {
	acquirer := permit.NewAcquirer(id, s.Voters, Lease)
	acquirer.ClockDrift = float64(s.DriftMargin) / float64(Lease)
	acquirer.Random = func() float64 { return 0 }
	acquirer.Choose = func(held map[permit.Slot]uint64) []permit.Slot {
		for number := range s.Slots {
			if slot := (permit.Slot{Number: uint16(number)}); held[slot] == 0 {
				return []permit.Slot{slot}
			}
		}
		return nil
	}
	acquirer.Acquire(0)
	return acquirer
}
