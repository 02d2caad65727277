package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// longValue is a value that is so long that it is forwarded while it arrives.
var longValue = strings.Repeat("x", 100_000)

// TestLongAnswerSurvivesListUpdate restarts a cache server at the same address, and the router connects to the new process
// before the list announces the restart. A long answer on that connection must still reach its client completely.
func TestLongAnswerSurvivesListUpdate(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=read,d=9000\r\n")
	call := w.awaitAttempt(t, "p1", "mg k1 *")
	fmt.Fprintf(call.conn, "VA %d O01\r\n%s", len(longValue), longValue[:1000])
	r := bufio.NewReader(client)
	if head, err := r.ReadString('\n'); head != fmt.Sprintf("VA %d O01\r\n", len(longValue)) || err != nil {
		t.Fatalf("got %q, %v", head, err)
	}
	w.runScenario(t, t.Name(), []string{
		"d wait GET /registry/instances?watch=1&after=1 HTTP/1.1",
		"d send HTTP/1.1 200 OK",
		"d send Transfer-Encoding: chunked",
		"d send",
		`d chunk {"version":2,"full":false,"servers":[{p1 active 5}]}`,
		`program wait * msg="server moved" *`,
	})
	fmt.Fprintf(call.conn, "%s\r\n", longValue[1000:])
	value := make([]byte, len(longValue)+2)
	if n, err := io.ReadFull(r, value); string(value) != longValue+"\r\n" {
		t.Errorf("%d of %d bytes of the value came, then %v", n, len(value), err)
	}
}

// TestCallSurvivesUpdateFromSkewedClock also restarts a cache server at the same address. The clock of discovery is an hour ahead
// of the router's, or was set forward in the meantime. A call that waits for its answer on a connection to the new process must
// not be cancelled by a listed start time that lies in the future.
func TestCallSurvivesUpdateFromSkewedClock(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=book,d=9000\r\n")
	call := w.awaitAttempt(t, "p1", "mg k1 *")
	w.runScenario(t, t.Name(), []string{
		"d wait GET /registry/instances?watch=1&after=1 HTTP/1.1",
		"d send HTTP/1.1 200 OK",
		"d send Transfer-Encoding: chunked",
		"d send",
		fmt.Sprintf(`d chunk {"version":2,"full":false,"servers":[{p1 active %d}]}`, time.Now().Add(time.Hour).UnixMilli()),
		`program wait * msg="server moved" *`,
	})
	fmt.Fprint(call.conn, "VA 1 O01\r\nx\r\n")
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "VA 1 O01\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}

// startWithoutLateAnswers starts the program in an environment with short deadlines, so that a shutdown ends soon, and long
// aims, so that no answer counts as late and no silent attempt is retried before the shutdown ends.
func startWithoutLateAnswers(t *testing.T) *environment {
	from, to := `"deadline":9000000`, fmt.Sprintf(`"deadline":%d`, shortDeadline.Microseconds())
	return startProgramWith(t, []string{"p1"}, "", from, to, from, to, from, to)
}

// TestEndOfAShutdown checks the end of a shutdown, when open requests are answered as failed: every command that was read is
// answered, and nothing is forwarded any more.
func TestEndOfAShutdown(t *testing.T) {
	t.Parallel()
	t.Run("no attempt after the answer", noAttemptAfterTheAnswer)
	t.Run("every command that was read is answered", everyCommandIsAnswered)
}

// noAttemptAfterTheAnswer ends the attempt in flight with a miss after its request was answered. A miss would otherwise lead to
// another attempt.
func noAttemptAfterTheAnswer(t *testing.T) {
	t.Parallel()
	w := startWithoutLateAnswers(t)
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=read,d=9000\r\n")
	call := w.awaitAttempt(t, "p1", "mg k1 *")
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	if line, err := bufio.NewReader(client).ReadString('\n'); !strings.HasPrefix(line, "SERVER_ERROR") {
		t.Fatalf("got %q, %v", line, err)
	}
	answered := time.Now()
	fmt.Fprint(call.conn, "EN O01\r\n") // after a miss the router fetches from the origin
	w.runScenario(t, t.Name(), []string{"program expect 0"})
	for _, text := range w.takeLines("o") {
		if strings.HasPrefix(text, "GET /k1 ") {
			t.Errorf("%q was sent after the answer, within %v", text, time.Since(answered))
		}
	}
}

// everyCommandIsAnswered has a client that has sent more commands than are in progress at once.
func everyCommandIsAnswered(t *testing.T) {
	t.Parallel()
	const begun, commands = 16, 20
	w := startWithoutLateAnswers(t)
	client := dial(t, w.actors["program"].addr)
	var all strings.Builder
	for i := range commands {
		fmt.Fprintf(&all, "mg k%02d v O%02d Pc=read,d=9000\r\n", i, i)
	}
	fmt.Fprint(client, all.String())
	for range begun {
		w.awaitAttempt(t, "p1", "mg *")
	}
	w.runScenario(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	r := bufio.NewReader(client)
	for i := range commands {
		if line, err := r.ReadString('\n'); !strings.HasPrefix(line, "SERVER_ERROR") {
			t.Fatalf("answer %d is %q, %v", i, line, err)
		}
	}
	w.runScenario(t, t.Name(), []string{"program expect 0"})
	for _, text := range w.takeLines("p1") {
		if strings.HasPrefix(text, "mg ") {
			t.Errorf("%q was forwarded after the end of the shutdown", text)
		}
	}
}

// takeLines returns the lines that a server has received and the test has not read yet, including the ends of connections. It is
// called after the program has ended, and with it every connection.
func (w *environment) takeLines(server string) (lines []string) {
	for len(w.actors[server].lines) > 0 {
		lines = append(lines, (<-w.actors[server].lines).text)
	}
	return lines
}

// TestLongAnswersAtTheKill has two long answers that have begun when a shutdown answers all open requests. The one whose server
// continues must be complete. The one that SIGKILL cuts off must not end in a way that a client could take for a complete answer.
func TestLongAnswersAtTheKill(t *testing.T) {
	t.Parallel()
	w := startWithoutLateAnswers(t)
	readers := make([]*bufio.Reader, 2)
	calls := make([]receivedAttempt, 2)
	for i := range readers {
		client := dial(t, w.actors["program"].addr)
		fmt.Fprintf(client, "mg k%d v O0%d Pc=read,d=9000\r\n", i, i)
		calls[i] = w.awaitAttempt(t, "p1", fmt.Sprintf("mg k%d *", i))
		fmt.Fprintf(calls[i].conn, "VA %d O0%d\r\n%s", len(longValue), i, longValue[:1000])
		readers[i] = bufio.NewReader(client)
		if head, err := readers[i].ReadString('\n'); head != fmt.Sprintf("VA %d O0%d\r\n", len(longValue), i) || err != nil {
			t.Fatalf("got %q, %v", head, err)
		}
	}
	w.runScenario(t, t.Name(), []string{"program close", `program wait * msg="answering what is open as failed" *`})
	fmt.Fprintf(calls[0].conn, "%s\r\n", longValue[1000:])
	value := make([]byte, len(longValue)+2)
	if n, err := io.ReadFull(readers[0], value); string(value) != longValue+"\r\n" {
		t.Errorf("%d of %d bytes of the first value came, then %v", n, len(value), err)
	}
	if err := w.program.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(readers[1]); string(rest) != longValue[:len(rest)] || len(rest) >= len(longValue) {
		t.Errorf("%d bytes of the second value came, %q at their end, then %v", len(rest), rest[max(0, len(rest)-9):], err)
	}
}
