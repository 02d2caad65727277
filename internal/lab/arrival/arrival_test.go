package arrival

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// pair opens a TCP connection. What is written to far can be read from near.
func pair(t *testing.T) (near *Log, far net.Conn) {
	l := testprog.Listen(t)
	EnableTimestamps(l)
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return NewLog(c), far
}

// sinceReceived returns how long ago the latest bytes of a connection arrived.
func sinceReceived(l *Log) time.Duration { return time.Since(lastDataTime(l.Conn)) }

// The arrival time of bytes doesn't include the time for which they waited on the socket for a reader.
func TestSinceReceived(t *testing.T) {
	near, far := pair(t)
	io.WriteString(far, "x")
	written := time.Now()
	testprog.Eventually(t, "what came is 50 ms old", func() bool { return sinceReceived(near) >= 50*time.Millisecond })
	if age, most := sinceReceived(near), time.Since(written)+time.Second; age > most {
		t.Errorf("what came at most %v ago is %v old", most, age)
	}
}

// ArrivalTime returns the arrival time of each byte, although the bytes are read later and ArrivalTime is called later still.
func TestAt(t *testing.T) {
	near, far := pair(t)
	var before, after [2]time.Time
	b := make([]byte, 3)
	for i, text := range []string{"one", "two"} {
		before[i] = time.Now()
		io.WriteString(far, text)
		after[i] = time.Now()
		testprog.Eventually(t, "what came is 50 ms old", func() bool { return sinceReceived(near) >= 50*time.Millisecond })
		if _, err := io.ReadFull(near, b); err != nil {
			t.Fatal(err)
		}
	}
	for offset := range int64(6) {
		at, i := near.ArrivalTime(offset), offset/3
		if at.Before(before[i].Add(-Uncertainty)) || at.After(after[i].Add(Uncertainty)) {
			t.Errorf("byte %d came at %v, written between %v and %v", offset, at, before[i], after[i])
		}
	}
}

// No byte has an arrival time before it was written, whenever it is read. The time must not even be early by a tick of the
// kernel's clock, which may stop for some 20 ms while a virtual machine is paused.
func TestNotBeforeWritten(t *testing.T) {
	const (
		bytes     = 50
		tick      = 4 * time.Millisecond
		tolerance = 500 * time.Microsecond // between the wall clock and the monotonic one
	)
	near, far := pair(t)
	b := make([]byte, 1)
	awaitTimes(t, near, far)
	first := near.received
	draw := rand.New(rand.NewPCG(1, 2))
	for offset := first; offset < first+bytes; offset++ {
		phase := time.Now().Add(time.Duration(draw.Int64N(int64(tick))))
		testprog.Eventually(t, "a drawn part of a tick", func() bool { return time.Now().After(phase) })
		before := time.Now()
		far.Write(b)
		after := time.Now()
		testprog.Eventually(t, "what came is two ticks old", func() bool { return time.Since(after) >= 2*tick })
		if _, err := io.ReadFull(near, b); err != nil {
			t.Fatal(err)
		}
		at := near.ArrivalTime(offset)
		if at.Before(before.Add(-tolerance)) || at.After(after.Add(Uncertainty)) {
			t.Errorf("byte %d came at %v after its write began, which took %v", offset, at.Sub(before), after.Sub(before))
		}
	}
}

// awaitTimes waits until the kernel records arrival times. It begins to do so some time after it is asked to.
func awaitTimes(t *testing.T, near *Log, far net.Conn) {
	testprog.Eventually(t, "a byte that has a time", func() bool {
		far.Write([]byte{0})
		_, at, err := receive(near.Conn.(*net.TCPConn), make([]byte, 1))
		return err == nil && !at.IsZero()
	})
}

// EndTime returns the time at which the peer ended a connection, even if nobody has read from it since.
func TestEnd(t *testing.T) {
	near, far := pair(t)
	if _, ended := near.EndTime(); ended {
		t.Fatal("an open connection has ended")
	}
	before := time.Now()
	far.Close()
	after := time.Now()
	testprog.Eventually(t, "50 ms later", func() bool { return time.Since(after) >= 50*time.Millisecond })
	at, ended := near.EndTime()
	if !ended || at.Before(before.Add(-Uncertainty)) || at.After(after.Add(Uncertainty)) {
		t.Errorf("ended %v at %v, closed between %v and %v", ended, at, before, after)
	}
	near.Close()
	near.MarkClosing()
	if again, _ := near.EndTime(); again != at || near.ClosedLocally() {
		t.Errorf("it ended at %v, and at %v once it is closed", at, again)
	}
}

// If the holder closes a connection itself, the connection ends at that time.
func TestEndsNow(t *testing.T) {
	near, _ := pair(t)
	before := time.Now()
	near.MarkClosing()
	near.Close()
	if at, ended := near.EndTime(); !ended || at.Before(before) || !near.ClosedLocally() {
		t.Errorf("ended %v at %v, closed at %v", ended, at, before)
	}
}
