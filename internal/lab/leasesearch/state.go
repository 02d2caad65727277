package leasesearch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/permit"
)

// state is one state of the voters, acquirers and messages in a search.
type state struct {
	now        time.Duration
	voters     []*permit.Voter    // shared with other states; voter returns one that may be changed
	acquirers  []*permit.Acquirer // shared with other states; acquirer returns one that may be changed
	ahead      []time.Duration    // lead of each voter's clock: 0 or maxVoterDrift
	behind     []time.Duration    // lag of each acquirer's clock: 0 or maxAcquirerDrift
	inFlight   []message
	restarts   int
	duplicates int
	path       []string // the steps from the root to this state
}

// clone returns a copy with one more step on its path. Voters and acquirers are copied on write.
func (n *state) clone(format string, args ...any) *state {
	c := *n
	c.ahead, c.behind = slices.Clone(n.ahead), slices.Clone(n.behind)
	c.inFlight = slices.Clone(n.inFlight)
	c.voters, c.acquirers = slices.Clone(n.voters), slices.Clone(n.acquirers)
	c.path = append(slices.Clone(n.path), fmt.Sprintf(format, args...))
	return &c
}

// voter replaces a voter by a copy that no other state shares, and returns the copy for changes.
func (n *state) voter(i int) *permit.Voter {
	n.voters[i] = n.voters[i].Clone()
	return n.voters[i]
}

// acquirer replaces an acquirer by a copy that no other state shares, and returns the copy for changes.
func (n *state) acquirer(i int) *permit.Acquirer {
	n.acquirers[i] = n.acquirers[i].Clone()
	return n.acquirers[i]
}

// voterNow returns the time on a voter's clock.
func (n *state) voterNow(i int) time.Duration { return n.now + n.ahead[i] }

// acquirerNow returns the time on an acquirer's clock.
func (n *state) acquirerNow(i int) time.Duration { return n.now - n.behind[i] }

// holds reports whether an acquirer holds a permit, by its own clock.
func (n *state) holds(i int) bool {
	return n.acquirers[i].Clone().Phase(n.acquirerNow(i)) == permit.Holding // on a copy, because Phase may change the acquirer
}

// holders returns the number of acquirers that hold a permit.
func (n *state) holders() (count int) {
	for i := range n.acquirers {
		if n.holds(i) {
			count++
		}
	}
	return count
}

// checkHolders returns an error if two acquirers hold the same slot.
func (n *state) checkHolders() error {
	holder := map[permit.Slot]int{}
	for i, acquirer := range n.acquirers {
		acquirer = acquirer.Clone()
		if acquirer.Phase(n.acquirerNow(i)) != permit.Holding {
			continue
		}
		for _, slot := range acquirer.Slots() {
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
	for i, voter := range n.voters {
		b = append(voter.AppendState(b, n.voterNow(i)), byte(n.ahead[i]/Tick))
	}
	for i, acquirer := range n.acquirers {
		b = append(acquirer.AppendState(b, n.acquirerNow(i)), byte(n.behind[i]/Tick))
	}
	sum := xxhash.Sum64(append(b, byte(n.restarts), byte(n.duplicates)))
	for _, m := range n.inFlight {
		sum += xxhash.Sum64String(fmt.Sprintf("%d %d %v %v", m.voter, m.acquirer, m.request, m.reply))
	}
	return sum
}
