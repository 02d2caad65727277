// Package drains has slot caches get nothing new because the fleet's operators say so, whatever the directory says: it stands
// between the directory and who listens to it, and changes the entries of those that are drained. What the module does with a
// drained slot cache is the same in both cases.
//
// A drain may come by and by: the slot cache's weight falls over a time, so that its keys move to their next homes a few at a
// time, and the origin and those homes need not bear all of its misses at once. It comes back the same way.
package drains

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// Listener hears of servers.
type Listener interface {
	Told(kind hoptiller.ListKind, servers []relay.Server)
	Knows(id uint32) bool
}

// Drain says how a slot cache is drained.
type Drain struct {
	Over  time.Duration // from full weight to none, and back
	Whole bool          // it has no weight by now: a router that learns of it late need not begin
}

// steps of a weight that falls or grows.
const steps = 16

// state is a slot cache that is drained, or coming back.
type state struct {
	drain Drain
	since time.Duration
	back  bool
	step  int // of its weight, of steps: 0 is drained
}

// at is the step at a time.
func (s *state) at(now time.Duration) int {
	part := 1.0
	if s.drain.Over > 0 && (s.back || !s.drain.Whole) {
		part = min(1, float64(now-s.since)/float64(s.drain.Over))
	}
	if s.back {
		return int(part * steps)
	}
	return steps - int(part*steps)
}

// Caches is a Listener before another one. It may be used by many goroutines.
type Caches struct {
	next Listener

	mu     sync.Mutex // held while next is told, or an older word could come after a newer one
	listed map[uint32]relay.Server
	states map[uint32]*state
}

// New makes the Caches before a listener.
func New(next Listener) *Caches {
	return &Caches{next: next, listed: map[uint32]relay.Server{}, states: map[uint32]*state{}}
}

// Knows implements Listener.
func (c *Caches) Knows(id uint32) bool { return c.next.Knows(id) }

// Told implements Listener.
func (c *Caches) Told(kind hoptiller.ListKind, servers []relay.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
		clear(c.listed)
	}
	changed := servers
	for i, s := range servers {
		if s.Phase == hoptiller.Gone {
			delete(c.listed, s.ID)
		} else {
			c.listed[s.ID] = s
		}
		if st := c.states[s.ID]; st != nil {
			if &changed[0] == &servers[0] {
				changed = slices.Clone(servers)
			}
			changed[i] = st.put(s)
		}
	}
	c.next.Told(kind, changed)
}

// put is an entry as the module is to have it.
func (s *state) put(e relay.Server) relay.Server {
	switch {
	case e.Phase != hoptiller.Ready || s.step == steps:
	case s.step == 0:
		e.Phase = hoptiller.Draining
	default:
		if e.Weight <= 0 { // not stated
			e.Weight = 1
		}
		e.Weight *= float64(s.step) / steps
	}
	return e
}

// Set says which slot caches are drained now, and does what is due of their weights. It wants to be called several times a second.
func (c *Caches) Set(now time.Duration, drains map[uint32]Drain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []relay.Server
	for id, d := range drains {
		st := c.states[id]
		if st == nil || st.back {
			begun := now
			if st != nil && d.Over > 0 { // it was coming back: from where it stands
				begun -= time.Duration(float64(steps-st.step) / steps * float64(d.Over))
			}
			c.states[id] = &state{drain: d, since: begun, step: steps}
		} else if d.Whole {
			st.drain.Whole = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.states)) {
		st := c.states[id]
		if _, still := drains[id]; !still && !st.back {
			st.back, st.since = true, now-time.Duration(float64(st.step)/steps*float64(st.drain.Over))
		}
		step := st.at(now)
		if step == st.step && step != steps {
			continue
		}
		if st.step = step; st.back && step == steps {
			delete(c.states, id)
		}
		if e, listed := c.listed[id]; listed {
			changed = append(changed, st.put(e))
		}
	}
	if len(changed) > 0 {
		c.next.Told(hoptiller.ListDelta, changed)
	}
}

// Whole tells whether a slot cache gets nothing new here by now.
func (c *Caches) Whole(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.states[id]
	return st != nil && !st.back && st.step == 0
}

// Find gives the slot cache of a name, as the directory has it. The origin is none.
func (c *Caches) Find(name string) (s relay.Server, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.listed {
		if s.Name == name && !s.Origin {
			return s, true
		}
	}
	return relay.Server{}, false
}

// Name gives the name of a slot cache that is listed.
func (c *Caches) Name(id uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed[id].Name
}
