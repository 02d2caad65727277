package upstream

import (
	"context"
	"time"

	"hoptiller"
)

// A connection whose first call has waited for overdue typical times, and for overdueLeast, gets no more
// calls while there is another way: it may have fallen silent, and whatever is behind that call waits too.
const (
	overdue      = 8
	overdueLeast = 20 * time.Millisecond
	overdueMost  = 2 // connections that may be so before it takes a later call's answer to tell them from a slow server
)

// connect finds a connection for a call and counts the call as on it: one that is idle, else the
// one with the fewest calls, else a new one. A new one costs the server as much work as a good part of a
// call does, and its first call two round trips, which is more than a short wait behind another call.
// Without a connection it tells why.
func (p *Pool) connect(begin context.Context, id uint32) (*conn, hoptiller.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s *server
	var c *conn
	var full bool
	for {
		if s = p.servers[id]; s == nil || s.Phase != hoptiller.Ready {
			return nil, hoptiller.Moot
		}
		c = p.idle(s)
		full = len(s.conns)+s.dialing >= p.set.MostConns
		if c == nil && !full && p.set.MostTotal > 0 && p.total >= p.set.MostTotal {
			full = !p.makeRoom()
		}
		if c == nil && full {
			full = !p.dropResting(s)
		}
		if c == nil {
			c = s.leastBusy(time.Now(), full)
		}
		if c != nil || !full || s.dialing == 0 {
			break
		}
		// All that may be are still coming up, as when many call a new server at once: none is there to share yet.
		if err := p.awaitDial(begin, s); begin.Err() != nil {
			return nil, notBegun(begin)
		} else if err != nil {
			return nil, hoptiller.ConnectFailed
		}
	}
	switch {
	case full && (c == nil || c.load >= p.set.MostCalls):
		return nil, hoptiller.ConnectFailed
	case !full && (c == nil || c.load >= p.share()):
		return p.open(begin, s)
	}
	c.load++
	return c, hoptiller.OK
}

// share is how many calls share a connection before another one is opened. While there are long values none do:
// whatever waits behind one would wait for its client too.
func (p *Pool) share() int {
	if !p.longAt.IsZero() && time.Since(p.longAt) < longLately {
		return 1
	}
	return p.set.Share
}

// makeRoom closes the connection that has been idle longest, of any server. p.mu is held.
func (p *Pool) makeRoom() bool {
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.load == 0 && (oldest == nil || c.idleAt.Before(oldest.idleAt)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.drop(oldest, CloseMadeRoom)
	}
	return oldest != nil
}

// observe notes that a server has no process, since it refused a connection or ended one before it answered anything, or that it
// has answered again. p.mu is held.
func (p *Pool) observe(s *server, up bool) {
	if s.unreachable != up { // as before
		return
	}
	if s.unreachable = !up; p.set.Seen != nil {
		p.set.Seen(s.ID, up)
	}
}

// idle takes the idle connection that was used last; the others then end by and by. Those near the
// server's idle limit are closed, since a call that crosses the server's close is lost as a reset. Those that still rest are
// passed over.
func (p *Pool) idle(s *server) *conn {
	for i := len(s.conns) - 1; i >= 0; i-- {
		c := s.conns[i]
		if c.load > 0 {
			continue
		}
		if c.useful && time.Since(c.idleAt) < p.set.Rest {
			continue
		}
		if p.set.IdleLimit > 0 && time.Since(c.idleAt) >= p.set.IdleLimit {
			p.drop(c, CloseIdleLimit)
			continue
		}
		copy(s.conns[i:], s.conns[i+1:])
		s.conns[len(s.conns)-1] = c
		return c
	}
	return nil
}

// dropResting makes room for another connection to a server where one still rests. p.mu is held.
func (p *Pool) dropResting(s *server) bool {
	for _, c := range s.conns {
		if c.load == 0 {
			p.drop(c, CloseMadeRoom)
			return true
		}
	}
	return false
}

// leastBusy finds the connection with the fewest calls among those that can be expected to answer. Without
// one it is better to open another, unless the whole server may be slow: that would make it slower.
func (s *server) leastBusy(now time.Time, full bool) *conn {
	var best, late *conn
	lates, lost := 0, false
	for _, c := range s.conns {
		switch {
		case c.ending || c.body != nil || c.load == 0: // without a call it still rests
		case len(c.calls) > 0 && now.Sub(c.calls[0].sent) > max(overdueLeast, overdue*s.typical):
			lost = lost || s.passed.After(c.calls[0].sent)
			if lates++; late == nil || c.load < late.load {
				late = c
			}
		case best == nil || c.load < best.load:
			best = c
		}
	}
	if best == nil && (full || lates > overdueMost && !lost) {
		return late
	}
	return best
}
