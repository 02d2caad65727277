package rules

import (
	"testing"
	"time"

	"hoptiller/internal/lab/model"
)

// An attempt may begin up to 0.1 s after its client has left, and none may after the answer. What a relay has held back is no sign of when
// it was sent, and what the machine is late is allowed for.
func TestAttemptAfterTheEnd(t *testing.T) {
	const end = time.Second
	ms := time.Millisecond
	for _, c := range []struct {
		name     string
		left     bool
		after    time.Duration
		lag      time.Duration
		heldBack bool
		broken   int
	}{
		{"soon after the client left", true, 90 * ms, 0, false, 0},
		{"long after the client left", true, 110 * ms, 0, false, 1},
		{"the same on a machine that is late", true, 110 * ms, 20 * ms, false, 0},
		{"the same behind a relay that holds back", true, 110 * ms, 0, true, 0},
		{"before the answer was seen", false, 2 * ms, 0, false, 0},
		{"after the answer", false, 10 * ms, 0, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			day := model.Prairie()
			checker := New(&day)
			ending := checker.Ends(end, 0, c.left)
			if c.heldBack {
				checker.HeldBack(end, 0, true)
			}
			checker.Lag = c.lag
			checker.Begun(end+c.after, 0, 1, 3, ending)
			if checker.Count != c.broken {
				t.Errorf("%d rules broken: %v", checker.Count, checker.Found)
			}
		})
	}
}

// A connection that a router ends without an answer to what it had sent on breaks the rule, once for each.
func TestDropped(t *testing.T) {
	day := model.Prairie()
	checker := New(&day)
	checker.Dropped(time.Second, 0, 1)
	if checker.Count != 1 || checker.Found[0].Rule != OneAnswer {
		t.Errorf("%d rules broken: %v", checker.Count, checker.Found)
	}
}

// An answer that has begun ends whole, unless the connection is broken on which it comes from its server.
func TestCutOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		broken   bool
		breaches int
	}{
		{name: "by the router", breaches: 1},
		{name: "by its server or a relay", broken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			day := model.Prairie()
			checker := New(&day)
			checker.Taken(time.Second, 0, 1, 0, 2*time.Second)
			checker.CutOff(time.Second+2*ms, 0, 1, c.broken)
			checker.Unanswered(time.Second+2*ms, 0, 1)
			if checker.unanswered != c.breaches {
				t.Errorf("%d count as not answered", checker.unanswered)
			}
			if checker.Count != c.breaches {
				t.Errorf("%d rules broken: %v", checker.Count, checker.Found)
			}
		})
	}
}
