package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"hoptiller"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/meta"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// until serves a request until its client has left, and tells of both.
type until struct{ came, left chan string }

func (u until) Serve(ctx context.Context, req *relay.Request) relay.Answer {
	u.came <- string(req.ID)
	<-ctx.Done()
	u.left <- string(req.ID)
	return relay.Answer{Kind: hoptiller.StepFail}
}

// Crossing: a client leaves while more of its commands have come than are taken at once, so that its close lies behind them, by
// closing or by the end of its sending alone. What was taken is given up, and nothing more is taken.
func TestLeavingBehindUnreadCommands(t *testing.T) {
	t.Parallel()
	const commands = 200
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed":         (*net.TCPConn).Close,
		"end of sending": (*net.TCPConn).CloseWrite,
		"reset":          func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			served := until{make(chan string, commands), make(chan string, commands)}
			connect := start(t, &Front{MostConns: 4, MostOpen: commands, Server: served})
			conn := connect().(*net.TCPConn)
			for i := range commands {
				fmt.Fprintf(conn, "mg k v O%d Pc=read,d=900\r\n", i)
			}
			for range readAhead {
				testprog.Await(t, served.came, "command that is taken at once")
			}
			if err := leave(conn); err != nil {
				t.Fatal(err)
			}
			for range readAhead {
				testprog.Await(t, served.left, "end of a command whose client has left")
			}
			other := connect() // what comes of the first one has come before this
			fmt.Fprint(other, "mn\r\n")
			if line, err := bufio.NewReader(other).ReadString('\n'); line != "MN\r\n" {
				t.Fatalf("got %q, %v", line, err)
			}
			if n := len(served.came); n > 0 {
				t.Errorf("%d more commands were taken", n)
			}
		})
	}
}

// Who waits behind commands of its own gets an answer to each, and no more of it is kept than is allowed for all.
func TestReadAheadIsBounded(t *testing.T) {
	t.Parallel()
	const commands = 5000 // far more than is kept
	hold := make(holder)
	f := &Front{MostConns: 4, MostOpen: 9, Server: hold}
	conn := start(t, f)()
	go func() {
		for i := range commands {
			fmt.Fprintf(conn, "mg k v O%d Pc=read,x=%s,d=900\r\n", i, strings.Repeat("x", 100))
		}
	}()
	testprog.Until(t, "as much is read ahead as is kept", func() bool { return f.ahead.Load() >= mostAheadOne })
	close(hold)
	r := bufio.NewReader(conn)
	for i := range commands {
		head, _ := r.ReadString('\n')
		if value, err := r.ReadString('\n'); head != fmt.Sprintf("VA 1 O%d\r\n", i) || err != nil {
			t.Fatalf("answer %d is %q %q, %v", i, head, value, err)
		}
	}
	conn.Close()
	testprog.Until(t, "nothing counts as kept", func() bool { return f.ahead.Load() == 0 })
}

// Crossing: a client has come, asked and left before any of it is read. Nothing is sent on for it.
func TestGoneBeforeItIsRead(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "mg k v O%d Pc=read,d=900\r\n", i)
		conn.Close()
	}
	served := until{make(chan string, 100), make(chan string, 100)}
	f := &Front{MostConns: 99, MostOpen: 99, Server: served, Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}}
	f.Life, f.Counts = lifecycle.New(), metrics.New(f.Classes)
	done := make(chan error, 1)
	ctx, end := context.WithCancel(t.Context())
	go func() { done <- f.Serve(ctx, l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testprog.Patience))
	fmt.Fprint(conn, "mn\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "MN\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	testprog.Until(t, "the others are done with", func() bool { return len(f.conns.all()) == 1 })
	if n := len(served.came); n > 0 {
		t.Errorf("%d requests of clients that had left were sent on", n)
	}
	end()
	testprog.Await(t, done, "end of the front")
}

