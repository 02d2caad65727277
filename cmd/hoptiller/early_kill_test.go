package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/testprog"
)

// shortDeadline is the deadline of all classes in a world of startShort, and clientWait how long clients wait there all the same.
const (
	shortDeadline = 600 * time.Millisecond
	clientWait    = 9 * time.Second
)

// SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s. All is answered a
// while before that, and no client is sent away before the time in which others still come.
func TestAllIsAnsweredBeforeTheKill(t *testing.T) {
	const atLeast, counted, clientsCome = 250 * time.Millisecond, 3 * time.Second, 700 * time.Millisecond
	for _, longest := range []time.Duration{100 * time.Millisecond, shortDeadline, counted, clientWait} {
		classes := []hoptiller.Class{{Deadline: shortDeadline / 10, Aim: shortDeadline / 20}, {Deadline: longest, Aim: longest / 2}}
		kill := min(longest, counted) + clientsCome
		if at := last(classes); at > kill-atLeast {
			t.Errorf("deadline %v: all is answered %v after SIGTERM, SIGKILL comes after %v", longest, at, kill)
		}
		if served := keep(classes); served < clientsCome || served > max(clientsCome, kill-longest/2) {
			t.Errorf("deadline %v: clients are served for %v after SIGTERM, SIGKILL comes after %v", longest, served, kill)
		}
	}
}

// startShort starts the program in a world in which no class has a longer deadline than shortDeadline, and late answers are worth
// something, so that a client's longer time is not cut short by the program's own choice.
func startShort(t *testing.T) *world {
	from, to := `"onTime":9000000,"deadline":9000000`, fmt.Sprintf(`"lateValue":0.5,"onTime":%d,"deadline":%[1]d`, shortDeadline.Microseconds())
	return startWith(t, []string{"p1"}, "", from, to, from, to, from, to)
}

// A server never answers, and clients wait far longer than SIGKILL. Whoever asks before SIGTERM or after it, on an old or a new
// connection, has an answer long before the client's own time is over: see TestAllIsAnsweredBeforeTheKill for when.
func TestAnsweredBeforeAnEarlyKill(t *testing.T) {
	t.Parallel()
	w := startShort(t)
	before, rests := dial(t, w.actors["program"].addr), dial(t, w.actors["program"].addr)
	fmt.Fprint(rests, "mn\r\n")
	r := bufio.NewReader(rests)
	if line, err := r.ReadString('\n'); line != "MN\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	fmt.Fprint(before, "ms k1 1 O01 Pc=book,d=9000\r\nx\r\n")
	testprog.Await(t, w.actors["o"].lines, "first request")
	told := time.Now()
	w.play(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	fmt.Fprint(rests, "mg k2 v O02 Pc=read,d=9000\r\n")
	fresh := dial(t, w.actors["program"].addr)
	fmt.Fprint(fresh, "mg k3 v O03 Pc=read,d=9000\r\n")
	for i, from := range []*bufio.Reader{bufio.NewReader(before), r, bufio.NewReader(fresh)} {
		line, err := from.ReadString('\n')
		if took := time.Since(told); !strings.HasPrefix(line, "SERVER_ERROR ") || took >= clientWait/2 {
			t.Errorf("client %d got %q %v after SIGTERM: %v", i, line, took, err)
		}
	}
}

// lastRequest is a client's last request and whether it was answered.
type lastRequest struct {
	id       string
	answered bool
}

// askUntilEnd asks again and again on a connection until the program ends it.
func askUntilEnd(conn net.Conn, client int) (last lastRequest) {
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		last = lastRequest{id: fmt.Sprintf("O%d-%d", client, i)}
		if _, err := fmt.Fprintf(conn, "mg k%d v %s Pc=read,d=500\r\n", client, last.id); err != nil {
			return last
		}
		head, _ := r.ReadString('\n')
		if _, err := r.ReadString('\n'); err != nil {
			return last
		}
		last.answered = strings.HasSuffix(head, " "+last.id+"\r\n")
	}
}

// Clients ask without a pause until the program ends their connections after SIGTERM, so that requests come in the very moment of
// the close. What was sent on to a server is answered; what is not answered was never sent on.
func TestRequestsInTheMomentOfTheClose(t *testing.T) {
	t.Parallel()
	const clients = 40
	w := startShort(t)
	var mu sync.Mutex
	sentOn := map[string]bool{}
	go func() {
		for l := range w.actors["p1"].lines {
			if part := strings.Fields(l.text); len(part) > 3 {
				mu.Lock()
				sentOn[part[3]] = true
				mu.Unlock()
				fmt.Fprintf(l.conn, "VA 1 %s\r\nx\r\n", part[3])
			}
		}
	}()
	var last [clients]lastRequest
	var all sync.WaitGroup
	for i := range clients {
		conn := dial(t, w.actors["program"].addr)
		all.Go(func() { last[i] = askUntilEnd(conn, i) })
	}
	testprog.Until(t, "all clients ask", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(sentOn) >= 10*clients
	})
	w.play(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	all.Wait()
	w.play(t, t.Name(), []string{"program expect 0"})
	mu.Lock()
	defer mu.Unlock()
	for _, q := range last {
		if !q.answered && sentOn[q.id] {
			t.Errorf("%s was sent on and not answered", q.id)
		}
	}
}
