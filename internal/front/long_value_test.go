package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
	"hoptiller/internal/valuemem"
)

// longValueServer sends the id and the long value of each request to arrived and answers it with the next text from replies.
type longValueServer struct{ arrived, replies chan string }

func (s longValueServer) Serve(ctx context.Context, req *relay.Request) relay.Answer {
	value := ""
	for _, part := range req.LongValue.Parts(nil) {
		value += string(part)
	}
	s.arrived <- string(req.ID) + " " + value
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte(<-s.replies)}
}

// Long values are held in memory up to a bound. The next one waits in the network until the one before is answered, and then
// arrives completely. Other requests are not delayed meanwhile.
func TestLongValueMemoryIsBounded(t *testing.T) {
	server := longValueServer{make(chan string, 2), make(chan string)}
	f := &Front{MaxConns: 9, MaxOpenRequests: 9, ValueMemory: valuemem.New(meta.MaxLongValue), Server: server}
	connect := start(t, f)
	first, second, other := connect(), connect(), connect()
	value := strings.Repeat("a", meta.MaxLongValue)
	send := func(conn io.Writer, id int) {
		fmt.Fprintf(conn, "ms k %d O%d Pc=read,d=60000\r\n%s\r\n", len(value), id, value)
	}
	send(first, 1)
	if got := testprog.Await(t, server.arrived, "request"); got != "1 "+value {
		t.Fatalf("%.9q of %d bytes", got, len(got))
	}
	go send(second, 2)
	testprog.Eventually(t, "a connection that waits for memory counts as busy", func() bool { // so it is not evicted
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		return f.conns.lists[busy].Len() == 2
	})
	fmt.Fprint(other, "mn\r\n")
	if line, err := bufio.NewReader(other).ReadString('\n'); line != "MN\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	select {
	case got := <-server.arrived:
		t.Errorf("%.9q is held in memory as well", got)
	default:
	}
	testprog.Send(t, server.replies, "c1", "reply text")
	if line, err := bufio.NewReader(first).ReadString('\n'); line != "HD O1 cc1\r\n" {
		t.Errorf("%q, %v", line, err)
	}
	if got := testprog.Await(t, server.arrived, "request"); got != "2 "+value {
		t.Fatalf("%.9q of %d bytes", got, len(got))
	}
	testprog.Send(t, server.replies, "c2", "reply text")
	if line, err := bufio.NewReader(second).ReadString('\n'); line != "HD O2 cc2\r\n" {
		t.Errorf("%q, %v", line, err)
	}
}

// A client that disconnects in the middle of a long value, or ends it wrongly, frees its memory and its request id.
func TestIncompleteLongValue(t *testing.T) {
	server := longValueServer{make(chan string, 2), make(chan string, 2)}
	f := &Front{MaxConns: 9, MaxOpenRequests: 9, ValueMemory: valuemem.New(meta.MaxLongValue), Server: server}
	connect := start(t, f)
	value := strings.Repeat("a", meta.MaxLongValue)
	head := fmt.Sprintf("ms k %d O1 Pc=read,d=900\r\n", len(value))
	for range 3 {
		half := connect()
		fmt.Fprint(half, head+value[:99999])
		half.Close()
	}
	bad := connect()
	fmt.Fprint(bad, head+value+"xx")
	server.replies <- "c1"
	testprog.Eventually(t, "the id of the last client that disconnected is free", func() bool {
		conn := connect()
		io.WriteString(conn, head+value+"\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "HD O1 cc1\r\n"
	})
	if got := testprog.Await(t, server.arrived, "request"); got != "1 "+value {
		t.Errorf("%.9q of %d bytes", got, len(got))
	}
}

// Each piece of a value has six seconds to arrive, and apart from the first six seconds the value must keep a minimum rate.
func TestNextPieceDeadline(t *testing.T) {
	begun, late := time.Now(), 5*time.Second
	for received, want := range map[int]time.Duration{5: pieceTimeout, minRate: pieceTimeout + time.Second,
		meta.MaxLongValue: late + pieceTimeout} {
		if deadline := nextPieceDeadline(begun, begun.Add(late), received, pieceTimeout).Sub(begun).Round(time.Millisecond); deadline != want {
			t.Errorf("%d bytes after %v: %v, want %v", received, late, deadline, want)
		}
	}
}

// Race: a client's long value waits for memory when FailOpenAfter has passed since a stop. The request is answered as failed and
// never passed on.
func TestWaitingForMemoryWhenShutdownExpires(t *testing.T) {
	t.Parallel()
	server := disconnectServer{make(chan string, 9), make(chan string, 9)}
	f := &Front{MaxConns: 4, MaxOpenRequests: 4, ServeDuration: time.Hour, FailOpenAfter: 50 * time.Millisecond, Server: server}
	conn, checkNotSent := startWaitingForMemory(t, f, server)
	f.Lifecycle.Apply(lifecycle.Stop)
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "SERVER_ERROR failed\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	checkNotSent()
}

// acquireAll acquires all memory of a budget for long values.
func acquireAll(t *testing.T, budget *valuemem.Budget) *valuemem.Claim {
	t.Helper()
	all := budget.NewClaim("other", meta.MaxLongValue)
	ctx, cancel := context.WithTimeout(t.Context(), testprog.WaitTimeout)
	defer cancel()
	if _, err := all.Acquire(ctx, meta.MaxLongValue); err != nil {
		t.Fatal("memory for long values is held:", err)
	}
	return all
}

// answerGrace is how long after its time a request may be answered (STANDING, "lost").
const answerGrace = 500 * time.Millisecond

// Guards against a long write that waits unread for memory, which other clients hold, until long after its time. It is rejected
// in its time, whether or not its value has arrived, and the commands behind it are answered.
func TestLongWriteIsAnsweredInTimeWithoutMemory(t *testing.T) {
	t.Parallel()
	const timeout = 600 * time.Millisecond
	for name, sentAtOnce := range map[string]int{"arrived": waitingLength, "arriving": waitingLength / 2, "only its command line": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := longValueServer{make(chan string, 1), make(chan string, 1)}
			f := &Front{MaxConns: 9, MaxOpenRequests: 9, ValueMemory: valuemem.New(meta.MaxLongValue), Server: server,
				RetryAfter: []time.Duration{70 * time.Millisecond}}
			held := acquireAll(t, f.ValueMemory)
			conn := start(t, f)()
			value := strings.Repeat("a", waitingLength)
			fmt.Fprintf(conn, "ms k %d O1 Pc=read,d=%d\r\n%s", waitingLength, timeout.Milliseconds(), value[:sentAtOnce])
			if sentAtOnce < waitingLength {
				testprog.Eventually(t, "the wait for memory is over", func() bool { return f.ValueMemory.Summary().GivenUp == 1 })
			}
			io.WriteString(conn, value[sentAtOnce:]+"\r\nmn\r\n")
			arrived := time.Now()
			answers := bufio.NewReader(conn)
			if line, err := answers.ReadString('\n'); line != "SERVER_ERROR busy 70\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
			if took := time.Since(arrived); took > timeout+answerGrace {
				t.Errorf("answered after %v, with a time of %v", took, timeout)
			}
			if line, err := answers.ReadString('\n'); line != "MN\r\n" {
				t.Errorf("behind it: %q, %v", line, err)
			}
			if n := len(server.arrived); n > 0 {
				t.Error("the rejected request was passed on")
			}
			if s := f.Counts.Snapshot(); s.Downstream["read"].Rejected != 1 || s.Pending != 0 {
				t.Errorf("%+v", s)
			}
			held.Release()
			fmt.Fprintf(conn, "ms k %d O1 Pc=read,d=9000\r\n%s\r\n", waitingLength, value) // its ID is free again
			testprog.Send(t, server.replies, "c1", "reply text")
			if line, err := answers.ReadString('\n'); line != "HD O1 cc1\r\n" {
				t.Errorf("once memory is free: %q, %v", line, err)
			}
			testprog.Eventually(t, "no memory is held", func() bool { return f.ValueMemory.Summary().Held == 0 })
		})
	}
}

