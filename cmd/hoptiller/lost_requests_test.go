package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// longValue is a value that is passed on as it comes.
var longValue = strings.Repeat("x", 100_000)

// A cache server comes back on its address, and the router has a connection to the new process before the list tells of it. The long
// answer that comes on that connection is given to its client whole.
func TestLongAnswerOutlivesNewsOfItsServer(t *testing.T) {
	t.Parallel()
	w := start(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=read,d=9000\r\n")
	call := w.attemptAt(t, "p1", "mg k1 *")
	fmt.Fprintf(call.conn, "VA %d O01\r\n%s", len(longValue), longValue[:1000])
	r := bufio.NewReader(client)
	if head, err := r.ReadString('\n'); head != fmt.Sprintf("VA %d O01\r\n", len(longValue)) || err != nil {
		t.Fatalf("got %q, %v", head, err)
	}
	w.play(t, t.Name(), []string{
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

// The same where discovery's clock is an hour ahead of the router's, or was set forward meanwhile: a call that waits for its answer on a
// connection to the new process is answered, and not broken off by news of a start that seems to lie in the future.
func TestCallOutlivesNewsByAnotherClock(t *testing.T) {
	t.Parallel()
	w := start(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=book,d=9000\r\n")
	call := w.attemptAt(t, "p1", "mg k1 *")
	w.play(t, t.Name(), []string{
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

// startHasty starts the program in a world in which no client waits long, so that a shutdown soon ends, and no answer counts as late: no
// attempt that is silent meanwhile is repeated.
func startHasty(t *testing.T) *world {
	from, to := `"deadline":9000000`, fmt.Sprintf(`"deadline":%d`, shortDeadline.Microseconds())
	return startWith(t, []string{"p1"}, "", from, to, from, to, from, to)
}

// At the end of a shutdown what is open is answered as failed. Whatever has been read by then is answered, and nothing is sent on any
// more.
func TestEndOfAShutdown(t *testing.T) {
	t.Parallel()
	t.Run("no attempt after the answer", noAttemptAfterTheAnswer)
	t.Run("every command that was read is answered", everyCommandIsAnswered)
}

// The attempt that is out ends when its request has been answered, in a way after which there would be another one.
func noAttemptAfterTheAnswer(t *testing.T) {
	t.Parallel()
	w := startHasty(t)
	client := dial(t, w.actors["program"].addr)
	fmt.Fprint(client, "mg k1 v O01 Pc=read,d=9000\r\n")
	call := w.attemptAt(t, "p1", "mg k1 *")
	w.play(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	if line, err := bufio.NewReader(client).ReadString('\n'); !strings.HasPrefix(line, "SERVER_ERROR") {
		t.Fatalf("got %q, %v", line, err)
	}
	answered := time.Now()
	fmt.Fprint(call.conn, "EN O01\r\n") // after a miss the origin is asked
	w.play(t, t.Name(), []string{"program expect 0"})
	for _, text := range w.linesOf("o") {
		if strings.HasPrefix(text, "GET /k1 ") {
			t.Errorf("%q came after the answer, within %v", text, time.Since(answered))
		}
	}
}

// A client has sent more commands than are begun at once.
func everyCommandIsAnswered(t *testing.T) {
	t.Parallel()
	const begun, commands = 16, 20
	w := startHasty(t)
	client := dial(t, w.actors["program"].addr)
	var all strings.Builder
	for i := range commands {
		fmt.Fprintf(&all, "mg k%02d v O%02d Pc=read,d=9000\r\n", i, i)
	}
	fmt.Fprint(client, all.String())
	for range begun {
		w.attemptAt(t, "p1", "mg *")
	}
	w.play(t, t.Name(), []string{"program close", "program wait * msg=stopping*"})
	r := bufio.NewReader(client)
	for i := range commands {
		if line, err := r.ReadString('\n'); !strings.HasPrefix(line, "SERVER_ERROR") {
			t.Fatalf("answer %d is %q, %v", i, line, err)
		}
	}
	w.play(t, t.Name(), []string{"program expect 0"})
	for _, text := range w.linesOf("p1") {
		if strings.HasPrefix(text, "mg ") {
			t.Errorf("%q was sent on when the shutdown had ended", text)
		}
	}
}

// linesOf takes the lines that have come at a server and were not read yet, up to the end of a connection, if one was opened. It is for
// when the program has ended, and every connection with it.
func (w *world) linesOf(server string) (lines []string) {
	for len(w.actors[server].lines) > 0 {
		lines = append(lines, (<-w.actors[server].lines).text)
	}
	return lines
}

// Long answers have begun when a shutdown answers all that is open. One whose server goes on ends whole, and one that SIGKILL cuts off
// has no end that a client could take for its own.
func TestLongAnswersAtTheKill(t *testing.T) {
	t.Parallel()
	w := startHasty(t)
	readers := make([]*bufio.Reader, 2)
	calls := make([]attempt, 2)
	for i := range readers {
		client := dial(t, w.actors["program"].addr)
		fmt.Fprintf(client, "mg k%d v O0%d Pc=read,d=9000\r\n", i, i)
		calls[i] = w.attemptAt(t, "p1", fmt.Sprintf("mg k%d *", i))
		fmt.Fprintf(calls[i].conn, "VA %d O0%d\r\n%s", len(longValue), i, longValue[:1000])
		readers[i] = bufio.NewReader(client)
		if head, err := readers[i].ReadString('\n'); head != fmt.Sprintf("VA %d O0%d\r\n", len(longValue), i) || err != nil {
			t.Fatalf("got %q, %v", head, err)
		}
	}
	w.play(t, t.Name(), []string{"program close", `program wait * msg="answering what is open as failed" *`})
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
