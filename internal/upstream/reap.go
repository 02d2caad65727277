package upstream

import "time"

// The idle connections of one router cost nothing, but those of hundreds of routers fill the connection tables of the
// servers, which then refuse every new connection. So connections beyond a router's share are closed once they have
// been idle for as long as the tables allow. One timer does this for the whole pool, and runs only while there are
// surplus connections.

// surplusIdleTime returns how long surplus connections may stay idle. It is never shorter than ConnectTimeout, since
// reopening a connection may take that long.
func (p *Pool) surplusIdleTime() time.Duration {
	return max(p.callTimes.IdleTimeout(p.settings.ConnsPerCore), p.settings.ConnectTimeout)
}

// scheduleReap schedules a check of the idle connections if the server has surplus connections and no check is
// scheduled yet. The caller holds p.mu.
func (p *Pool) scheduleReap(s *server) {
	if !p.reapScheduled && len(s.conns) > p.settings.MaxIdle {
		p.reapScheduled = true
		time.AfterFunc(p.surplusIdleTime(), p.reap)
	}
}

// reap closes the surplus connections that have been idle too long and schedules itself for when the next one is due,
// but not at once: connections that become due close together are closed together.
func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, now := p.surplusIdleTime(), time.Now()
	next := limit + 1
	for _, s := range p.servers {
		// The connections used last are at the end and stay open.
		for i := 0; i < len(s.conns) && len(s.conns) > p.settings.MaxIdle; {
			c := s.conns[i]
			left := limit - now.Sub(c.lastReleased)
			if c.load == 0 && left <= 0 {
				p.closeReset(c, CloseIdleSurplus)
				continue
			}
			if c.load == 0 {
				next = min(next, left)
			}
			i++
		}
	}
	if p.reapScheduled = next <= limit; p.reapScheduled {
		time.AfterFunc(max(next, limit/8), p.reap)
	}
}