// pieceBody is a long value of two pieces of one byte, of which the second comes later than the first.
type pieceBody struct{ holdsMemory bool }

const pieceDelay = 30 * time.Millisecond

func (b pieceBody) Len() int          { return 2 }
func (b pieceBody) HoldsMemory() bool { return b.holdsMemory }
func (b pieceBody) Close()            {}
func (b pieceBody) Copy(write func(piece []byte) error) error {
	if err := write([]byte("a")); err != nil {
		return err
	}
	<-time.After(pieceDelay)
	return write([]byte("b"))
}

// bodyServer answers each request with a body.
type bodyServer struct{ body relay.Body }

func (s bodyServer) Serve(context.Context, *relay.Request) relay.Answer {
	return relay.Answer{Kind: hoptiller.StepServed, Body: s.body}
}

// deadlineListener passes the write deadlines of the connections that it accepts to deadlines.
type deadlineListener struct {
	net.Listener
	deadlines chan time.Time
}

// deadlineConn is a connection that passes its write deadlines to deadlines.
type deadlineConn struct {
	*net.TCPConn
	deadlines chan time.Time
}

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{conn.(*net.TCPConn), l.deadlines}, nil
}

func (c deadlineConn) SetWriteDeadline(deadline time.Time) error {
	c.deadlines <- deadline
	return c.TCPConn.SetWriteDeadline(deadline)
}

// Guards against a client that reads a value a byte now and then and holds its memory for most of an hour: such a client must keep
// minRate, while one whose value holds no memory may read as slowly as it likes, if only it reads on.
func TestSlowReaderOfHeldValueMustKeepMinRate(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]pieceBody{"held": {true}, "streamed": {false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deadlines := make(chan time.Time, 99)
			f := &Front{MaxConns: 9, MaxOpenRequests: 9, Server: bodyServer{body}}
			conn := startWithListener(t, f, func(l net.Listener) net.Listener { return deadlineListener{l, deadlines} })()
			fmt.Fprint(conn, "mg k v O1 Pc=read,d=900\r\n")
			answer := make([]byte, len("VA 2 O1\r\nab\r\n"))
			if _, err := io.ReadFull(conn, answer); string(answer) != "VA 2 O1\r\nab\r\n" {
				t.Fatalf("%q, %v", answer, err)
			}
			<-deadlines // of the head
			first := testprog.Await(t, deadlines, "deadline of the first piece")
			second := testprog.Await(t, deadlines, "deadline of the second piece")
			if extended := second.Sub(first) >= pieceDelay; extended == body.holdsMemory {
				t.Errorf("a byte extends the deadline by %v", second.Sub(first))
			}
		})
	}
}
