package front

import (
	"container/list"
	"sync"
	"time"
)

const (
	settled = 100 * time.Millisecond // without a first command after which a connection may make room for another
	hushed  = 20 * time.Millisecond  // the same where only heads that are coming could do so instead
	atOnce  = 16                     // connections that make room together
)

// connState is what a connection is to those that want its place.
type connState uint8

const (
	busy    connState = iota // something is out on it
	silent                   // it never had a command
	halfway                  // a command has come in part
	idle                     // it may ask again, here or on a new one
	going                    // it ends at once
	connStates
)

// connTable knows the connections by state, each in the order in which they came to it, so that to find the one that
// goes costs the same however many there are.
type connTable struct {
	mu    sync.Mutex
	lists [connStates]list.List
}

// move gives a connection its state.
func (s *connTable) move(c *conn, to connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.entry != nil {
		if to == c.state {
			return
		}
		s.lists[c.state].Remove(c.entry)
	}
	c.state, c.stateSince = to, time.Now()
	c.entry = s.lists[to].PushBack(c)
}

// leave forgets a connection.
func (s *connTable) leave(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[c.state].Remove(c.entry)
}

// all are the connections that there are.
func (s *connTable) all() (conns []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.lists {
		for e := s.lists[i].Front(); e != nil; e = e.Next() {
			conns = append(conns, e.Value.(*conn))
		}
	}
	return conns
}

// first is the connection that has had a state longest, if that is for some time; s.mu is held.
func (s *connTable) first(of connState, now time.Time, least time.Duration) *conn {
	if e := s.lists[of].Front(); e != nil && now.Sub(e.Value.(*conn).stateSince) >= least {
		return e.Value.(*conn)
	}
	return nil
}

// last is the connection that is to make room: one that never said anything, or was long in saying it; several of these
// go at once, for they may come by the hundred. Else one that may ask again on a new one, then one that has only just
// come and says nothing, and last one whose command may still come whole: the first to have begun, since most that do
// come are shorter.
func (s *connTable) last(now time.Time) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	ending := s.lists[going].Len()
	if ending >= atOnce {
		return nil
	}
	if c := s.first(silent, now, settled); c != nil {
		return c
	}
	if c := s.first(halfway, now, headTime); c != nil {
		return c
	}
	if ending > 0 {
		return nil
	}
	if c := s.first(idle, now, 0); c != nil {
		return c
	}
	if s.lists[silent].Len() > 0 { // perhaps not yet
		return s.first(silent, now, hushed)
	}
	return s.first(halfway, now, 0)
}

// surplus is the connection that goes where clients hold too many: if those that have asked are more than kept the one
// that was used longest ago, and if all that have begun to ask are more than held that one too, or else the one
// that has been at its command longest.
func (s *connTable) surplus(kept, held int) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.lists[busy].Len() + s.lists[idle].Len()
	begun := asked + s.lists[halfway].Len()
	if kept > 0 && asked > kept || held > 0 && begun > held {
		if c := s.first(idle, time.Now(), 0); c != nil {
			return c
		}
	}
	if held > 0 && begun > held {
		return s.first(halfway, time.Now(), 0)
	}
	return nil
}

// evict takes a place, and waits for one until stop is closed. Clients that connect and say nothing, or half a command, must not
// keep the others out, so where there is no place another connection goes.
func (f *Front) evict(places chan struct{}, stop <-chan struct{}) (taken bool) {
	for {
		select {
		case places <- struct{}{}:
			return true
		default:
		}
		if c := f.conns.last(time.Now()); c != nil {
			c.endIfIdle(0, CloseMadeRoom)
		}
		select {
		case places <- struct{}{}:
			return true
		case <-stop:
			return false
		case <-time.After(settled / 10):
		}
	}
}

// thin ends a connection where many are kept: clients hold only so many at once, and those that ask once and keep
// theirs, or are long in asking, would leave the others none to ask on.
func (f *Front) thin() {
	if c := f.conns.surplus(f.MostKept, f.MostHeld); c != nil {
		c.endIfIdle(0, CloseMadeRoom)
	}
}
