package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// readLines returns the lines that arrive on the connections of a listener, and "closed" at the end of each
// connection. It answers none.
func readLines(l net.Listener) <-chan string {
	received := make(chan string, 100)
	testprog.Accept(l, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for text, err := r.ReadString('\n'); err == nil; text, err = r.ReadString('\n') {
			received <- text
		}
		received <- "closed"
	})
	return received
}

// lateServer returns a pool that knows one server, to which connections are established only once listen is called.
func lateServer(t *testing.T) (p *Pool, listen func() net.Listener) {
	addr, listen := testprog.ListenWithFullQueue(t)
	p = New(Settings{CallsPerConn: 4, MaxConnsPerServer: 4, MaxCallsPerConn: 100, ConnectTimeout: 20 * time.Second}, Meta{})
	p.Update(listEntry(addr, hoptiller.Ready), false)
	t.Cleanup(p.Close)
	return p, listen
}

// readRequest returns a read request with the given ID.
func readRequest(id string) *relay.Request {
	return &relay.Request{Key: []byte("k"), ID: []byte(id), Facts: []byte("c=read")}
}

// A race: the client disconnects, or the retry window closes, while the connection to the server is still being
// opened. The call ends at once and is never written. The connection is opened all the same, and the next call uses
// it.
func TestDialOutlivesItsCall(t *testing.T) {
	t.Parallel()
	errRetryWindow := errors.New("window")
	for name, newContext := range map[string]func() (context.Context, context.CancelFunc){
		"client disconnects": func() (context.Context, context.CancelFunc) { return context.WithCancel(t.Context()) },
		"retry window closes": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancelCause(t.Context())
			return ctx, func() { cancel(errRetryWindow) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, listen := lateServer(t)
			sendCtx, cancelSend := newContext()
			result := make(chan relay.Result, 1)
			go func() { result <- p.Call(sendCtx, t.Context(), 1, readRequest("01")) }()
			until(t, p, "a connection is being opened", func(s *server) bool { return s.dialing == 1 })
			cancelSend()
			if r := testprog.Await(t, result, "end of the call"); r.Status != hoptiller.NotSent {
				t.Errorf("the call ended with status %d", r.Status)
			}
			received := readLines(listen())
			until(t, p, "the connection is open and idle", func(s *server) bool { return len(s.conns) == 1 && s.conns[0].load == 0 })
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go p.Call(ctx, ctx, 1, readRequest("02"))
			for text := range received {
				if text == "closed" { // a connection that had filled the listener's queue
					continue
				}
				if text != "mg k v O02 Pc=read\r\n" {
					t.Errorf("the first line is %q", text)
				}
				break
			}
		})
	}
}

// sentCall returns a call that has just been sent.
func sentCall(id string) *pendingCall {
	call := &pendingCall{req: readRequest(id), result: make(chan relay.Result, 1), sentAt: time.Now()}
	call.begun.Store(true)
	return call
}

// idleConn returns a pool with one connection on which a call has been answered and that no goroutine reads, and the
// server's side of that connection.
func idleConn(t *testing.T) (p *Pool, c *conn, server net.Conn) {
	l := testprog.Listen(t)
	p = New(Settings{CallsPerConn: 4, MaxConnsPerServer: 4, MaxCallsPerConn: 100, ConnectTimeout: time.Second}, Meta{})
	t.Cleanup(p.Close)
	p.Update(listEntry(l.Addr().String(), hoptiller.Ready), false)
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	server.SetDeadline(time.Now().Add(testprog.WaitTimeout))
	reader, err := buffer.NewReader(nc)
	if err != nil {
		t.Fatal(err)
	}
	s := p.servers[1]
	c = &conn{Conn: nc, pool: p, server: s, reader: reader, answered: true, writeTurn: make(chan struct{}, 1), load: 1}
	p.connCount, s.conns = 1, []*conn{c}
	return p, c, server
}

// A race: the peer closes or resets an idle connection, or sends half a line on it, just when a call is about to be
// written. Nothing is written, and the call may use another connection.
func TestIdleConnectionEnds(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"half a line": func(c *net.TCPConn) error { _, err := c.Write([]byte("EN O0")); return err },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c, server := idleConn(t)
			if err := disturb(server.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			testprog.Eventually(t, "the end or the bytes have arrived", func() bool { return !c.reader.Quiet() })
			sent, status := c.send(t.Context(), t.Context(), &pendingCall{req: readRequest("01"), result: make(chan relay.Result, 1)})
			if sent || status != hoptiller.OK || !c.closed || p.connCount != 0 {
				t.Errorf("sent %v, status %d, closed %v, %d connections", sent, status, c.closed, p.connCount)
			}
			if n, err := server.Read(make([]byte, 100)); n > 0 {
				t.Errorf("the server received %d bytes, %v", n, err)
			}
		})
	}
}

// A race: a second answer is read from a connection just before the next call is written to it. It does not belong to
// that call, which may have run.
func TestAnswerReadBeforeItsCall(t *testing.T) {
	t.Parallel()
	p, c, server := idleConn(t)
	p.mu.Lock()
	go c.readLoop()
	if _, err := server.Write([]byte("EN O01\r\n")); err != nil {
		t.Fatal(err)
	}
	// After that readLoop waits for p.mu. Until then the final check sees the bytes.
	testprog.Eventually(t, "the answer has been read", func() bool {
		return !c.reader.Quiet() && !c.reader.MoreArrived()
	})
	call := sentCall("01")
	c.pending = append(c.pending, call)
	p.mu.Unlock()
	if r := testprog.Await(t, call.result, "end of the call"); r.Status != hoptiller.Reset {
		t.Errorf("the call ended with status %d", r.Status)
	}
}

