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

// shortDeadline is the deadline of all classes in the environment of startWithShortDeadlines. longClientWait is the time that
// clients state in their requests, which is much longer.
const (
	shortDeadline  = 600 * time.Millisecond
	longClientWait = 9 * time.Second
)

// TestAnswerTimeLimitPrecedesKill checks the times of a shutdown. SIGKILL follows SIGTERM no sooner than after the longest
// deadline, counted as 3 s if it is longer, plus 0.7 s. All requests must be answered some time before that, and no client may
// be disconnected while new clients are still accepted.
func TestAnswerTimeLimitPrecedesKill(t *testing.T) {
	const minMargin, maxCountedDeadline, acceptsClients = 250 * time.Millisecond, 3 * time.Second, 700 * time.Millisecond
	for _, longest := range []time.Duration{100 * time.Millisecond, shortDeadline, maxCountedDeadline, longClientWait} {
		classes := []hoptiller.Class{{Deadline: shortDeadline / 10, Aim: shortDeadline / 20}, {Deadline: longest, Aim: longest / 2}}
		kill := min(longest, maxCountedDeadline) + acceptsClients
		if at := answerTimeLimit(classes); at > kill-minMargin {
			t.Errorf("deadline %v: all requests are answered %v after SIGTERM, SIGKILL comes after %v", longest, at, kill)
		}
		if served := keepServingTime(classes); served < acceptsClients || served > max(acceptsClients, kill-longest/2) {
			t.Errorf("deadline %v: clients are served for %v after SIGTERM, SIGKILL comes after %v", longest, served, kill)
		}
	}
}

// startWithShortDeadlines starts the program in an environment in which all classes have the aim and the deadline
// shortDeadline. Answers after the aim still have some worth, so that the program does not itself shorten the longer time that
// a client states.
func startWithShortDeadlines(t *testing.T) *environment {
	from, to := `"onTime":9000000,"deadline":9000000`, fmt.Sprintf(`"lateValue":0.5,"onTime":%d,"deadline":%[1]d`, shortDeadline.Microseconds())
	return startProgramWith(t, []string{"p1"}, "", from, to, from, to, from, to)
}

// TestAnsweredBeforeAnEarlyKill has a server that never answers and clients that would wait until long after SIGKILL. Requests
// sent before or after SIGTERM, on an old or a new connection, must be answered long before the client's own time is over.
// TestAnswerTimeLimitPrecedesKill checks the exact times.
func TestAnsweredBeforeAnEarlyKill(t *testing.T) {
	t.Parallel()
	w := startWithShortDeadlines(t)
	before, idle := dial(t, w.actors["program"].addr), dial(t, w.actors["program"].addr)
	fmt.Fprint(idle, "mn\r\n")
	r := bufio.NewReader(idle)
	if line, err := r.ReadString('\n'); line != "MN\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	fmt.Fprint(before, "ms k1 1 O01 Pc=book,d=9000\r\nx\r\n")
	testprog.Await(t, w.actors["o"].lines, "first request")
	signalled := time.Now()
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	fmt.Fprint(idle, "mg k2 v O02 Pc=read,d=9000\r\n")
	fresh := dial(t, w.actors["program"].addr)
	fmt.Fprint(fresh, "mg k3 v O03 Pc=read,d=9000\r\n")
	for i, from := range []*bufio.Reader{bufio.NewReader(before), r, bufio.NewReader(fresh)} {
		line, err := from.ReadString('\n')
		if took := time.Since(signalled); !strings.HasPrefix(line, "SERVER_ERROR ") || took >= longClientWait/2 {
			t.Errorf("client %d got %q %v after SIGTERM: %v", i, line, took, err)
		}
	}
}

// lastRequest is the last request of a client, and whether it was answered.
type lastRequest struct {
	id       string
	answered bool
}

// requestUntilClosed sends one request after the other on a connection until the program closes it.
func requestUntilClosed(conn net.Conn, client int) (last lastRequest) {
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

// TestRequestsDuringClose has clients that send requests without a pause until the program closes their connections after
// SIGTERM, so that some requests arrive at the moment of the close. Every request that was forwarded to a server must be
// answered.
func TestRequestsDuringClose(t *testing.T) {
	t.Parallel()
	const clients = 40
	w := startWithShortDeadlines(t)
	var mu sync.Mutex
	forwarded := map[string]bool{}
	go func() {
		for l := range w.actors["p1"].lines {
			if part := strings.Fields(l.text); len(part) > 3 {
				mu.Lock()
				forwarded[part[3]] = true
				mu.Unlock()
				fmt.Fprintf(l.conn, "VA 1 %s\r\nx\r\n", part[3])
			}
		}
	}()
	var lastRequests [clients]lastRequest
	var running sync.WaitGroup
	for i := range clients {
		conn := dial(t, w.actors["program"].addr)
		running.Go(func() { lastRequests[i] = requestUntilClosed(conn, i) })
	}
	testprog.Eventually(t, "all clients send requests", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(forwarded) >= 10*clients
	})
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	running.Wait()
	w.runScenario(t, t.Name(), []string{"program expect 0"})
	mu.Lock()
	defer mu.Unlock()
	for _, q := range lastRequests {
		if !q.answered && forwarded[q.id] {
			t.Errorf("%s was forwarded and not answered", q.id)
		}
	}
}
