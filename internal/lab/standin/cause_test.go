package standin

import (
	"testing"
	"time"

	"hoptiller"
)

// The load is that of the latest window's length, and what was longer ago counts no more.
func TestLoad(t *testing.T) {
	var l load
	for i := range 10 {
		l.add(time.Duration(i)*loadWindow/10, 0.5)
	}
	for halves, want := range []float64{2: 5, 3: 2.5, 4: 0} {
		if halves < 2 {
			continue
		}
		if got := l.rate(time.Duration(halves) * loadWindow / 2); got != want {
			t.Errorf("after %d halves of a window: %v, not %v", halves, got, want)
		}
	}
}

// A call that took long, or came to nothing, explains the end of its request. A quick value or miss does not.
func TestCallTimes(t *testing.T) {
	const aim = time.Second
	for _, test := range []struct {
		status       hoptiller.Status
		took         time.Duration
		slow, failed bool
	}{
		{hoptiller.OK, aim / 2, false, false},
		{hoptiller.Miss, aim/2 + 1, true, false},
		{hoptiller.Reset, 0, false, true},
		{hoptiller.Full, 0, false, true},
	} {
		var c callTimes
		c.ended(test.status, test.took, aim)
		if c.slow != test.slow || c.failed != test.failed || c.spent != test.took {
			t.Errorf("%v after %v: %+v", test.status, test.took, c)
		}
	}
}
