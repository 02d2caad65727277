package upstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// preparing is a Protocol that does something while a call is prepared.
type preparing struct {
	Meta
	during func()
}

// Append implements Protocol.
func (p preparing) Append(b []byte, a *Attempt) (head []byte, tail string) {
	p.during()
	return p.Meta.Append(b, a)
}

// A client that leaves while its call is prepared, as where the process is held up there, gets no attempt: the last look comes after that.
func TestClientLeavesWhileItsCallIsPrepared(t *testing.T) {
	var left atomic.Bool
	p := serve(t, hold)
	p.proto = preparing{during: func() { left.Store(true) }}
	sent := 0
	p.set.Called = func() { sent++ }
	req := &relay.Request{Key: []byte("k"), ID: []byte("01"), Facts: []byte("c=read,d=9"), Gone: left.Load}
	ctx, cancel := context.WithTimeout(t.Context(), testprog.Patience)
	defer cancel()
	if r := p.Call(ctx, ctx, 1, req); r.Status != hoptiller.Moot || sent > 0 {
		t.Errorf("status %v, %d calls were sent", r.Status, sent)
	}
}

// A client that leaves while the last look goes on, as where the process is held up in it, gets no attempt: it is looked at again.
func TestClientLeavesDuringTheLastLook(t *testing.T) {
	p, c, server := resting(t)
	again := 0
	p.set.LookedAgain = func() { again++ }
	req := named("01")
	left := false
	req.Gone = func() bool {
		was := left
		left = true
		time.Sleep(10 * mostLookAge)
		return was
	}
	sent, status := c.send(t.Context(), withTime(t), &call{req: req, done: make(chan relay.Result, 1)})
	if sent || status != hoptiller.Moot || again != 1 {
		t.Errorf("sent %v, status %v, looked again %d times", sent, status, again)
	}
	if p.mu.Lock(); c.load != 0 || len(c.calls) != 0 || c.dead {
		t.Errorf("connection with load %d and %d calls, dead %v", c.load, len(c.calls), c.dead)
	}
	p.mu.Unlock()
	expectNothing(t, server)
}

// Where every look takes longer than it may be old, a call is sent all the same.
func TestSlowLooksEnd(t *testing.T) {
	p, c, server := resting(t)
	again := 0
	p.set.LookedAgain = func() { again++ }
	req := named("01")
	req.Gone = func() bool {
		time.Sleep(2 * mostLookAge)
		return false
	}
	sent, status := c.send(t.Context(), withTime(t), &call{req: req, done: make(chan relay.Result, 1)})
	if !sent || status != hoptiller.OK || again != mostLooks {
		t.Errorf("sent %v, status %v, looked again %d times", sent, status, again)
	}
	if line, err := bufio.NewReader(server).ReadString('\n'); !strings.Contains(line, "O01") {
		t.Errorf("the server got %q, %v", line, err)
	}
}

// A client that leaves while its call waits for room on the connection, behind what the server has not read, gets no attempt.
func TestClientLeavesWhileItsCallWaitsForTheSocket(t *testing.T) {
	p, c, server := resting(t)
	filled := fill(t, c.Conn)
	var left atomic.Bool
	looked := make(chan struct{}, mostLooks)
	req := named("01")
	req.Gone = func() bool {
		select {
		case looked <- struct{}{}:
		default:
		}
		return left.Load()
	}
	type ending struct {
		sent   bool
		status hoptiller.Status
	}
	ended := make(chan ending, 1)
	go func() {
		sent, status := c.send(t.Context(), withTime(t), &call{req: req, done: make(chan relay.Result, 1)})
		ended <- ending{sent, status}
	}()
	testprog.Await(t, looked, "first look")
	left.Store(true)
	for got := 0; got < filled; {
		n, err := server.Read(make([]byte, 1<<16))
		if err != nil {
			t.Fatal(err)
		}
		got += n
	}
	if end := testprog.Await(t, ended, "the call's end"); end.sent || end.status != hoptiller.Moot {
		t.Errorf("sent %v, status %v", end.sent, end.status)
	}
	if p.mu.Lock(); c.load != 0 || len(c.calls) != 0 {
		t.Errorf("connection with load %d and %d calls", c.load, len(c.calls))
	}
	p.mu.Unlock()
	expectNothing(t, server)
}

// withTime is a context with time left for a call.
func withTime(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testprog.Patience)
	t.Cleanup(cancel)
	return ctx
}

// fill writes to a connection until it takes nothing more, and tells how much it took.
func fill(t *testing.T, conn net.Conn) (n int) {
	t.Helper()
	defer conn.SetWriteDeadline(time.Time{})
	for _, size := range []int{1 << 16, 1 << 8, 1} {
		for piece := make([]byte, size); ; {
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			written, err := conn.Write(piece)
			n += written
			if os.IsTimeout(err) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	return n
}

// expectNothing checks that a server has been sent nothing.
func expectNothing(t *testing.T, server net.Conn) {
	t.Helper()
	server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := server.Read(make([]byte, 1)); n != 0 || !os.IsTimeout(err) {
		t.Errorf("the server got %d bytes, %v", n, err)
	}
}
