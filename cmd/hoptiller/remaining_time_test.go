package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// serverWorkTime is how long the servers of these tests take for an answer. clientWaitTime is how long their clients wait.
const (
	serverWorkTime = 100 * time.Millisecond
	clientWaitTime = 9 * time.Second
)

// receivedAttempt is an attempt that a server has received.
type receivedAttempt struct {
	conn      net.Conn
	line      string
	at        time.Time
	remaining time.Duration // time that the attempt states in its line; 0 for none
}

// awaitAttempt reads the lines of a server until one matches want, and at the origin on to the line with the facts of the
// request.
func (w *environment) awaitAttempt(t *testing.T, server, want string) (a receivedAttempt) {
	t.Helper()
	for from := w.actors[server]; ; {
		next := testprog.Await(t, from.lines, want)
		if !matchesPattern(want, next.text) {
			continue
		}
		a = receivedAttempt{conn: next.conn, line: next.text, at: time.Now()}
		for server == "o" && !strings.HasPrefix(a.line, "X-Facts: ") {
			a.line = testprog.Await(t, from.lines, "X-Facts").text
		}
		if _, rest, stated := strings.Cut(a.line, ",d="); stated {
			digits, _, _ := strings.Cut(rest, ",")
			milliseconds, err := strconv.Atoi(digits)
			if err != nil {
				t.Fatalf("%q states no time", a.line)
			}
			a.remaining = time.Duration(milliseconds) * time.Millisecond
		}
		return a
	}
}

// answerAfterWork answers an attempt after serverWorkTime. It returns how long after its arrival the attempt was answered.
func (a receivedAttempt) answerAfterWork(t *testing.T, answer string) (took time.Duration) {
	t.Helper()
	<-time.NewTimer(serverWorkTime).C
	took = time.Since(a.at)
	if _, err := fmt.Fprintf(a.conn, "%s\r\n", answer); err != nil {
		t.Fatal(err)
	}
	return took
}

// TestRemainingTimeAfterSlowAnswer checks that each attempt states the time that the client still waits: the first attempt, the
// fetch from the origin after a slow miss, a write after a refusal, and the attempts of a request that the client marked as its
// retry. A request without a time is forwarded without one. If a request states two times, the shorter one counts, and both
// are replaced by the remaining time.
func TestRemainingTimeAfterSlowAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		command  string
		first    string // server that receives the first attempt
		answer   string // of the first attempt
		second   string // first line of the second attempt, at the origin
		unstated bool
		twoTimes bool
	}{
		"read":           {"mg k1 v O01 Pc=read,d=9000", "p1", "EN O01", "GET /k1 *", false, false},
		"a marked retry": {"mg k1 v O01 Pc=read,d=9000,r=1", "p1", "EN O01", "GET /k1 *", false, false},
		"no time":        {"mg k1 v O01 Pc=read,size=3", "p1", "EN O01", "GET /k1 *", true, false},
		"two times":      {"mg k1 v O01 Pc=read,d=90000,d=9000", "p1", "EN O01", "GET /k1 *", false, true},
		"write": {"ms k1 2 O01 Pc=cancel,d=9000,k=5\r\nhi", "o", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n", "*PUT /k1 *",
			false, false},
		"a long write": {"ms k1 100000 O01 Pc=cancel,d=9000,k=5\r\n" + strings.Repeat("x", 100000), "o",
			"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n", "*PUT /k1 *", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startProgram(t, []string{"p1"}, "")
			client := dial(t, w.actors["program"].addr)
			fmt.Fprintf(client, "%s\r\n", c.command)
			first := c.second
			if c.first == "p1" {
				first = "mg k1 *"
			}
			firstAttempt := w.awaitAttempt(t, c.first, first)
			maxRemaining := clientWaitTime - firstAttempt.answerAfterWork(t, c.answer)
			secondAttempt := w.awaitAttempt(t, "o", c.second)
			if c.unstated {
				if firstAttempt.remaining != 0 || secondAttempt.remaining != 0 {
					t.Errorf("%q and %q state a time, but the client stated none", firstAttempt.line, secondAttempt.line)
				}
				return
			}
			if firstAttempt.remaining <= 0 || firstAttempt.remaining > clientWaitTime {
				t.Errorf("the first attempt: %q", firstAttempt.line)
			}
			if secondAttempt.remaining <= 0 || secondAttempt.remaining > maxRemaining {
				t.Errorf("%q states more than the remaining %v", secondAttempt.line, maxRemaining)
			}
			if c.twoTimes && (strings.Count(firstAttempt.line, ",d=") != 2 ||
				strings.Contains(firstAttempt.line+secondAttempt.line, "d=90000")) {
				t.Errorf("%q, then %q", firstAttempt.line, secondAttempt.line)
			}
		})
	}
}

