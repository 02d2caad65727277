package leasesearch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// state is one state of a search.
type state struct {
	now        time.Duration
	electors   []*permit.Elector // shared with other states; elector returns one that may be changed
	seekers    []*permit.Seeker  // shared with other states; seeker returns one that may be changed
	ahead      []time.Duration   // of each elector's clock: 0 or maxElectorDrift
	behind     []time.Duration   // of each seeker's clock: 0 or maxSeekerDrift
	inFlight   []message
	restarts   int
	duplicates int
	path       []string // the steps that lead here
}

// clone returns a copy whose path has one more step. Electors and seekers are copied on write.
func (n *state) clone(format string, args ...any) *state {
	c := *n
	c.ahead, c.behind = slices.Clone(n.ahead), slices.Clone(n.behind)
	c.inFlight = slices.Clone(n.inFlight)
	c.electors, c.seekers = slices.Clone(n.electors), slices.Clone(n.seekers)
	c.path = append(slices.Clone(n.path), fmt.Sprintf(format, args...))
	return &c
}

// elector returns an elector that this state alone has, to be changed.
func (n *state) elector(i int) *permit.Elector {
	n.electors[i] = n.electors[i].Clone()
	return n.electors[i]
}

// seeker returns a seeker that this state alone has, to be changed.
func (n *state) seeker(i int) *permit.Seeker {
	n.seekers[i] = n.seekers[i].Clone()
	return n.seekers[i]
}

// electorNow returns what an elector's clock shows.
func (n *state) electorNow(i int) time.Duration { return n.now + n.ahead[i] }

// seekerNow returns what a seeker's clock shows.
func (n *state) seekerNow(i int) time.Duration { return n.now - n.behind[i] }

// holds reports whether a seeker holds a permit by its own clock.
func (n *state) holds(i int) bool {
	return n.seekers[i].Clone().Phase(n.seekerNow(i)) == permit.Holding // Phase may change the seeker
}

// holders returns the number of seekers that hold a permit.
func (n *state) holders() (count int) {
	for i := range n.seekers {
		if n.holds(i) {
			count++
		}
	}
	return count
}

// checkHolders returns an error if two seekers hold the same slot.
func (n *state) checkHolders() error {
	holder := map[permit.Slot]int{}
	for i, seeker := range n.seekers {
		seeker = seeker.Clone()
		if seeker.Phase(n.seekerNow(i)) != permit.Holding {
			continue
		}
		for _, slot := range seeker.Slots() {
			if other, taken := holder[slot]; taken {
				return fmt.Errorf("seekers %d and %d hold place %d at once after %q", other, i, slot.Number, n.path)
			}
			holder[slot] = i
		}
	}
	return nil
}

// key returns a hash of the state. It doesn't depend on the order of the messages in flight.
func (n *state) key() uint64 {
	b := make([]byte, 0, 512)
	for i, elector := range n.electors {
		b = append(elector.AppendState(b, n.electorNow(i)), byte(n.ahead[i]/Tick))
	}
	for i, seeker := range n.seekers {
		b = append(seeker.AppendState(b, n.seekerNow(i)), byte(n.behind[i]/Tick))
	}
	sum := xxhash.Sum64(append(b, byte(n.restarts), byte(n.duplicates)))
	for _, m := range n.inFlight {
		sum += xxhash.Sum64String(fmt.Sprintf("%d %d %v %v", m.elector, m.seeker, m.ask, m.reply))
	}
	return sum
}
