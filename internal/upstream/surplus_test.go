package upstream

import (
	"fmt"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// An answer that names no request counts only where it cannot be a surplus one of the answer before it. For a call that must not
// run twice that has to be certain, however long the network holds the surplus one back.
func TestUnnamedAnswers(t *testing.T) {
	t.Parallel()
	const roundTrip, now = 2 * time.Millisecond, time.Nanosecond
	const once, keyed = hoptiller.AtMostOnce, hoptiller.Deduplicated
	for name, c := range map[string]struct {
		line        string
		effect      hoptiller.Effect
		firstAnswer time.Duration // how long ago the first answer on the connection came
		lastAnswer  time.Duration // how long ago the last one came; 0: there is none
		sent        time.Duration // how long ago the call was sent
		want        hoptiller.Status
		closed      bool
	}{
		"the first answer":                   {"SERVER_ERROR busy", 0, 0, 0, 0, hoptiller.TurnedAway, false},
		"long after another answer":          {"SERVER_ERROR busy", 0, time.Hour, time.Second, 0, hoptiller.TurnedAway, false},
		"right after another answer":         {"SERVER_ERROR busy", 0, time.Hour, now, 0, hoptiller.Unconfirmed, true},
		"failed right after another answer":  {"SERVER_ERROR failed", 0, time.Hour, now, 0, hoptiller.ServerError, true},
		"the call had reached the server":    {"SERVER_ERROR busy", 0, time.Hour, now, time.Second, hoptiller.TurnedAway, false},
		"right after the first answer":       {"SERVER_ERROR busy", 0, now, now, time.Second, hoptiller.Unconfirmed, true},
		"an answer that names its request":   {"EN O01", 0, time.Hour, now, 0, hoptiller.Miss, false},
		"once, the first answer":             {"SERVER_ERROR busy", once, 0, 0, 0, hoptiller.TurnedAway, false},
		"once, held back by the network":     {"SERVER_ERROR busy", once, time.Hour, 200 * time.Millisecond, 100 * time.Millisecond, hoptiller.Unconfirmed, true},
		"once, sent on a rested connection":  {"SERVER_ERROR busy", once, time.Hour, time.Minute, 100 * time.Millisecond, hoptiller.TurnedAway, false},
		"once, behind another call":          {"SERVER_ERROR busy", once, time.Hour, now, time.Minute, hoptiller.Unconfirmed, true},
		"keyed, held back by the network":    {"SERVER_ERROR busy", keyed, time.Hour, 200 * time.Millisecond, 100 * time.Millisecond, hoptiller.Unconfirmed, true},
		"keyed, sent on a rested connection": {"SERVER_ERROR busy", keyed, time.Hour, time.Minute, 100 * time.Millisecond, hoptiller.TurnedAway, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, conn, server := idleConn(t)
			p.settings.SurplusTime = testSurplusTime
			first, second := sentCall("01"), sentCall("02")
			first.sentAt, first.req.Effect = first.sentAt.Add(-c.sent), c.effect
			conn.server.fastestAnswer = roundTrip
			conn.pending, conn.load = []*pendingCall{first, second}, 2
			fmt.Fprintf(server, "%s\r\n", c.line)
			if c.lastAnswer > 0 {
				conn.lastAnswer.firstAt, conn.lastAnswer.at = time.Now().Add(-c.firstAnswer), time.Now().Add(-c.lastAnswer)
			}
			go conn.readLoop()
			if r := testprog.Await(t, first.result, "answer"); r.Status != c.want {
				t.Errorf("the first call ended as %v, want %v", r.Status, c.want)
			}
			if c.closed {
				if r := testprog.Await(t, second.result, "end of the second call"); r.Status != hoptiller.Cancelled {
					t.Errorf("the second call ended as %v", r.Status)
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if conn.closed != c.closed {
				t.Errorf("closed: %v", conn.closed)
			}
		})
	}
}

const testSurplusTime = 10 * time.Second // longer than a busy machine delays the test

// Nothing that arrives before a call's first byte is written is its answer.
func TestAnswerBeforeFirstByte(t *testing.T) {
	t.Parallel()
	_, c, server := idleConn(t)
	call := sentCall("01")
	call.begun.Store(false)
	c.pending = []*pendingCall{call}
	fmt.Fprint(server, "SERVER_ERROR busy\r\n")
	go c.readLoop()
	if r := testprog.Await(t, call.result, "end of the call"); r.Status != hoptiller.Reset {
		t.Errorf("the call ended as %v", r.Status)
	}
}
