package standin

import (
	"testing"
	"time"

	"hoptiller"
)

// TestRecentLoad checks that the load covers the last window and that older work does not count.
func TestRecentLoad(t *testing.T) {
	var load recentLoad
	for i := range 10 {
		load.add(time.Duration(i)*loadWindow/10, 0.5)
	}
	for halves, want := range []float64{2: 5, 3: 2.5, 4: 0} {
		if halves < 2 {
			continue
		}
		if got := load.rate(time.Duration(halves) * loadWindow / 2); got != want {
			t.Errorf("after %d half windows: load %v, want %v", halves, got, want)
		}
	}
}

// TestCallSummary checks that a slow or failed call explains the end of its request, and that a quick value or
// miss does not.
func TestCallSummary(t *testing.T) {
	const aim = time.Second
	for _, test := range []struct {
		status       hoptiller.Status
		took         time.Duration
		slow, failed bool
	}{
		{hoptiller.OK, aim / 2, false, false},
		{hoptiller.Miss, aim/2 + 1, true, false},
		{hoptiller.Reset, 0, false, true},
		{hoptiller.TurnedAway, 0, false, true},
	} {
		var summary callSummary
		summary.callEnded(test.status, test.took, aim)
		if summary.anySlow != test.slow || summary.anyFailed != test.failed || summary.totalTime != test.took {
			t.Errorf("%v after %v: %+v", test.status, test.took, summary)
		}
	}
}