// Crossing: the router ends a connection whose client has not read its last answer yet and sends more. The answer is whole, and
// the connection ends behind it; it is not reset.
func TestLastAnswerIsNotLost(t *testing.T) {
	t.Parallel()
	hold := make(holder)
	close(hold)
	f := &Front{MostConns: 4, MostOpen: 4, Server: hold}
	conn := start(t, f)().(*net.TCPConn)
	fmt.Fprint(conn, "mg k v O1 Pc=read,d=900\r\n")
	testprog.Until(t, "the connection rests after its answer", func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		return f.conns.lists[idle].Len() == 1
	})
	f.Life.Tell(lifecycle.Stop)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	testprog.Until(t, "the end has come", func() bool {
		const closeWait = 8 // the first byte of what the kernel tells of a connection
		state := 0
		raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
		return err != nil || state&0xff == closeWait
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // a reset would come for the first, and show at the next
		if _, err := fmt.Fprint(conn, "mg k v O2 Pc=read,d=900\r\n"); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
	}
	text, err := io.ReadAll(conn)
	if string(text) != "VA 1 O1\r\nx\r\n" || err != nil {
		t.Errorf("got %q, %v", text, err)
	}
}

// What is still open when the time after a stop is over is answered, as failed.
func TestOpenWhenTheTimeIsOver(t *testing.T) {
	t.Parallel()
	served := until{make(chan string, 9), make(chan string, 9)}
	f := &Front{MostConns: 4, MostOpen: 4, Keep: time.Hour, Last: 50 * time.Millisecond, Server: served}
	conn := start(t, f)()
	fmt.Fprint(conn, "mg k v O1 Pc=read,d=900\r\n")
	testprog.Await(t, served.came, "request")
	f.Life.Tell(lifecycle.Stop)
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "SERVER_ERROR failed\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	conn.Close()
	testprog.Await(t, served.left, "end of the request")
}

// Crossing: a client leaves while its long value, which has come whole, waits for room. It is not sent on.
func TestLeavingWhileWaitingForRoom(t *testing.T) {
	t.Parallel()
	served := until{make(chan string, 9), make(chan string, 9)}
	f := &Front{MostConns: 4, MostOpen: 4, Server: served}
	conn, sentNothing := startWaitingForRoom(t, f, served)
	fmt.Fprintf(conn, "%s\r\n", strings.Repeat("x", waitingLength))
	sentNothing()
}

// waitingLength is that of the value which waits in startWaitingForRoom, in bytes.
const waitingLength = 100 << 10

// startWaitingForRoom starts a front whose room for long values is taken, with a client that waits for some. sentNothing has the client
// leave, gives the room back, and checks that nothing was sent on and no room kept.
func startWaitingForRoom(t *testing.T, f *Front, served until) (conn net.Conn, sentNothing func()) {
	t.Helper()
	f.Room = semaphore.NewWeighted(meta.MaxLong)
	if !f.Room.TryAcquire(meta.MaxLong) {
		t.Fatal("no room")
	}
	conn = start(t, f)()
	fmt.Fprintf(conn, "ms k %d O1 Pc=read,d=900\r\n", waitingLength)
	testprog.Until(t, "the value waits for room", func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		return f.conns.lists[busy].Len() == 1
	})
	return conn, func() {
		t.Helper()
		conn.Close()
		f.Room.Release(meta.MaxLong)
		testprog.Until(t, "the connection is done with", func() bool { return len(f.conns.all()) == 0 })
		if n := len(served.came); n > 0 {
			t.Error("the request was sent on")
		}
		if !f.Room.TryAcquire(meta.MaxLong) {
			t.Error("its room was not given back")
		}
	}
}

// failingListener fails with each of these errors before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Crossing: accept fails for a moment, in each way that the system has. No place is lost by it, and the next client is served.
func TestAcceptFailsForAMoment(t *testing.T) {
	var errs []error
	for range 3 {
		errs = append(errs, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR)
	}
	f := &Front{MostConns: 2, MostOpen: 1, Server: &counter{}}
	connect := startOn(t, f, func(l net.Listener) net.Listener { return &failingListener{Listener: l, errs: errs} })
	for range 2 {
		conn := connect()
		fmt.Fprint(conn, "mg k v O1 Pc=read,d=900\r\n")
		if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "VA 1 O1\r\n" {
			t.Errorf("after %d failures: %q, %v", len(errs), line, err)
		}
	}
}
