package front

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Who makes room: those that never said anything by the dozen, then who was long in saying it, then, one at a time, who
// may ask again on a new connection, and only then whose command may still come whole. Nobody who waits for an
// answer does, and nobody whose first word may be on its way.
func TestWhoMakesRoom(t *testing.T) {
	f := &Front{}
	start := time.Now()
	entry := func(to connState, age time.Duration) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := &conn{Conn: a, front: f, asked: to == idle, part: to == halfway}
		f.conns.move(c, to)
		c.stateSince = start.Add(-age)
		if to == busy {
			c.out = 1
		}
		return c
	}
	const second = time.Second
	entry(busy, 9*second)
	var silents []*conn
	for i := range 2 * atOnce {
		silents = append(silents, entry(silent, second-time.Duration(i)))
	}
	fresh := entry(silent, 0)
	long, young := entry(halfway, 3*second), entry(halfway, second)
	young.endIfIdle(time.Hour, CloseMadeRoom) // as in a drain: it has its time, and no place of its own
	firstIdle, secondIdle := entry(idle, second), entry(idle, 0)
	for _, want := range silents[:atOnce] {
		if c := f.conns.last(start); c != want {
			t.Fatalf("%v goes, want the first of the silent ones", c.state)
		}
		want.endIfIdle(0, CloseMadeRoom)
	}
	if c := f.conns.last(start); c != nil {
		t.Fatalf("%v goes while %d are going", c.state, atOnce)
	}
	for i, c := range silents {
		if i >= atOnce {
			c.endIfIdle(0, CloseMadeRoom)
		}
		f.conns.leave(c)
	}
	for _, c := range []struct {
		*conn
		at time.Time
	}{{long, start}, {firstIdle, start}, {secondIdle, start}, {nil, start}, {fresh, start.Add(hushed)}, {young, start}} {
		if got := f.conns.last(c.at); got != c.conn {
			t.Fatalf("%v goes, want %v", got, c.conn)
		}
		if c.conn == nil { // what has just come may be about to ask
			continue
		}
		c.endIfIdle(0, CloseMadeRoom)
		if got := f.conns.last(start); got != nil {
			t.Fatalf("%v goes as well", got.state)
		}
		f.conns.leave(c.conn)
	}
}

// To find who makes room costs the same however many there are.
func BenchmarkWhoMakesRoom(b *testing.B) {
	for _, n := range []int{10, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Front{}
			for range n {
				f.conns.move(&conn{front: f}, silent)
			}
			late := time.Now().Add(time.Second)
			for b.Loop() {
				c := f.conns.last(late)
				f.conns.move(c, busy)
				f.conns.move(c, silent)
				c.stateSince = time.Time{}
			}
		})
	}
}
