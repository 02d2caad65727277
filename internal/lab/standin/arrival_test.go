package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"hoptiller/internal/lab/arrival"
)

// The time that is left is read from an attempt's facts; what can't be read, or could be read in two ways, is told.
func TestTimeTold(t *testing.T) {
	for _, test := range []struct {
		facts string
		told  time.Duration
		err   error
	}{
		{"c=book,d=1500,k=1", 1500 * time.Millisecond, nil},
		{"d=0", 0, nil},
		{"c=book", 0, errNoTime},
		{"", 0, errNoTime},
		{"c=book,xd=5", 0, errNoTime},
		{"d=5,c=book,d=5", 0, errTimeTwice},
		{"d=", 0, errTimeUnreadable},
		{"d=1.5", 0, errTimeUnreadable},
		{"d=-1", 0, errTimeUnreadable},
		{"d=9223372036854775807", 0, errTimeUnreadable},
		{"d=92233720368547758070", 0, errTimeUnreadable},
	} {
		if told, err := timeTold(test.facts); told != test.told || !errors.Is(err, test.err) {
			t.Errorf("%q: %v, %v", test.facts, told, err)
		}
	}
}

// What comes while nobody reads is noted with the time at which it came.
func TestArrivals(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	a := newArrivals(near, ctx.Done(), func(run func()) { running.Go(run) })
	for _, text := range []string{"one", "two"} {
		io.WriteString(far, text) // ends when it has been read
	}
	written := time.Now()
	b := make([]byte, 8)
	for i, want := range []string{"one", "two"} {
		n, err := io.ReadFull(a, b[:3])
		if err != nil || string(b[:n]) != want {
			t.Errorf("%q, %v", b[:n], err)
		}
		if i == 0 && a.log.At(0).After(written) { // the second one may be noted a little after it is written
			t.Error("noted when it was read")
		}
	}
	second := a.log.At(3)
	io.WriteString(far, "three")
	io.ReadFull(a, b[:2])
	if !a.log.At(6).After(second) {
		t.Error("a later piece came no later")
	}
	far.Close()
	if rest, err := io.ReadAll(a); string(rest) != "ree" || err != nil {
		t.Errorf("%q, %v", rest, err)
	}
	running.Wait()
}

// A lag counts for one window to two, and what is still waited for counts as it grows.
func TestLagMeter(t *testing.T) {
	var m lagMeter
	m.wait(time.Now().Add(-time.Second))
	if m.most(0) < time.Second {
		t.Error("what is overdue is no lag")
	}
	m.came(lagWindow / 2)
	for at, want := range []bool{true, true, false} {
		if lag := m.most(time.Duration(at) * lagWindow); (lag >= time.Second) != want {
			t.Errorf("in window %d: %v", at, lag)
		}
	}
	m.wait(time.Now().Add(-time.Second))
	m.came(9 * lagWindow)
	if m.most(99*lagWindow) != 0 {
		t.Error("a lag of long ago counts")
	}
}

// An answer may be cut off only where the connection is broken on which it came: not where another one is, that carried an earlier call.
func TestBrokenConnection(t *testing.T) {
	open := func() *link { return &link{source: arrival.NewLog(nil)} }
	answering, earlier := open(), open()
	earlier.lost = true
	r := &request{answer: answering}
	if r.answer.broken() {
		t.Error("the connection of an earlier call counts")
	}
	answering.source.EndsNow() // by a relay
	if !r.answer.broken() {
		t.Error("the connection of the answer does not count where a relay has closed it")
	}
}
