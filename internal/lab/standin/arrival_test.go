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

// TestParseTimeLeft checks that the remaining time is read from an attempt's facts, and that a missing,
// repeated or unreadable time is an error.
func TestParseTimeLeft(t *testing.T) {
	for _, test := range []struct {
		facts     string
		remaining time.Duration
		err       error
	}{
		{"c=book,d=1500,k=1", 1500 * time.Millisecond, nil},
		{"d=0", 0, nil},
		{"c=book", 0, errTimeMissing},
		{"", 0, errTimeMissing},
		{"c=book,xd=5", 0, errTimeMissing},
		{"d=5,c=book,d=5", 0, errTimeDuplicate},
		{"d=", 0, errTimeUnreadable},
		{"d=1.5", 0, errTimeUnreadable},
		{"d=-1", 0, errTimeUnreadable},
		{"d=9223372036854775807", 0, errTimeUnreadable},
		{"d=92233720368547758070", 0, errTimeUnreadable},
	} {
		if remaining, err := parseTimeLeft(test.facts); remaining != test.remaining || !errors.Is(err, test.err) {
			t.Errorf("%q: %v, %v", test.facts, remaining, err)
		}
	}
}

// TestTimedReader checks that bytes which arrive while nobody reads are logged with their arrival time.
func TestTimedReader(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	reader := newTimedReader(near, ctx.Done(), func(run func()) { running.Go(run) })
	for _, text := range []string{"one", "two"} {
		io.WriteString(far, text) // returns when the bytes have been read
	}
	written := time.Now()
	buffer := make([]byte, 8)
	for i, want := range []string{"one", "two"} {
		n, err := io.ReadFull(reader, buffer[:3])
		if err != nil || string(buffer[:n]) != want {
			t.Errorf("%q, %v", buffer[:n], err)
		}
		if i == 0 && reader.log.ArrivalTime(0).After(written) { // the second piece may be logged a little after it is written
			t.Error("the arrival was logged when it was read")
		}
	}
	second := reader.log.ArrivalTime(3)
	io.WriteString(far, "three")
	io.ReadFull(reader, buffer[:2])
	if !reader.log.ArrivalTime(6).After(second) {
		t.Error("a later piece has no later arrival time")
	}
	far.Close()
	if rest, err := io.ReadAll(reader); string(rest) != "ree" || err != nil {
		t.Errorf("%q, %v", rest, err)
	}
	running.Wait()
}

// TestLagMeter checks that a lag counts for one to two windows, and that a pending event counts with the lag
// that it has so far.
func TestLagMeter(t *testing.T) {
	var meter lagMeter
	meter.expect(time.Now().Add(-time.Second))
	if meter.max(0) < time.Second {
		t.Error("an overdue event does not count as lag")
	}
	meter.occurred(lagWindow / 2)
	for at, want := range []bool{true, true, false} {
		if lag := meter.max(time.Duration(at) * lagWindow); (lag >= time.Second) != want {
			t.Errorf("in window %d: %v", at, lag)
		}
	}
	meter.expect(time.Now().Add(-time.Second))
	meter.occurred(9 * lagWindow)
	if meter.max(99*lagWindow) != 0 {
		t.Error("an old lag still counts")
	}
}

// TestBrokenConnection checks that an answer may be truncated only if the connection that carried it is
// broken, and not if a connection that carried an earlier call is.
func TestBrokenConnection(t *testing.T) {
	open := func() *link { return &link{sourceLog: arrival.NewLog(nil)} }
	answering, earlier := open(), open()
	earlier.brokenByServer = true
	r := &clientRequest{valueLink: answering}
	if r.valueLink.isBroken() {
		t.Error("the broken connection of an earlier call counts")
	}
	answering.sourceLog.MarkClosing() // a relay closes the connection
	if !r.valueLink.isBroken() {
		t.Error("the connection of the answer does not count although a relay has closed it")
	}
}
