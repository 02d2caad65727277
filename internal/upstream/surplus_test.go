package upstream

import (
	"fmt"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// An answer that names no request counts only where it cannot be a surplus one of the answer before it.
func TestUnnamedAnswers(t *testing.T) {
	t.Parallel()
	const roundTrip, now = 2 * time.Millisecond, time.Nanosecond
	for name, c := range map[string]struct {
		line        string
		firstAnswer time.Duration // how long ago the first answer on the connection came
		lastAnswer  time.Duration // how long ago the last one came; 0: there is none
		sent        time.Duration // how long ago the call was sent
		want        hoptiller.Status
		closed      bool
	}{
		"the first answer":                  {"SERVER_ERROR busy", 0, 0, 0, hoptiller.TurnedAway, false},
		"long after another answer":         {"SERVER_ERROR busy", time.Hour, time.Second, 0, hoptiller.TurnedAway, false},
		"right after another answer":        {"SERVER_ERROR busy", time.Hour, now, 0, hoptiller.Unconfirmed, true},
		"failed right after another answer": {"SERVER_ERROR failed", time.Hour, now, 0, hoptiller.ServerError, true},
		"the call had reached the server":   {"SERVER_ERROR busy", time.Hour, now, time.Second, hoptiller.TurnedAway, false},
		"right after the first answer":      {"SERVER_ERROR busy", now, now, time.Second, hoptiller.Unconfirmed, true},
		"an answer that names its request":  {"EN O01", time.Hour, now, 0, hoptiller.Miss, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, conn, server := idleConn(t)
			first, second := sentCall("01"), sentCall("02")
			first.sentAt = first.sentAt.Add(-c.sent)
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
