// Package drains keeps new requests away from slot caches that the fleet's operators drain, whatever discovery says of them. It
// stands between discovery and the listeners to its server lists, and changes the entries of drained slot caches. The decision
// module treats a slot cache that operators drain like one that discovery lists as draining.
//
// A drain may be gradual: the slot cache's weight falls over a time, so that its keys move, a few at a time, to the slot caches
// that are next in line for them. Neither the origin nor those slot caches then get all of its misses at once. When the drain
// ends, the weight rises in the same way.
package drains

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// Listener receives server lists.
type Listener interface {
	// UpdateServers handles a full list of servers, or the changed entries of one.
	UpdateServers(kind hoptiller.ListKind, servers []relay.Server)
	// Knows reports whether the server with this ID is known.
	Knows(id uint32) bool
}

// Drain says how a slot cache is drained.
type Drain struct {
	Duration time.Duration // time in which the weight falls from full to zero, and rises again afterwards
	Complete bool          // the weight has reached zero already: a router that learns of the drain late starts at zero
}

// weightSteps is the number of steps in which a weight falls or rises.
const weightSteps = 16

// drainState is the state of a slot cache that is drained, or whose weight rises again after a drain.
type drainState struct {
	drain  Drain
	since  time.Duration // when the weight began to fall or rise
	rising bool          // the drain has ended
	step   int           // current weight in steps: 0 is zero weight, weightSteps is full weight
}

// stepAt returns the step at a time.
func (s *drainState) stepAt(now time.Duration) int {
	fraction := 1.0
	if s.drain.Duration > 0 && (s.rising || !s.drain.Complete) {
		fraction = min(1, float64(now-s.since)/float64(s.drain.Duration))
	}
	if s.rising {
		return int(fraction * weightSteps)
	}
	return weightSteps - int(fraction*weightSteps)
}

// Filter is a Listener that changes the entries of drained slot caches and passes server lists on to the next Listener. It is
// safe for use by several goroutines at once.
type Filter struct {
	next Listener

	mu     sync.Mutex // held during calls of next too, so that next receives updates in their order
	listed map[uint32]relay.Server
	states map[uint32]*drainState
}

// New returns a Filter that passes server lists on to next.
func New(next Listener) *Filter {
	return &Filter{next: next, listed: map[uint32]relay.Server{}, states: map[uint32]*drainState{}}
}

// Knows implements Listener.
func (c *Filter) Knows(id uint32) bool { return c.next.Knows(id) }

// UpdateServers implements Listener.
func (c *Filter) UpdateServers(kind hoptiller.ListKind, servers []relay.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
		clear(c.listed)
	}
	changed := servers
	for i, s := range servers {
		if s.Phase == hoptiller.Removed {
			delete(c.listed, s.ID)
		} else {
			c.listed[s.ID] = s
		}
		if state := c.states[s.ID]; state != nil {
			if &changed[0] == &servers[0] {
				changed = slices.Clone(servers)
			}
			changed[i] = state.apply(s)
		}
	}
	c.next.UpdateServers(kind, changed)
}

// apply returns the entry of a slot cache as the decision module is to see it.
func (s *drainState) apply(entry relay.Server) relay.Server {
	switch {
	case entry.Phase != hoptiller.Ready || s.step == weightSteps:
	case s.step == 0:
		entry.Phase = hoptiller.Draining
	default:
		if entry.Weight <= 0 { // not stated
			entry.Weight = 1
		}
		entry.Weight *= float64(s.step) / weightSteps
	}
	return entry
}

// SetDrains replaces the set of drained slot caches and passes on the weights that have changed since the last call. It must be
// called several times a second.
func (c *Filter) SetDrains(now time.Duration, drains map[uint32]Drain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []relay.Server
	for id, d := range drains {
		state := c.states[id]
		if state == nil || state.rising {
			began := now
			if state != nil && d.Duration > 0 { // the weight was rising: it falls from where it is
				began -= time.Duration(float64(weightSteps-state.step) / weightSteps * float64(d.Duration))
			}
			c.states[id] = &drainState{drain: d, since: began, step: weightSteps}
		} else if d.Complete {
			state.drain.Complete = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.states)) {
		state := c.states[id]
		if _, drained := drains[id]; !drained && !state.rising {
			state.rising, state.since = true, now-time.Duration(float64(state.step)/weightSteps*float64(state.drain.Duration))
		}
		step := state.stepAt(now)
		if step == state.step && step != weightSteps {
			continue
		}
		if state.step = step; state.rising && step == weightSteps {
			delete(c.states, id)
		}
		if entry, listed := c.listed[id]; listed {
			changed = append(changed, state.apply(entry))
		}
	}
	if len(changed) > 0 {
		c.next.UpdateServers(hoptiller.ListDelta, changed)
	}
}

// IsDrained reports whether the drain of a slot cache is complete: its weight is zero and it gets no new requests from this
// router.
func (c *Filter) IsDrained(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.states[id]
	return state != nil && !state.rising && state.step == 0
}

// FindByName returns the entry of the slot cache with a name, as discovery lists it. It doesn't find the origin.
func (c *Filter) FindByName(name string) (s relay.Server, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.listed {
		if s.Name == name && !s.Origin {
			return s, true
		}
	}
	return relay.Server{}, false
}

// Name returns the name of a slot cache, or an empty string if discovery doesn't list it.
func (c *Filter) Name(id uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed[id].Name
}