// TestRemainingTimeOfPipelinedCommands sends more commands at once than the program begins before the first is answered. The
// command that waits for that must be forwarded with less remaining time.
func TestRemainingTimeOfPipelinedCommands(t *testing.T) {
	t.Parallel()
	const maxBegun = 16 // commands of one connection that are in progress at once
	w := startProgram(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	var commands strings.Builder
	for i := range maxBegun + 1 {
		fmt.Fprintf(&commands, "mg k%02d v O%02d Pc=read,d=9000\r\n", i, i)
	}
	fmt.Fprint(client, commands.String())
	var inFlight []receivedAttempt
	for range maxBegun {
		inFlight = append(inFlight, w.awaitAttempt(t, "p1", "mg *"))
	}
	most := clientWaitTime
	for i, a := range inFlight { // on each connection in the order of arrival
		answer := fmt.Sprintf("VA 1 %s\r\nv", strings.Fields(a.line)[3])
		if i == 0 {
			most -= a.answerAfterWork(t, answer)
		} else if _, err := fmt.Fprintf(a.conn, "%s\r\n", answer); err != nil {
			t.Fatal(err)
		}
	}
	if last := w.awaitAttempt(t, "p1", "mg k16 *"); last.remaining <= 0 || last.remaining > most {
		t.Errorf("%q states more than the remaining %v", last.line, most)
	}
}

// TestRemainingTimeUnderPolicy checks that an attempt states the time of the operator's policy if it is shorter than the
// client's.
func TestRemainingTimeUnderPolicy(t *testing.T) {
	t.Parallel()
	const policyTime = 100 * time.Millisecond // timeout of bookings in narrow.hop
	w := startProgram(t, []string{"p1"}, "narrow.hop")
	fmt.Fprint(dial(t, w.actors["program"].addr), "ms k1 1 O01 Pc=book,d=9000,k=1\r\nv\r\n")
	if a := w.awaitAttempt(t, "o", "PUT /k1 *"); a.remaining <= 0 || a.remaining > policyTime {
		t.Errorf("%q states more than the policy's %v", a.line, policyTime)
	}
}

// TestBadTimes checks that a request with an invalid time is answered with an error and not forwarded.
func TestBadTimes(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	for _, time := range []string{"0", "-5", "", "soon", "1e3", "3600001", "99999999999999999999", "9000,d=0"} {
		client := dial(t, w.actors["program"].addr)
		fmt.Fprintf(client, "mg k1 v O01 Pc=read,d=%s\r\n", time)
		if line, err := bufio.NewReader(client).ReadString('\n'); line != "CLIENT_ERROR bad deadline\r\n" {
			t.Errorf("d=%s: %q, %v", time, line, err)
		}
	}
	fmt.Fprint(dial(t, w.actors["program"].addr), "mg k2 v O02 Pc=read,d=9000\r\n")
	if line := testprog.Await(t, w.actors["p1"].lines, "attempt").text; !matchesPattern("mg k2 *", line) {
		t.Errorf("the first attempt is %q", line)
	}
}
