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

// lines hands over each line that comes on a listener's connections, and answers none.
func lines(l net.Listener) <-chan string {
	came := make(chan string, 100)
	testprog.Accept(l, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for text, err := r.ReadString('\n'); err == nil; text, err = r.ReadString('\n') {
			came <- text
		}
		came <- "closed"
	})
	return came
}

// late makes a pool that knows one server, to which a connection comes up only once listen is called.
func late(t *testing.T) (p *Pool, listen func() net.Listener) {
	addr, listen := testprog.Late(t)
	p = New(Settings{Share: 4, MostConns: 4, MostCalls: 100, ConnectTimeout: 20 * time.Second}, Meta{})
	p.Update(entry(addr, hoptiller.Ready), false)
	t.Cleanup(p.Close)
	return p, listen
}

// named is a read that can be told from others.
func named(id string) *relay.Request {
	return &relay.Request{Key: []byte("k"), ID: []byte(id), Facts: []byte("c=read")}
}

// Crossing: a client leaves, or the window for its repeat closes, while the connection to the server is still coming up. The
// call ends at once and is never written. The connection comes up all the same, and the next call goes out on it.
func TestDialOutlivesItsCall(t *testing.T) {
	t.Parallel()
	errWindow := errors.New("window")
	for name, end := range map[string]func() (context.Context, context.CancelFunc){
		"client leaves": func() (context.Context, context.CancelFunc) { return context.WithCancel(t.Context()) },
		"window closes": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancelCause(t.Context())
			return ctx, func() { cancel(errWindow) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, listen := late(t)
			begin, leave := end()
			given := make(chan relay.Result, 1)
			go func() { given <- p.Call(begin, t.Context(), 1, named("01")) }()
			until(t, p, "a connection is coming up", func(s *server) bool { return s.dialing == 1 })
			leave()
			if r := testprog.Await(t, given, "end of the call"); r.Status != hoptiller.Moot {
				t.Errorf("the call ends as %d", r.Status)
			}
			came := lines(listen())
			until(t, p, "the connection is up and idle", func(s *server) bool { return len(s.conns) == 1 && s.conns[0].load == 0 })
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go p.Call(ctx, ctx, 1, named("02"))
			for text := range came {
				if text == "closed" { // what had filled the queue
					continue
				}
				if text != "mg k v O02 Pc=read\r\n" {
					t.Errorf("first came %q", text)
				}
				break
			}
		})
	}
}

// resting makes a pool with one connection on which a call has had its answer, and which nobody reads. The server's side of it
// is handed over as well.
func resting(t *testing.T) (p *Pool, c *conn, server net.Conn) {
	l := testprog.Listen(t)
	p = New(Settings{Share: 4, MostConns: 4, MostCalls: 100, ConnectTimeout: time.Second}, Meta{})
	t.Cleanup(p.Close)
	p.Update(entry(l.Addr().String(), hoptiller.Ready), false)
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	server.SetDeadline(time.Now().Add(testprog.Patience))
	reader, err := buffer.NewReader(nc)
	if err != nil {
		t.Fatal(err)
	}
	s := p.servers[1]
	c = &conn{Conn: nc, pool: p, server: s, reader: reader, useful: true, load: 1}
	p.total, s.conns = 1, []*conn{c}
	return p, c, server
}

// Crossing: the other side closes a resting connection, resets it or says half a line on it in the moment in which a call is
// to be written. Nothing is written there, and the call may go elsewhere.
func TestRestingConnectionEnds(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).CloseWrite,
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"half a line": func(c *net.TCPConn) error { _, err := c.Write([]byte("EN O0")); return err },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c, server := resting(t)
			if err := end(server.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			testprog.Until(t, "the end has come", func() bool { return !c.reader.Resting() })
			sent, status := c.send(t.Context(), t.Context(), &call{req: named("01"), done: make(chan relay.Result, 1)})
			if sent || status != hoptiller.OK || !c.dead || p.total != 0 {
				t.Errorf("sent %v, status %d, dead %v, %d connections", sent, status, c.dead, p.total)
			}
			if n, err := server.Read(make([]byte, 100)); n > 0 {
				t.Errorf("%d bytes came after all, %v", n, err)
			}
		})
	}
}

// Crossing: a second answer is read from a connection just before the next call is written to it. It is not that call's, which
// may have run.
func TestAnswerReadBeforeItsCall(t *testing.T) {
	t.Parallel()
	p, c, server := resting(t)
	p.mu.Lock()
	go c.read()
	if _, err := server.Write([]byte("EN O01\r\n")); err != nil {
		t.Fatal(err)
	}
	testprog.Until(t, "the answer has been read", func() bool { // and its reader waits for the lock; until then the last look sees it
		return !c.reader.Resting() && !c.reader.Waiting()
	})
	out := &call{req: named("01"), done: make(chan relay.Result, 1), sent: time.Now()}
	c.calls = append(c.calls, out)
	p.mu.Unlock()
	if r := testprog.Await(t, out.done, "end of the call"); r.Status != hoptiller.Reset {
		t.Errorf("the call ends as %d", r.Status)
	}
}

