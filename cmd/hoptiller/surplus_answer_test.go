package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

const (
	overlapSlack   = 50 * time.Millisecond  // how much later than the next attempt the end of the previous one may be noticed
	maxCopyDelay   = 8 * time.Millisecond   // how long after an answer its second copy comes at most
	programPause   = 150 * time.Millisecond // how long a router may be paused between reading its clock and writing
	networkDelay   = 30 * time.Millisecond  // how long the network holds a copy back: longer than most take after their answer
	maxCopyRetries = 50                     // while a copy comes later than maxCopyDelay, or the requests take two connections
)

// A second copy of an answer that names no request does not end the attempt that was written meanwhile.
func TestSurplusAnswerEndsNoOtherAttempt(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"SERVER_ERROR busy", "SERVER_ERROR failed"} {
		for _, class := range []string{"read", "book"} {
			t.Run(fmt.Sprintf("%s/%s/on an idle connection", line, class), func(t *testing.T) {
				t.Parallel()
				copyOnIdleConn(t, line, class, 0, func(_ *environment, sendCopy func()) { sendCopy() })
			})
			t.Run(fmt.Sprintf("%s/%s/while the program is paused", line, class), func(t *testing.T) {
				t.Parallel()
				copyOnIdleConn(t, line, class, 0, func(w *environment, sendCopy func()) {
					w.whilePaused(t, func() {
						sendCopy()
						<-time.After(programPause)
					})
				})
			})
			t.Run(fmt.Sprintf("%s/%s/behind a call", line, class), func(t *testing.T) {
				t.Parallel()
				copyBehindCall(t, line, class)
			})
		}
	}
}

// A second copy of a refusal that the network holds back does not make a request run twice that must not.
func TestSurplusAnswerHeldBackRunsNoRequestTwice(t *testing.T) {
	t.Parallel()
	copyOnIdleConn(t, "SERVER_ERROR busy", "book", networkDelay, func(_ *environment, sendCopy func()) { sendCopy() })
}

// copyOnIdleConn has a server answer request 01 with a line, and once more when it has got request 02 on the same connection. Request
// 02 is sent a time after the answer. The second copy is sent by disturb.
func copyOnIdleConn(t *testing.T, line, class string, after time.Duration, disturb func(w *environment, sendCopy func())) {
	other := map[string]string{"p1": "p2", "p2": "p1"}
	for range maxCopyRetries {
		w := startProgram(t, []string{"p1", "p2"}, "")
		w.sendRead(t, "01", "read")
		server, conn := w.awaitAnyAttempt(t, "01", "p1", "p2")
		answered := time.Now()
		fmt.Fprintf(conn, "%s\r\n", line)
		_, retry := w.awaitAnyAttempt(t, "01", other[server]) // the program has read the answer
		<-time.After(after)
		w.sendRead(t, "02", class)
		name, second := w.awaitAnyAttempt(t, "02", "p1", "p2")
		var delay time.Duration
		disturb(w, func() {
			fmt.Fprintf(conn, "%s\r\n", line)
			delay = time.Since(answered)
		})
		if name != server || second != conn || delay > after+maxCopyDelay {
			continue
		}
		fmt.Fprint(retry, "VA 1 O01\r\nx\r\n")
		w.checkAttempts(t, server, conn, class)
		return
	}
	t.Fatalf("no second copy crossed a request within %v in %d tries", maxCopyDelay, maxCopyRetries)
}

// copyBehindCall has a server that has got two requests on one connection send two lines, of which the second may be a copy of
// the first.
func copyBehindCall(t *testing.T, line, class string) {
	for range maxCopyRetries {
		w := startProgram(t, []string{"p1", "p2"}, "")
		w.sendRead(t, "01", "read")
		server, conn := w.awaitAnyAttempt(t, "01", "p1", "p2")
		w.sendRead(t, "02", class)
		if name, second := w.awaitAnyAttempt(t, "02", "p1", "p2"); name == server && second == conn {
			fmt.Fprintf(conn, "%s\r\n%s\r\n", line, line)
			w.checkAttempts(t, server, conn, class)
			return
		}
	}
	t.Fatalf("no two requests were sent on one connection in %d tries", maxCopyRetries)
}

// sendRead sends a read of one key. The client is the actor "c" with the request's ID.
func (w *environment) sendRead(t *testing.T, id, class string) {
	t.Helper()
	if err := w.runStep("c"+id, "send", fmt.Sprintf("mg 000000000000001f v O%s Pc=%s,d=9000", id, class)); err != nil {
		t.Fatal(err)
	}
}

// awaitAnyAttempt returns which of the servers gets an attempt of a request, and the connection of the attempt.
func (w *environment) awaitAnyAttempt(t *testing.T, id string, servers ...string) (server string, conn net.Conn) {
	t.Helper()
	for {
		name, l := w.awaitLine(t, servers...)
		if strings.Contains(l.text, " O"+id+" ") {
			return name, l.conn
		}
	}
}

// answerRead answers a line with a value if it is an attempt of a request.
func answerRead(l receivedLine, id string) {
	if strings.Contains(l.text, " O"+id+" ") {
		fmt.Fprintf(l.conn, "VA 1 O%s\r\nx\r\n", id)
	}
}

// checkAttempts checks that request 02 has no other attempt while its first one, which came to a server on a connection, is in
// flight. If the request is of the class book, it must have no other attempt at all and must not be rejected as safe to retry.
func (w *environment) checkAttempts(t *testing.T, server string, first net.Conn, class string) {
	t.Helper()
	ended := false
	for {
		name, l := w.awaitLine(t, "p1", "p2", "o", "c02")
		switch {
		case l.conn == first && l.text == "<closed>":
			ended = true
		case name == "c02":
			if class == "book" && strings.HasPrefix(l.text, "SERVER_ERROR busy") {
				t.Error("a request that may have run is rejected as safe to retry")
			}
			return
		case strings.Contains(l.text, " O02 ") || l.text == "X-Correlation-Id: 02":
			if class == "book" {
				t.Errorf("a request that may have run is sent to %s again", name)
			}
			if !ended && !w.closesWithin(server, first, overlapSlack) {
				t.Errorf("an attempt is sent to %s while that at %s is in flight", name, server)
			}
			return
		}
		answerRead(l, "01")
	}
}

// closesWithin reports whether a connection to a server ends within a time.
func (w *environment) closesWithin(server string, conn net.Conn, limit time.Duration) bool {
	timeout := time.After(limit)
	for {
		select {
		case l := <-w.actors[server].lines:
			if l.conn == conn && l.text == "<closed>" {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// awaitLine returns the next line that one of the actors receives.
func (w *environment) awaitLine(t *testing.T, names ...string) (name string, l receivedLine) {
	t.Helper()
	testprog.Eventually(t, "a line for "+strings.Join(names, ", "), func() bool {
		for _, name = range names {
			select {
			case l = <-w.actors[name].lines:
				return true
			default:
			}
		}
		return false
	})
	return name, l
}
