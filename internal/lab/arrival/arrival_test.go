package arrival

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// pair opens a TCP connection: what is written far is read near.
func pair(t *testing.T) (near *Log, far net.Conn) {
	l := testprog.Listen(t)
	KeepTimes(l)
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

// sinceReceived is how long ago the latest bytes of a connection came.
func sinceReceived(l *Log) time.Duration { return time.Since(receivedAt(l.Conn)) }

// On a socket, what has waited for its reader is noted as having come before that.
func TestSinceReceived(t *testing.T) {
	near, far := pair(t)
	io.WriteString(far, "x")
	written := time.Now()
	testprog.Until(t, "what came is 50 ms old", func() bool { return sinceReceived(near) >= 50*time.Millisecond })
	if age, most := sinceReceived(near), time.Since(written)+time.Second; age > most {
		t.Errorf("what came at most %v ago is %v old", most, age)
	}
}

// Each byte has the time at which it came, though all of them are read later and asked for later still.
func TestAt(t *testing.T) {
	near, far := pair(t)
	var before, after [2]time.Time
	b := make([]byte, 3)
	for i, text := range []string{"one", "two"} {
		before[i] = time.Now()
		io.WriteString(far, text)
		after[i] = time.Now()
		testprog.Until(t, "what came is 50 ms old", func() bool { return sinceReceived(near) >= 50*time.Millisecond })
		if _, err := io.ReadFull(near, b); err != nil {
			t.Fatal(err)
		}
	}
	for offset := range int64(6) {
		at, i := near.At(offset), offset/3
		if at.Before(before[i].Add(-Uncertainty)) || at.After(after[i].Add(Uncertainty)) {
			t.Errorf("byte %d came at %v, written between %v and %v", offset, at, before[i], after[i])
		}
	}
}

// No byte is noted as having come before it was written, whenever it is read: not by a tick of the kernel's clock either, which may stand
// for some 20 ms while a virtual machine is held up.
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
		testprog.Until(t, "a drawn part of a tick", func() bool { return time.Now().After(phase) })
		before := time.Now()
		far.Write(b)
		after := time.Now()
		testprog.Until(t, "what came is two ticks old", func() bool { return time.Since(after) >= 2*tick })
		if _, err := io.ReadFull(near, b); err != nil {
			t.Fatal(err)
		}
		at := near.At(offset)
		if at.Before(before.Add(-tolerance)) || at.After(after.Add(Uncertainty)) {
			t.Errorf("byte %d came at %v after its write began, which took %v", offset, at.Sub(before), after.Sub(before))
		}
	}
}

// awaitTimes waits until the kernel notes when bytes come: it begins to a moment after it is asked to.
func awaitTimes(t *testing.T, near *Log, far net.Conn) {
	testprog.Until(t, "a byte that has a time", func() bool {
		far.Write([]byte{0})
		_, at, err := receive(near.Conn.(*net.TCPConn), make([]byte, 1))
		return err == nil && !at.IsZero()
	})
}

// The end of a connection is seen before anybody reads it, with the time at which it came.
func TestEnd(t *testing.T) {
	near, far := pair(t)
	if _, ended := near.End(); ended {
		t.Fatal("an open connection has ended")
	}
	before := time.Now()
	far.Close()
	after := time.Now()
	testprog.Until(t, "50 ms later", func() bool { return time.Since(after) >= 50*time.Millisecond })
	at, ended := near.End()
	if !ended || at.Before(before.Add(-Uncertainty)) || at.After(after.Add(Uncertainty)) {
		t.Errorf("ended %v at %v, closed between %v and %v", ended, at, before, after)
	}
	near.Close()
	near.EndsNow()
	if again, _ := near.End(); again != at || near.Closed() {
		t.Errorf("it ended at %v, and at %v once it is closed", at, again)
	}
}

// A holder that closes a connection itself ends it then.
func TestEndsNow(t *testing.T) {
	near, _ := pair(t)
	before := time.Now()
	near.EndsNow()
	near.Close()
	if at, ended := near.End(); !ended || at.Before(before) || !near.Closed() {
		t.Errorf("ended %v at %v, closed at %v", ended, at, before)
	}
}
