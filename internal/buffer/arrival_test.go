package buffer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// What is left over keeps the time at which it had come, however often it is handed over again and more comes behind it.
func TestArrivals(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * time.Second) }
	var a arrivals
	a.add(10, at(1))
	a.add(12, at(1).Add(arrivalStep-1)) // counts as what came before it
	a.add(30, at(2))
	for offset, want := range map[int]int{0: 1, 10: 1, 12: 1, 13: 2, 30: 2} {
		if got, known := a.before(offset); !known || !got.Equal(at(want)) {
			t.Errorf("byte %d: %v, %v", offset, got, known)
		}
	}
	if _, known := a.before(31); known {
		t.Error("a byte that has not come has a time")
	}
	a.drop(12)
	if got, known := a.before(1); !known || !got.Equal(at(2)) || len(a) != 1 {
		t.Errorf("after the first part is used up: %v, %v, %d parts", got, known, len(a))
	}
	if a.drop(18); a != nil {
		t.Errorf("%d parts of nothing", len(a))
	}
}

// What came while nobody read may have waited since the last read, and counts as old as that, also when it is handed over again.
func TestArrivedWhileNobodyRead(t *testing.T) {
	conns := make(chan net.Conn, 1)
	client := testprog.Serve(t, func(_ context.Context, l net.Listener) error {
		conn, err := l.Accept()
		conns <- conn
		return err
	})()
	conn := testprog.Await(t, conns, "connection")
	r, err := NewReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	var arrived time.Time
	read := func(used int) {
		t.Helper()
		if err := r.Next(func(b []byte) int { arrived = r.Arrived(len(b)); return min(used, len(b)) }); err != nil {
			t.Fatal(err)
		}
	}
	io.WriteString(client, "x")
	read(1)
	first := r.At
	io.WriteString(client, "yz")
	testprog.Until(t, "more has come", r.Waiting)
	conn.SetReadDeadline(time.Unix(1, 0))
	if err := r.Next(func(b []byte) int { return len(b) }); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read whose time is over: %v", err)
	}
	conn.SetReadDeadline(time.Time{})
	if read(1); !arrived.Equal(first) {
		t.Errorf("what had come before the read counts as of %v after the read before", arrived.Sub(first))
	}
	if r.Again(func(b []byte) int { arrived = r.Arrived(len(b)); return 0 }); !arrived.Equal(first) {
		t.Errorf("what is handed over again counts as of %v later", arrived.Sub(first))
	}
}

// A read that waited is of what has just come, one that did not of what came since the read before, or earlier where that one left
// something unread.
func TestReadAt(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * time.Second) }
	r := &Reader{since: at(0)} // since the connection is there
	for i, step := range []struct {
		waited, drained bool
		since           int
	}{{false, true, 0}, {true, true, 2}, {false, true, 2}, {false, false, 3}, {false, false, 3}, {false, true, 3}, {true, false, 7}, {false, true, 7}, {false, true, 8}} {
		if r.readAt(at(i+1), step.waited, step.drained); !r.since.Equal(at(step.since)) {
			t.Errorf("read %d: %v, want %v", i+1, r.since.Unix(), step.since)
		}
	}
}