// Where all of a call's time goes by without a connection, that is the server's.
func TestNoConnectionInTime(t *testing.T) {
	t.Parallel()
	p, _ := late(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := p.Call(ctx, ctx, 1, read); r.Status != hoptiller.ConnectFailed {
		t.Errorf("the call ends as %d", r.Status)
	}
}

// Crossing: a client leaves, or a drain is told, when its call has a connection and waits for another call to be written.
func TestLastLook(t *testing.T) {
	t.Parallel()
	for name, drain := range map[string]bool{"client leaves": false, "drain is told": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := testprog.Listen(t)
			came := lines(l)
			p := New(Settings{Share: 4, MostConns: 1, MostCalls: 100, ConnectTimeout: time.Second}, Meta{})
			t.Cleanup(p.Close)
			p.Update(entry(l.Addr().String(), hoptiller.Ready), false)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go p.Call(ctx, ctx, 1, named("01"))
			testprog.Await(t, came, "first call")
			var c *conn
			until(t, p, "it is out", func(s *server) bool { c = s.conns[0]; return c.load == 1 })
			c.write.Lock() // as another call does while it is written
			begin, leave := context.WithCancel(t.Context())
			given := make(chan relay.Result, 1)
			go func() { given <- p.Call(begin, ctx, 1, named("02")) }()
			until(t, p, "the second call has its connection", func(s *server) bool { return c.load == 2 })
			defer leave()
			if drain {
				p.Update(entry(l.Addr().String(), hoptiller.Draining), false)
			} else {
				leave()
			}
			c.write.Unlock()
			if r := testprog.Await(t, given, "end of the call"); r.Status != hoptiller.Moot {
				t.Errorf("the call ends as %d", r.Status)
			}
			stop()
			if text := testprog.Await(t, came, "end of the connection"); text != "closed" {
				t.Errorf("%q came after all", text)
			}
		})
	}
}

// Crossing: a call's time ends as its last byte is written, so that the end of its time may still move the connection's write
// deadline when the next call is written. No call goes out there any more; one that waits for its answer gets it.
func TestWriteDeadlineOfAnEndedCall(t *testing.T) {
	t.Parallel()
	p, c, _ := resting(t)
	c.load = 2
	waits := &call{req: named("01"), done: make(chan relay.Result, 1), sent: time.Now()}
	c.calls = []*call{waits}
	c.stopped(true)
	if c.ending {
		t.Error("a call that was written in time ends its connection")
	}
	c.stopped(false)
	sent, status := c.send(t.Context(), t.Context(), &call{req: named("02"), done: make(chan relay.Result, 1)})
	if sent || status != hoptiller.OK || c.dead {
		t.Errorf("another call: sent %v, status %d, connection dead %v", sent, status, c.dead)
	}
	p.mu.Lock()
	c.calls = nil
	c.leave()
	p.mu.Unlock()
	if !c.dead {
		t.Error("the connection stays when its last call has its answer")
	}
}

// overAfterItsLook is a context whose time is up right after it was looked at for the first time.
type overAfterItsLook struct {
	context.Context
	looks int
}

func (o *overAfterItsLook) Deadline() (time.Time, bool) {
	if o.looks++; o.looks == 1 {
		return time.Now().Add(time.Hour), true
	}
	return time.Now().Add(-time.Hour), true
}

// Crossing: a call's time is up between the last look and its first byte. Nothing of it is written, and what others have out on the
// connection goes on.
func TestCallOverBeforeItsFirstByte(t *testing.T) {
	t.Parallel()
	p, c, _ := resting(t)
	waits := &call{req: named("01"), done: make(chan relay.Result, 1), sent: time.Now()}
	p.mu.Lock()
	c.load, c.calls = 2, []*call{waits}
	p.mu.Unlock()
	begin := &overAfterItsLook{Context: t.Context()}
	sent, status := c.send(begin, t.Context(), &call{req: named("02"), done: make(chan relay.Result, 1)})
	if sent || status == hoptiller.OK || begin.looks < 2 {
		t.Errorf("the call: sent %v, status %d, after %d looks", sent, status, begin.looks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead || len(c.calls) != 1 || c.calls[0] != waits || len(waits.done) > 0 {
		t.Errorf("connection dead %v, %d calls on it, %d ended", c.dead, len(c.calls), len(waits.done))
	}
}

// Crossing: a long value's connection ends between its head and its hand-over. Its call ends at once, and not when its time is up.
func TestLongValueOnAnEndedConnection(t *testing.T) {
	t.Parallel()
	p, c, _ := resting(t)
	out := &call{req: named("01"), done: make(chan relay.Result, 1), sent: time.Now()}
	b := &body{conn: c, out: out, ended: make(chan struct{})}
	p.mu.Lock()
	c.body = b
	p.closeConn(c, hoptiller.Reset, CloseServerEnded)
	p.mu.Unlock()
	if b.hand() {
		t.Error("the connection is read on")
	}
	select {
	case r := <-out.done:
		if r.Status != hoptiller.Cancelled || r.Body != nil {
			t.Errorf("the call ends as %d, with body %v", r.Status, r.Body)
		}
	default:
		t.Error("the call waits for its deadline")
	}
}
