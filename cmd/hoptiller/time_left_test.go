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

// work is how long the servers of these tests take, and waits how long their clients wait.
const (
	work  = 100 * time.Millisecond
	waits = 9 * time.Second
)

// attempt is what a server was told of one, and when it came.
type attempt struct {
	conn net.Conn
	line string
	at   time.Time
	left time.Duration // that it states; 0: none
}

// attemptAt reads on at a server until a line is as wanted, and then to the line that holds the names and values.
func (w *world) attemptAt(t *testing.T, server, want string) (a attempt) {
	t.Helper()
	for from := w.actors[server]; ; {
		next := testprog.Await(t, from.lines, want)
		if !like(want, next.text) {
			continue
		}
		a = attempt{conn: next.conn, line: next.text, at: time.Now()}
		for server == "o" && !strings.HasPrefix(a.line, "X-Facts: ") {
			a.line = testprog.Await(t, from.lines, "X-Facts").text
		}
		if _, rest, stated := strings.Cut(a.line, ",d="); stated {
			digits, _, _ := strings.Cut(rest, ",")
			milliseconds, err := strconv.Atoi(digits)
			if err != nil {
				t.Fatalf("%q states no time", a.line)
			}
			a.left = time.Duration(milliseconds) * time.Millisecond
		}
		return a
	}
}

// answerAfterWork answers an attempt when it has taken work, and says how long it has taken by then.
func (a attempt) answerAfterWork(t *testing.T, answer string) (took time.Duration) {
	t.Helper()
	<-time.NewTimer(work).C
	took = time.Since(a.at)
	if _, err := fmt.Fprintf(a.conn, "%s\r\n", answer); err != nil {
		t.Fatal(err)
	}
	return took
}

// A miss is slow, and a fetch from the origin follows: that is told what is left of the client's time, as are the first attempt,
// writes that follow a refusal, and those of a client's marked retry. What states no time goes on without; of two the shorter
// counts, and both become what is left.
func TestTimeLeftAfterASlowAnswer(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		command  string
		first    string // the server to which the first attempt goes
		answer   string // of the first attempt
		second   string // the line with which the second one begins at the origin
		unstated bool
		two      bool
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
			w := start(t, []string{"p1"}, "")
			client := dial(t, w.actors["program"].addr)
			fmt.Fprintf(client, "%s\r\n", c.command)
			first := c.second
			if c.first == "p1" {
				first = "mg k1 *"
			}
			one := w.attemptAt(t, c.first, first)
			most := waits - one.answerAfterWork(t, c.answer)
			two := w.attemptAt(t, "o", c.second)
			if c.unstated {
				if one.left != 0 || two.left != 0 {
					t.Errorf("%q and %q state a time that the client did not", one.line, two.line)
				}
				return
			}
			if one.left <= 0 || one.left > waits {
				t.Errorf("the first attempt: %q", one.line)
			}
			if two.left <= 0 || two.left > most {
				t.Errorf("%q tells of more than the %v that are left", two.line, most)
			}
			if c.two && (strings.Count(one.line, ",d=") != 2 || strings.Contains(one.line+two.line, "d=90000")) {
				t.Errorf("%q, then %q", one.line, two.line)
			}
		})
	}
}

// A client sends more commands at once than are begun before the first is answered. What waits for that has less time left then.
func TestTimeLeftOfPipelinedCommands(t *testing.T) {
	t.Parallel()
	const begun = 16 // of one connection before the first is answered
	w := start(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	var commands strings.Builder
	for i := range begun + 1 {
		fmt.Fprintf(&commands, "mg k%02d v O%02d Pc=read,d=9000\r\n", i, i)
	}
	fmt.Fprint(client, commands.String())
	var out []attempt
	for range begun {
		out = append(out, w.attemptAt(t, "p1", "mg *"))
	}
	most := waits
	for i, a := range out { // on each connection in the order in which they came
		answer := fmt.Sprintf("VA 1 %s\r\nv", strings.Fields(a.line)[3])
		if i == 0 {
			most -= a.answerAfterWork(t, answer)
		} else if _, err := fmt.Fprintf(a.conn, "%s\r\n", answer); err != nil {
			t.Fatal(err)
		}
	}
	if last := w.attemptAt(t, "p1", "mg k16 *"); last.left <= 0 || last.left > most {
		t.Errorf("%q tells of more than the %v that are left", last.line, most)
	}
}

// An operator's policy gives an attempt less time than its client has: the server is told of that.
func TestTimeLeftUnderAPolicy(t *testing.T) {
	t.Parallel()
	const most = 100 * time.Millisecond // of bookings, in narrow.hop
	w := start(t, []string{"p1"}, "narrow.hop")
	fmt.Fprint(dial(t, w.actors["program"].addr), "ms k1 1 O01 Pc=book,d=9000,k=1\r\nv\r\n")
	if a := w.attemptAt(t, "o", "PUT /k1 *"); a.left <= 0 || a.left > most {
		t.Errorf("%q tells of more than the policy's %v", a.line, most)
	}
}

// A time that can't be one is one clear error, and nothing is sent for it.
func TestBadTimes(t *testing.T) {
	t.Parallel()
	w := start(t, []string{"p1"}, "")
	for _, time := range []string{"0", "-5", "", "soon", "1e3", "3600001", "99999999999999999999", "9000,d=0"} {
		client := dial(t, w.actors["program"].addr)
		fmt.Fprintf(client, "mg k1 v O01 Pc=read,d=%s\r\n", time)
		if line, err := bufio.NewReader(client).ReadString('\n'); line != "CLIENT_ERROR bad deadline\r\n" {
			t.Errorf("d=%s: %q, %v", time, line, err)
		}
	}
	fmt.Fprint(dial(t, w.actors["program"].addr), "mg k2 v O02 Pc=read,d=9000\r\n")
	if line := testprog.Await(t, w.actors["p1"].lines, "attempt").text; !like("mg k2 *", line) {
		t.Errorf("first came %q", line)
	}
}
