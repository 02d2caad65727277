package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

const (
	answerGrace  = 500 * time.Millisecond // after the time of a request, for its answer (STANDING, "lost")
	socketSlack  = 50 * time.Millisecond  // by which each time limit is longer on sockets (PROTOCOL)
	slowLength   = 4 << 20                // of the values that arrive slowly
	quickLength  = 70_000                 // of the values that arrive at once
	shortTimeout = 1100 * time.Millisecond
	longTimeout  = 9 * time.Second
)

// serveWrites answers each PUT at the origin with the receipt "r" once its value has arrived.
func (w *environment) serveWrites() {
	go func() {
		for l := range w.actors["o"].lines {
			if strings.HasSuffix(l.text, endOfValue) {
				fmt.Fprint(l.conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr")
			}
		}
	}()
}

// endOfValue is what a value ends with, up to its line end, so that serveWrites knows that it is complete.
const endOfValue = "end-of-value"

// valueOfLength returns a value of a length that ends with a line of endOfValue.
func valueOfLength(length int) string {
	return strings.Repeat("a", length-len(endOfValue)-1) + endOfValue + "\n"
}

// slowWrites are writes of slowLength whose clients stop before they have sent the whole value.
type slowWrites struct {
	continued chan struct{} // closed when the clients go on
	answers   chan string
	count     int
}

// beginSlowWrites lets clients begin writes. Each of them stops when it has sent a number of bytes of its value.
func (w *environment) beginSlowWrites(t *testing.T, count, sent int) *slowWrites {
	t.Helper()
	s := &slowWrites{make(chan struct{}), make(chan string, count), count}
	value := valueOfLength(slowLength)
	for i := range count {
		conn := dial(t, w.actors["program"].addr)
		go func() {
			fmt.Fprintf(conn, "ms s%d %d Os%d Pc=cancel,d=9000,k=%016x\r\n%s", i, slowLength, i, i+1, value[:sent])
			<-s.continued
			io.WriteString(conn, value[sent:]+"\r\n")
			line, _ := bufio.NewReader(conn).ReadString('\n')
			s.answers <- line
		}()
	}
	return s
}

// finish lets the clients send the rest and checks that their writes are served.
func (s *slowWrites) finish(t *testing.T) {
	t.Helper()
	close(s.continued)
	for range s.count {
		if line := testprog.Await(t, s.answers, "answer to a slow write"); !strings.HasPrefix(line, "HD Os") {
			t.Errorf("a slow write got %q", line)
		}
	}
}

// writeAtOnce writes a value of quickLength and returns the answer. It checks that the answer comes in time.
func (w *environment) writeAtOnce(t *testing.T, timeout time.Duration) (answer string) {
	t.Helper()
	conn := dial(t, w.actors["program"].addr)
	fmt.Fprintf(conn, "ms k %d Oq Pc=cancel,d=%d,k=7\r\n%s\r\n", quickLength, timeout.Milliseconds(), valueOfLength(quickLength))
	arrived := time.Now()
	answers := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		answers <- line
	}()
	answer = testprog.Await(t, answers, "answer to the write that has arrived")
	if took := time.Since(arrived); took > timeout+answerGrace+socketSlack {
		t.Errorf("%q after %v, with a time of %v", answer, took, timeout)
	}
	return answer
}

// Guards against a long write that has arrived and is answered only when other clients, which write slowly and have filled the
// memory, have finished.
func TestLongWriteBehindSlowWrites(t *testing.T) {
	t.Parallel()
	w := startProgramWith(t, []string{"p1"}, "", `"memory_mb":192`, `"memory_mb":32`)
	w.serveWrites()
	slow := w.beginSlowWrites(t, 3, slowLength-1)
	if err := w.runStep("a1", "until", `/v1/metrics *"value_memory":{"capacity":8388608,"held":8388608,*`); err != nil {
		t.Fatal(err)
	}
	if answer := w.writeAtOnce(t, shortTimeout); !strings.HasPrefix(answer, "SERVER_ERROR busy") {
		t.Errorf("without memory: %q", answer)
	}
	if err := w.runStep("program", "wait", "*request refused*request=q*reason=*no memory for its value*"); err != nil {
		t.Error("the log does not tell why:", err)
	}
	slow.finish(t)
}

// Guards against long writes that are refused because clients that write slowly hold memory for what they have not sent yet.
func TestLongWriteIsServedBesideSlowWrites(t *testing.T) {
	t.Parallel()
	w := startProgramWith(t, []string{"p1"}, "", `"memory_mb":192`, `"memory_mb":32`)
	w.serveWrites()
	slow := w.beginSlowWrites(t, 3, slowLength/64)
	if err := w.runStep("a1", "until", `/v1/metrics *"value_memory":{"capacity":8388608,*`); err != nil {
		t.Fatal(err)
	}
	if answer := w.writeAtOnce(t, longTimeout); !strings.HasPrefix(answer, "HD Oq ") {
		t.Errorf("beside writes that have sent %d bytes each: %q", slowLength/64, answer)
	}
	slow.finish(t)
}
