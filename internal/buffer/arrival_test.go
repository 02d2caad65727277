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

// Leftover bytes keep their arrival time, however often they are delivered again and more bytes arrive behind them.
func TestArrivals(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * time.Second) }
	var a arrivals
	a.add(10, at(1))
	a.add(12, at(1).Add(arrivalStep-1)) // counts as arrived with the bytes before it
	a.add(30, at(2))
	for offset, want := range map[int]int{0: 1, 10: 1, 12: 1, 13: 2, 30: 2} {
		if got, known := a.timeOf(offset); !known || !got.Equal(at(want)) {
			t.Errorf("byte %d: %v, %v", offset, got, known)
		}
	}
	if _, known := a.timeOf(31); known {
		t.Error("a byte that has not arrived has an arrival time")
	}
	a.drop(12)
	if got, known := a.timeOf(1); !known || !got.Equal(at(2)) || len(a) != 1 {
		t.Errorf("after the first 12 bytes are dropped: %v, %v, %d arrivals", got, known, len(a))
	}
	if a.drop(18); a != nil {
		t.Errorf("%d arrivals without bytes", len(a))
	}
}

// Bytes that arrived while nobody read may have waited since the last read. They count as arrived at that time, also
// when they are delivered again.
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
		if err := r.Next(func(b []byte) int { arrived = r.EarliestArrival(len(b)); return min(used, len(b)) }); err != nil {
			t.Fatal(err)
		}
	}
	io.WriteString(client, "x")
	read(1)
	first := r.LastRead
	io.WriteString(client, "yz")
	testprog.Eventually(t, "more bytes have arrived", r.MoreArrived)
	conn.SetReadDeadline(time.Unix(1, 0))
	if err := r.Next(func(b []byte) int { return len(b) }); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a read after its deadline: %v", err)
	}
	conn.SetReadDeadline(time.Time{})
	if read(1); !arrived.Equal(first) {
		t.Errorf("bytes that arrived before the read count as %v younger than the read before", arrived.Sub(first))
	}
	if r.Redeliver(func(b []byte) int { arrived = r.EarliestArrival(len(b)); return 0 }); !arrived.Equal(first) {
		t.Errorf("bytes that are delivered again count as %v younger", arrived.Sub(first))
	}
}

// The bytes of a read that waited have just arrived. The bytes of a read that did not wait may have arrived since the
// read before, or even earlier if that read left something unread.
func TestRecordRead(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * time.Second) }
	r := &Reader{notBefore: at(0)} // when the connection was opened
	for i, step := range []struct {
		waited, drained bool
		notBefore       int
	}{{false, true, 0}, {true, true, 2}, {false, true, 2}, {false, false, 3}, {false, false, 3}, {false, true, 3},
		{true, false, 7}, {false, true, 7}, {false, true, 8}} {
		if r.recordRead(at(i+1), step.waited, step.drained); !r.notBefore.Equal(at(step.notBefore)) {
			t.Errorf("read %d: %v, want %v", i+1, r.notBefore.Unix(), step.notBefore)
		}
	}
}
