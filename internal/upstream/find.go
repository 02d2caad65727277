package upstream

import (
	"context"
	"time"

	"hoptiller"
)

// A connection whose first call has waited for overdueFactor typical latencies, and for minOverdue, gets no more
// calls while there is an alternative. The server may have stopped answering on it, and whatever is queued behind
// that call waits too.
const (
	overdueFactor = 8
	minOverdue    = 20 * time.Millisecond
	// With more overdue connections than this, another one is opened only if a later call has been answered. Without
	// such an answer the whole server may be slow.
	maxOverdueConns = 2
)

// acquireConn finds a connection for a call and counts the call on it. It prefers an idle connection, then the
// connection with the fewest calls, then a new one. A new connection costs the server a good part of the work of a
// call, and delays its first call by two round trips, which is longer than a short wait behind another call. If there
// is no connection, the status says why.
func (p *Pool) acquireConn(sendCtx context.Context, id uint32) (*conn, hoptiller.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s *server
	var c *conn
	var atLimit bool
	for {
		if s = p.servers[id]; s == nil || s.Phase != hoptiller.Ready {
			return nil, hoptiller.NotSent
		}
		c = p.takeIdle(s)
		atLimit = len(s.conns)+s.dialing >= p.settings.MaxConnsPerServer
		if c == nil && !atLimit && p.settings.MaxConns > 0 && p.connCount >= p.settings.MaxConns {
			atLimit = !p.evictIdle()
		}
		if c == nil && atLimit {
			atLimit = !p.evictCooling(s)
		}
		if c == nil {
			c = s.leastBusy(time.Now(), atLimit)
		}
		if c != nil || !atLimit || s.dialing == 0 {
			break
		}
		// All allowed connections are still being opened, for example when many calls reach a new server at once.
		// There is none to share yet.
		if err := p.awaitDial(sendCtx, s); sendCtx.Err() != nil {
			return nil, unsentStatus(sendCtx)
		} else if err != nil {
			return nil, hoptiller.ConnectFailed
		}
	}
	switch {
	case atLimit && (c == nil || c.load >= p.settings.MaxCallsPerConn):
		return nil, hoptiller.ConnectFailed
	case !atLimit && (c == nil || c.load >= p.callsPerConn()):
		return p.openConn(sendCtx, s)
	}
	c.load++
	return c, hoptiller.OK
}

// callsPerConn returns how many calls share a connection before another one is opened. While long values arrive,
// calls share no connection: a call behind a long value would also wait for the client of that value.
func (p *Pool) callsPerConn() int {
	if !p.lastLongValue.IsZero() && time.Since(p.lastLongValue) < unsharedTime {
		return 1
	}
	return p.settings.CallsPerConn
}

// evictIdle closes the connection that has been idle longest, to any server, and reports whether there was one. The
// caller holds p.mu.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.load == 0 && (oldest == nil || c.lastReleased.Before(oldest.lastReleased)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.closeReset(oldest, CloseEvicted)
	}
	return oldest != nil
}

// observe records whether a server has a process: it has none if it refused a connection or closed one before it
// answered anything, and it has one if it has answered. The caller holds p.mu.
func (p *Pool) observe(s *server, up bool) {
	if s.unreachable != up { // unchanged
		return
	}
	if s.unreachable = !up; p.settings.Observed != nil {
		p.settings.Observed(s.ID, up)
	}
}

// takeIdle returns the idle connection that was used last, or nil. The others stay idle longer and are closed in
// time. A connection near the server's idle limit is closed instead, because a call that is sent while the server
// closes the connection is lost as a reset. A connection in its cooldown after an answer is skipped.
func (p *Pool) takeIdle(s *server) *conn {
	for i := len(s.conns) - 1; i >= 0; i-- {
		c := s.conns[i]
		if c.load > 0 {
			continue
		}
		if c.answered && time.Since(c.lastReleased) < p.settings.Cooldown {
			continue
		}
		if p.settings.IdleLimit > 0 && time.Since(c.lastReleased) >= p.settings.IdleLimit {
			p.closeReset(c, CloseIdleLimit)
			continue
		}
		copy(s.conns[i:], s.conns[i+1:])
		s.conns[len(s.conns)-1] = c
		return c
	}
	return nil
}

// evictCooling closes an idle connection that is still in its cooldown after an answer, to make room for another one
// to the same server, and reports whether there was an idle one. The caller holds p.mu.
func (p *Pool) evictCooling(s *server) bool {
	for _, c := range s.conns {
		if c.load == 0 {
			p.closeReset(c, CloseEvicted)
			return true
		}
	}
	return false
}

// leastBusy returns the connection with the fewest calls among those that can be expected to answer. If there is
// none, it returns nil, since it is better to open another connection. It returns an overdue one if no other may be
// opened, or if the whole server may be slow, which another connection would make worse.
func (s *server) leastBusy(now time.Time, atLimit bool) *conn {
	var best, overdueConn *conn
	overdueCount, laterAnswered := 0, false
	for _, c := range s.conns {
		switch {
		case c.closeWhenUnused || c.stream != nil || c.load == 0: // a connection without a call is in its cooldown
		case len(c.pending) > 0 && now.Sub(c.pending[0].sentAt) > max(minOverdue, overdueFactor*s.typicalLatency):
			laterAnswered = laterAnswered || s.newestAnswered.After(c.pending[0].sentAt)
			if overdueCount++; overdueConn == nil || c.load < overdueConn.load {
				overdueConn = c
			}
		case best == nil || c.load < best.load:
			best = c
		}
	}
	if best == nil && (atLimit || overdueCount > maxOverdueConns && !laterAnswered) {
		return overdueConn
	}
	return best
}
