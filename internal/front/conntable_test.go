package front

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Connections are evicted in this order: many that never sent anything, then one whose command has been incomplete for long,
// then, one at a time, idle ones, whose clients may open a new connection, and only then those whose command may still
// arrive completely. A client that waits for an answer is never evicted, nor one whose first command may be on its way.
func TestEvictionOrder(t *testing.T) {
	f := &Front{}
	start := time.Now()
	addConn := func(state connState, age time.Duration) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := &conn{Conn: a, front: f, receivedCommand: state == idle, hasPartialCommand: state == midCommand}
		f.conns.setState(c, state)
		c.stateSince = start.Add(-age)
		if state == busy {
			c.openCommands = 1
		}
		return c
	}
	const second = time.Second
	addConn(busy, 9*second)
	var silentConns []*conn
	for i := range 2 * maxEnding {
		silentConns = append(silentConns, addConn(silent, second-time.Duration(i)))
	}
	fresh := addConn(silent, 0)
	older, newer := addConn(midCommand, 3*second), addConn(midCommand, second)
	newer.endIfIdle(time.Hour, CloseEvicted) // as in a drain: it has its grace, but can still be evicted
	firstIdle, secondIdle := addConn(idle, second), addConn(idle, 0)
	for _, want := range silentConns[:maxEnding] {
		if c := f.conns.evictionCandidate(start); c != want {
			t.Fatalf("a connection in state %v is evicted, want the oldest silent one", c.state)
		}
		want.endIfIdle(0, CloseEvicted)
	}
	if c := f.conns.evictionCandidate(start); c != nil {
		t.Fatalf("a connection in state %v is evicted while %d are ending", c.state, maxEnding)
	}
	for i, c := range silentConns {
		if i >= maxEnding {
			c.endIfIdle(0, CloseEvicted)
		}
		f.conns.remove(c)
	}
	for _, c := range []struct {
		*conn
		at time.Time
	}{{older, start}, {firstIdle, start}, {secondIdle, start}, {nil, start}, {fresh, start.Add(freshEvictAge)}, {newer, start}} {
		if got := f.conns.evictionCandidate(c.at); got != c.conn {
			t.Fatalf("%v is evicted, want %v", got, c.conn)
		}
		if c.conn == nil { // a new connection's first command may be on its way
			continue
		}
		c.endIfIdle(0, CloseEvicted)
		if got := f.conns.evictionCandidate(start); got != nil {
			t.Fatalf("a connection in state %v is evicted as well", got.state)
		}
		f.conns.remove(c.conn)
	}
}

// Finding the connection to evict takes the same time for any number of connections.
func BenchmarkEvictionCandidate(b *testing.B) {
	for _, n := range []int{10, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Front{}
			for range n {
				f.conns.setState(&conn{front: f}, silent)
			}
			late := time.Now().Add(time.Second)
			for b.Loop() {
				c := f.conns.evictionCandidate(late)
				f.conns.setState(c, busy)
				f.conns.setState(c, silent)
				c.stateSince = time.Time{}
			}
		})
	}
}
