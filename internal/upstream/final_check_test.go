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

// hookedProtocol is a Protocol that calls a function while a call is encoded.
type hookedProtocol struct {
	Meta
	onEncode func()
}

// AppendAttempt implements Protocol.
func (p hookedProtocol) AppendAttempt(b []byte, a *Attempt) (head []byte, tail string) {
	p.onEncode()
	return p.Meta.AppendAttempt(b, a)
}

// If the client disconnects while its call is encoded, for example because the process is paused there, no attempt is
// sent: the final check comes after the encoding.
func TestClientDisconnectsDuringEncoding(t *testing.T) {
	var disconnected atomic.Bool
	p := serve(t, holdOpen)
	p.protocol = hookedProtocol{onEncode: func() { disconnected.Store(true) }}
	sent := 0
	p.settings.AttemptSent = func() { sent++ }
	req := &relay.Request{Key: []byte("k"), ID: []byte("01"), Facts: []byte("c=read,d=9"), Disconnected: disconnected.Load}
	ctx, cancel := context.WithTimeout(t.Context(), testprog.WaitTimeout)
	defer cancel()
	if r := p.Call(ctx, ctx, 1, req); r.Status != hoptiller.NotSent || sent > 0 {
		t.Errorf("status %v, %d calls were sent", r.Status, sent)
	}
}

// If the client disconnects during the final check, for example because the process is paused in it, no attempt is
// sent: the check is repeated.
func TestClientDisconnectsDuringFinalCheck(t *testing.T) {
	p, c, server := idleConn(t)
	repeated := 0
	p.settings.CheckRepeated = func() { repeated++ }
	req := readRequest("01")
	disconnected := false
	req.Disconnected = func() bool {
		before := disconnected
		disconnected = true
		time.Sleep(10 * maxCheckAge)
		return before
	}
	sent, status := c.send(t.Context(), callContext(t), &pendingCall{req: req, result: make(chan relay.Result, 1)})
	if sent || status != hoptiller.NotSent || repeated != 1 {
		t.Errorf("sent %v, status %v, %d repeated checks", sent, status, repeated)
	}
	if p.mu.Lock(); c.load != 0 || len(c.pending) != 0 || c.closed {
		t.Errorf("connection with load %d and %d calls, closed %v", c.load, len(c.pending), c.closed)
	}
	p.mu.Unlock()
	expectNothing(t, server)
}

// A call is sent even if every check takes longer than maxCheckAge.
func TestSlowChecksEnd(t *testing.T) {
	p, c, server := idleConn(t)
	repeated := 0
	p.settings.CheckRepeated = func() { repeated++ }
	req := readRequest("01")
	req.Disconnected = func() bool {
		time.Sleep(2 * maxCheckAge)
		return false
	}
	sent, status := c.send(t.Context(), callContext(t), &pendingCall{req: req, result: make(chan relay.Result, 1)})
	if !sent || status != hoptiller.OK || repeated != maxChecks {
		t.Errorf("sent %v, status %v, %d repeated checks", sent, status, repeated)
	}
	if line, err := bufio.NewReader(server).ReadString('\n'); !strings.Contains(line, "O01") {
		t.Errorf("the server received %q, %v", line, err)
	}
}

// If the client disconnects while its call waits because the connection's send buffer is full of bytes that the
// server has not read, no attempt is sent.
func TestClientDisconnectsBehindFullSocket(t *testing.T) {
	p, c, server := idleConn(t)
	filled := fill(t, c.Conn)
	var disconnected atomic.Bool
	checked := make(chan struct{}, maxChecks)
	req := readRequest("01")
	req.Disconnected = func() bool {
		select {
		case checked <- struct{}{}:
		default:
		}
		return disconnected.Load()
	}
	type outcome struct {
		sent   bool
		status hoptiller.Status
	}
	ended := make(chan outcome, 1)
	go func() {
		sent, status := c.send(t.Context(), callContext(t), &pendingCall{req: req, result: make(chan relay.Result, 1)})
		ended <- outcome{sent, status}
	}()
	testprog.Await(t, checked, "first check")
	disconnected.Store(true)
	for drained := 0; drained < filled; {
		n, err := server.Read(make([]byte, 1<<16))
		if err != nil {
			t.Fatal(err)
		}
		drained += n
	}
	if end := testprog.Await(t, ended, "end of the call"); end.sent || end.status != hoptiller.NotSent {
		t.Errorf("sent %v, status %v", end.sent, end.status)
	}
	if p.mu.Lock(); c.load != 0 || len(c.pending) != 0 {
		t.Errorf("connection with load %d and %d calls", c.load, len(c.pending))
	}
	p.mu.Unlock()
	expectNothing(t, server)
}

// Guards against a call that waits to be written, behind a long one that its server reads slowly, until long after its own time.
func TestCallBehindSlowWriteEndsInTime(t *testing.T) {
	p, c, _ := idleConn(t)
	c.load++
	fill(t, c.Conn)
	firstCtx, endFirst := context.WithCancel(callContext(t))
	first := make(chan hoptiller.Status, 1)
	go func() {
		_, status := c.send(firstCtx, firstCtx, &pendingCall{req: readRequest("01"), result: make(chan relay.Result, 1)})
		first <- status
	}()
	until(t, p, "the first call is being written", func(*server) bool { return len(c.pending) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	second := make(chan hoptiller.Status, 1)
	go func() {
		_, status := c.send(ctx, ctx, &pendingCall{req: readRequest("02"), result: make(chan relay.Result, 1)})
		second <- status
	}()
	select {
	case status := <-first:
		t.Fatalf("the first call has ended with %v", status)
	case status := <-second:
		if status != hoptiller.ConnectFailed {
			t.Errorf("status %v", status)
		}
	case <-time.After(testprog.WaitTimeout / 3):
		t.Error("the call is still waiting, with a time of 30 ms")
	}
	endFirst()
	testprog.Await(t, first, "end of the first call")
	until(t, p, "no call is left", func(*server) bool { return c.load == 0 && len(c.pending) == 0 })
}

// callContext returns a context that leaves enough time for a call.
func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testprog.WaitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// fill writes to a connection until it accepts nothing more, and returns how many bytes it accepted.
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

// expectNothing checks that a server has received nothing.
func expectNothing(t *testing.T, server net.Conn) {
	t.Helper()
	server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := server.Read(make([]byte, 1)); n != 0 || !os.IsTimeout(err) {
		t.Errorf("the server received %d bytes, %v", n, err)
	}
}
