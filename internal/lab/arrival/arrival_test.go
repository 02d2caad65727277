package arrival

import (
	"io"
	"net"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// pair opens a TCP connection: what is written far is read near.
func pair(t *testing.T) (near *Log, far net.Conn) {
	l := testprog.Listen(t)
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
