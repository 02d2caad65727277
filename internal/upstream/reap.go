package upstream

import "time"

// What one router keeps idle costs nothing; what hundreds keep fills the tables of the servers, which then
// turn away whoever comes. So connections beyond a router's part are closed once they have been idle for as long as
// the tables have room for, by one timer for the whole pool that runs only while there are such.

// idleFor is how long that is; what may take longer to come up again is not closed for less.
func (p *Pool) idleFor() time.Duration { return max(p.calls.Idle(p.set.Places), p.set.ConnectTimeout) }

// reapLater has the idle connections to a server looked at in time. p.mu is held.
func (p *Pool) reapLater(s *server) {
	if !p.reaping && len(s.conns) > p.set.Kept {
		p.reaping = true
		time.AfterFunc(p.idleFor(), p.reap)
	}
}

// reap closes what has been idle too long and comes again when the next is due, but not at once: some
// that fall due together are closed together.
func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, now := p.idleFor(), time.Now()
	next := limit + 1
	for _, s := range p.servers {
		for i := 0; i < len(s.conns) && len(s.conns) > p.set.Kept; { // those used last are at the end, and are kept
			c := s.conns[i]
			left := limit - now.Sub(c.idleAt)
			if c.load == 0 && left <= 0 {
				p.drop(c, CloseIdleSurplus)
				continue
			}
			if c.load == 0 {
				next = min(next, left)
			}
			i++
		}
	}
	if p.reaping = next <= limit; p.reaping {
		time.AfterFunc(max(next, limit/8), p.reap)
	}
}
