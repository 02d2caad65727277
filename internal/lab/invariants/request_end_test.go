package invariants

import (
	"testing"
	"time"

	"hoptiller/internal/lab/model"
)

// TestAttemptAfterEnd checks that an attempt may begin up to 0.1 s after its client has disconnected, and not
// at all after the answer. The check ignores attempts that a relay may have delayed, and allows for the lag of
// the machine.
func TestAttemptAfterEnd(t *testing.T) {
	const end = time.Second
	ms := time.Millisecond
	for _, c := range []struct {
		name         string
		disconnected bool
		delay        time.Duration
		lag          time.Duration
		relayDelays  bool
		violations   int
	}{
		{"soon after the client disconnected", true, 90 * ms, 0, false, 0},
		{"long after the client disconnected", true, 110 * ms, 0, false, 1},
		{"long after the client disconnected, on a lagging machine", true, 110 * ms, 20 * ms, false, 0},
		{"long after the client disconnected, behind a delaying relay", true, 110 * ms, 0, true, 0},
		{"within the observation delay of the answer", false, 2 * ms, 0, false, 0},
		{"well after the answer", false, 10 * ms, 0, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			day := model.DefaultDay()
			checker := New(&day)
			ending := checker.RequestEnded(end, 0, c.disconnected)
			if c.relayDelays {
				checker.RelayDelaying(end, 0, true)
			}
			checker.Lag = c.lag
			checker.AttemptAfterEnd(end+c.delay, 0, 1, 3, ending)
			if checker.ViolationCount != c.violations {
				t.Errorf("%d violations: %v", checker.ViolationCount, checker.Violations)
			}
		})
	}
}

// TestConnectionDropped checks that closing a connection without an answer to a request that was sent on is
// one violation for each request.
func TestConnectionDropped(t *testing.T) {
	day := model.DefaultDay()
	checker := New(&day)
	checker.ConnectionDropped(time.Second, 0, 1)
	if checker.ViolationCount != 1 || checker.Violations[0].Rule != OneAnswer {
		t.Errorf("%d violations: %v", checker.ViolationCount, checker.Violations)
	}
}

// TestAnswerTruncated checks that a started answer must be completed, unless the connection from its server
// breaks.
func TestAnswerTruncated(t *testing.T) {
	for _, c := range []struct {
		name             string
		serverConnBroken bool
		violations       int
	}{
		{name: "by the router", violations: 1},
		{name: "by its server or a relay", serverConnBroken: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			day := model.DefaultDay()
			checker := New(&day)
			checker.RequestTaken(time.Second, 0, 1, 0, 2*time.Second)
			checker.AnswerTruncated(time.Second+2*ms, 0, 1, c.serverConnBroken)
			checker.RequestUnanswered(time.Second+2*ms, 0, 1)
			if checker.unansweredCount != c.violations {
				t.Errorf("%d requests count as unanswered", checker.unansweredCount)
			}
			if checker.ViolationCount != c.violations {
				t.Errorf("%d violations: %v", checker.ViolationCount, checker.Violations)
			}
		})
	}
}
