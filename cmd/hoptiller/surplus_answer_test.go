package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// overlapSlack is how much later than the next attempt of a request the end of the previous one may be noticed.
const overlapSlack = 50 * time.Millisecond

// A second copy of an answer that names no request does not end the attempt that was written meanwhile.
func TestSurplusAnswerEndsNoOtherAttempt(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"SERVER_ERROR busy", "SERVER_ERROR failed"} {
		for _, class := range []string{"read", "book"} {
			t.Run(fmt.Sprintf("%s/%s/on an idle connection", line, class), func(t *testing.T) {
				t.Parallel()
				w := startProgram(t, []string{"p1", "p2"}, "")
				w.sendRead(t, "01", "read")
				server, first := w.awaitAnyAttempt(t, "01")
				fmt.Fprintf(first, "%s\r\n", line)
				w.answerUntilServed(t, "01")
				w.sendRead(t, "02", class)
				call := w.awaitAttempt(t, server, "mg * O02 *")
				fmt.Fprintf(first, "%s\r\n", line)
				w.checkAttempts(t, server, call.conn, class)
			})
			t.Run(fmt.Sprintf("%s/%s/behind a call", line, class), func(t *testing.T) {
				t.Parallel()
				w := startProgram(t, []string{"p1", "p2"}, "")
				w.sendRead(t, "01", "read")
				server, first := w.awaitAnyAttempt(t, "01")
				w.sendRead(t, "02", class)
				call := w.awaitAttempt(t, server, "mg * O02 *")
				fmt.Fprintf(first, "%s\r\n%s\r\n", line, line)
				w.checkAttempts(t, server, call.conn, class)
			})
		}
	}
}

// sendRead sends a read of one key. The client is the actor "c" with the request's ID.
func (w *environment) sendRead(t *testing.T, id, class string) {
	t.Helper()
	if err := w.runStep("c"+id, "send", fmt.Sprintf("mg 000000000000001f v O%s Pc=%s,d=9000", id, class)); err != nil {
		t.Fatal(err)
	}
}

// awaitAnyAttempt returns the cache server that gets an attempt of a request, and the connection of the attempt.
func (w *environment) awaitAnyAttempt(t *testing.T, id string) (server string, conn net.Conn) {
	t.Helper()
	for {
		name, l := w.awaitLine(t, "p1", "p2")
		if strings.Contains(l.text, " O"+id+" ") {
			return name, l.conn
		}
	}
}

// answerUntilServed answers the attempts of a request with a value until its client has it.
func (w *environment) answerUntilServed(t *testing.T, id string) {
	t.Helper()
	for {
		name, l := w.awaitLine(t, "p1", "p2", "c"+id)
		if name == "c"+id {
			return
		}
		answerRead(l, id)
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