// If all of a call's time passes without a connection, the server is to blame.
func TestNoConnectionInTime(t *testing.T) {
	t.Parallel()
	p, _ := lateServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := p.Call(ctx, ctx, 1, exampleRead); r.Status != hoptiller.ConnectFailed {
		t.Errorf("the call ended with status %d", r.Status)
	}
}

// A race: the client disconnects, or discovery lists the server as draining, when the call has its connection and
// waits there for another call to be written.
func TestFinalCheck(t *testing.T) {
	t.Parallel()
	for name, drains := range map[string]bool{"client disconnects": false, "server drains": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := testprog.Listen(t)
			received := readLines(l)
			p := New(Settings{CallsPerConn: 4, MaxConnsPerServer: 1, MaxCallsPerConn: 100, ConnectTimeout: time.Second}, Meta{})
			t.Cleanup(p.Close)
			p.Update(listEntry(l.Addr().String(), hoptiller.Ready), false)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go p.Call(ctx, ctx, 1, readRequest("01"))
			testprog.Await(t, received, "first call")
			var c *conn
			until(t, p, "the first call is in flight", func(s *server) bool { c = s.conns[0]; return c.load == 1 })
			c.writeTurn <- struct{}{} // as another call does while it is written
			sendCtx, disconnect := context.WithCancel(t.Context())
			result := make(chan relay.Result, 1)
			go func() { result <- p.Call(sendCtx, ctx, 1, readRequest("02")) }()
			until(t, p, "the second call has its connection", func(s *server) bool { return c.load == 2 })
			defer disconnect()
			if drains {
				p.Update(listEntry(l.Addr().String(), hoptiller.Draining), false)
			} else {
				disconnect()
			}
			c.endWriteTurn()
			if r := testprog.Await(t, result, "end of the call"); r.Status != hoptiller.NotSent {
				t.Errorf("the call ended with status %d", r.Status)
			}
			stop()
			if text := testprog.Await(t, received, "end of the connection"); text != "closed" {
				t.Errorf("the server received %q", text)
			}
		})
	}
}

// A race: a call's ctx ends while the call's last byte is written, so that the end of the ctx may still set the
// connection's write deadline when the next call is written. The connection takes no more calls, but a call that
// waits for its answer still gets it.
func TestWriteDeadlineOfEndedCall(t *testing.T) {
	t.Parallel()
	p, c, _ := idleConn(t)
	c.load = 2
	waiting := sentCall("01")
	c.pending = []*pendingCall{waiting}
	c.afterWrite(true)
	if c.closeWhenUnused {
		t.Error("a call that was written in time closes its connection")
	}
	c.afterWrite(false)
	sent, status := c.send(t.Context(), t.Context(), &pendingCall{req: readRequest("02"), result: make(chan relay.Result, 1)})
	if sent || status != hoptiller.OK || c.closed {
		t.Errorf("another call: sent %v, status %d, connection closed %v", sent, status, c.closed)
	}
	p.mu.Lock()
	c.pending = nil
	c.release()
	p.mu.Unlock()
	if !c.closed {
		t.Error("the connection is still open after its last call was answered")
	}
}

// expiringContext is a context whose deadline passes right after it was checked for the first time.
type expiringContext struct {
	context.Context
	checks int
}

func (c *expiringContext) Deadline() (time.Time, bool) {
	if c.checks++; c.checks == 1 {
		return time.Now().Add(time.Hour), true
	}
	return time.Now().Add(-time.Hour), true
}

// A race: a call's time runs out between the final check and the call's first byte. Nothing of the call is written,
// and the other calls on the connection continue.
func TestDeadlineBeforeFirstByte(t *testing.T) {
	t.Parallel()
	p, c, _ := idleConn(t)
	waiting := sentCall("01")
	p.mu.Lock()
	c.load, c.pending = 2, []*pendingCall{waiting}
	p.mu.Unlock()
	sendCtx := &expiringContext{Context: t.Context()}
	sent, status := c.send(sendCtx, t.Context(), &pendingCall{req: readRequest("02"), result: make(chan relay.Result, 1)})
	if sent || status == hoptiller.OK || sendCtx.checks < 2 {
		t.Errorf("sent %v, status %d, after %d checks", sent, status, sendCtx.checks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed || len(c.pending) != 1 || c.pending[0] != waiting || len(waiting.result) > 0 {
		t.Errorf("connection closed %v, %d calls on it, %d ended", c.closed, len(c.pending), len(waiting.result))
	}
}

// A race: the connection of a long value ends between the value's head and the moment when the value is delivered.
// The call ends at once, and not at its deadline.
func TestLongValueOnEndedConnection(t *testing.T) {
	t.Parallel()
	p, c, _ := idleConn(t)
	call := sentCall("01")
	body := &streamBody{conn: c, call: call, ended: make(chan struct{})}
	p.mu.Lock()
	c.stream = body
	p.closeConn(c, hoptiller.Reset, CloseServerEnded)
	p.mu.Unlock()
	if body.deliver() {
		t.Error("the closed connection counts as readable")
	}
	select {
	case r := <-call.result:
		if r.Status != hoptiller.Cancelled || r.Body != nil {
			t.Errorf("the call ended with status %d and body %v", r.Status, r.Body)
		}
	default:
		t.Error("the call has not ended")
	}
}
