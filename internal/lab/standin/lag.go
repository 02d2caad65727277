package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"
)

// On a busy machine processes run late, and so do their observations, through no fault of their own. The
// engine measures its own lag with a timer, and that of each router with repeated no-op requests ("mn").

const (
	timerInterval = 10 * time.Millisecond // interval of the engine's timer
	pingInterval  = 5 * time.Millisecond  // interval between pings, over all routers together
	lagWindow     = time.Second           // a lag counts for at least this long and for at most twice as long
)

// lagMeter keeps the largest recent lag.
type lagMeter struct {
	window            int // number of the current window
	current, previous time.Duration
	due               time.Time // when the pending event is due; zero if there is none
}

// expect records that an event is due at a time.
func (m *lagMeter) expect(due time.Time) { m.due = due }

// occurred records that the pending event has occurred at a time of the day.
func (m *lagMeter) occurred(at time.Duration) {
	m.advance(at)
	m.current = max(m.current, time.Since(m.due))
	m.due = time.Time{}
}

// advance starts the window that contains the given time, if it is a new one.
func (m *lagMeter) advance(at time.Duration) {
	window := int(at / lagWindow)
	switch {
	case window == m.window+1:
		m.previous, m.current = m.current, 0
	case window > m.window:
		m.previous, m.current = 0, 0
	}
	m.window = max(m.window, window)
}

// max returns the largest recent lag, including the lag so far of a pending event.
func (m *lagMeter) max(at time.Duration) time.Duration {
	m.advance(at)
	lag := max(m.previous, m.current)
	if !m.due.IsZero() {
		lag = max(lag, time.Since(m.due))
	}
	return lag
}

// sleep waits for a time and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// measureLag measures the engine's own lag until ctx ends.
func (e *Engine) measureLag(ctx context.Context) {
	for {
		e.mu.Lock()
		e.lag.expect(time.Now().Add(timerInterval))
		e.mu.Unlock()
		if !sleep(ctx, timerInterval) {
			return
		}
		e.mu.Lock()
		e.lag.occurred(time.Since(e.startedAt))
		e.mu.Unlock()
	}
}

// measureLag measures the router's lag until ctx ends.
func (n *routerNode) measureLag(ctx context.Context) {
	every := pingInterval * time.Duration(len(n.engine.nodes))
	for sleep(ctx, every) {
		if c, err := net.DialTimeout("tcp", n.addr, time.Second); err == nil && n.engine.closeAtEnd(c) {
			n.pingUntilClosed(ctx, c, every)
			n.engine.unregister(c)
			c.Close()
		}
	}
}

// pingUntilClosed sends no-op requests to a router until the connection or ctx ends.
func (n *routerNode) pingUntilClosed(ctx context.Context, c net.Conn, every time.Duration) {
	r := bufio.NewReader(c)
	for sleep(ctx, every) {
		n.engine.mu.Lock()
		n.lag.expect(time.Now())
		n.engine.mu.Unlock()
		_, err := io.WriteString(c, "mn\r\n")
		if err == nil {
			_, err = r.ReadString('\n')
		}
		n.engine.mu.Lock()
		n.lag.occurred(time.Since(n.engine.startedAt))
		n.engine.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// maxLagAllowance limits how much longer than usual the engine waits for an answer on a busy machine.
const maxLagAllowance = 500 * time.Millisecond

// recentLag returns by how much observations of a router may be late, from recent measurements. The router and
// the stub servers may each be late twice, when they read and when they write. Engine.mu must be held.
func (n *routerNode) recentLag() time.Duration {
	at := time.Since(n.engine.startedAt)
	return 2 * (n.lag.max(at) + n.engine.lag.max(at))
}
