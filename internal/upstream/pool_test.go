package upstream

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// serve starts a server that handles each connection, and returns a pool that knows it as server 1.
func serve(t *testing.T, handle func(conn net.Conn, r *bufio.Reader)) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	p := New(Settings{CallsPerConn: 4, MaxConnsPerServer: 4, MaxCallsPerConn: 100, ConnectTimeout: time.Second}, Meta{})
	p.Update(listEntry(l.Addr().String(), hoptiller.Ready), false)
	t.Cleanup(func() { l.Close(); p.Close() })
	return p
}

// listEntry returns the entry of server 1 in the server list.
func listEntry(addr string, phase hoptiller.Phase) relay.Server {
	return relay.Server{Addr: addr, Server: hoptiller.Server{ID: 1, Phase: phase}}
}

var exampleRead = &relay.Request{Key: []byte("k"), ID: []byte("01"), Facts: []byte("c=read,d=9")}

// answer returns a handler that answers each command with a text.
func answer(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for _, err := r.ReadString('\n'); err == nil; _, err = r.ReadString('\n') {
			conn.Write([]byte(text))
		}
	}
}

// holdOpen reads a connection until its end and answers nothing.
func holdOpen(_ net.Conn, r *bufio.Reader) { r.ReadString(0) }

// The outcome of a call follows from what the server answers, and a connection is closed if nothing more on it can be
// trusted.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(net.Conn, *bufio.Reader)
		want   hoptiller.Status
		closes bool // the connection ends with the call
	}{
		"value":                    {answer("VA 1 O01\r\nx\r\n"), hoptiller.OK, false},
		"miss":                     {answer("EN O01\r\n"), hoptiller.Miss, false},
		"error":                    {answer("SERVER_ERROR failed\r\n"), hoptiller.ServerError, false},
		"busy":                     {answer("SERVER_ERROR busy\r\n"), hoptiller.TurnedAway, false},
		"command not understood":   {answer("ERROR\r\n"), hoptiller.ServerError, true},
		"command rejected":         {answer("CLIENT_ERROR bad command\r\n"), hoptiller.ServerError, true},
		"malformed length":         {answer("VA x\r\n"), hoptiller.ServerError, true},
		"value of another request": {answer("VA 1 O02\r\nx\r\n"), hoptiller.ServerError, true},
		"value without an ID":      {answer("VA 1\r\nx\r\n"), hoptiller.ServerError, true},
		"a receipt":                {answer("HD O01 c5\r\n"), hoptiller.ServerError, true},
		"end":                      {func(_ net.Conn, r *bufio.Reader) { r.ReadString('\n') }, hoptiller.Reset, true},
		"noise":                    {answer("\x8b\xa5"), hoptiller.ServerError, true},
		"unknown line":             {answer("x\r\n"), hoptiller.ServerError, true},
		"a line without end":       {answer("EN O01 " + strings.Repeat("a", 3000)), hoptiller.ServerError, true},
		"3 GB":                     {answer("VA 3000000000 O01\r\nx"), hoptiller.ServerError, true},
		"value of another, cut":    {answer("VA 100 O02\r\nx"), hoptiller.ServerError, true},
		"too short a value":        {answer("VA 100 O01\r\nx\r\n"), hoptiller.ServerError, true},
		"too long a value":         {answer("VA 1 O01\r\nxyz\r\n"), hoptiller.ServerError, true},
		"duplicate behind":         {answer("EN O01\r\nEN O01\r\n"), hoptiller.Miss, true},
		"noise behind":             {answer("VA 1 O01\r\nx\r\n\x8b"), hoptiller.OK, true},
		"unreadable report":        {answer("VA 1 O01 h1 L=,=\r\nx\r\n"), hoptiller.OK, false},
		"a long value":             {answer("VA 400000 O01\r\n" + strings.Repeat("x", 400000) + "\r\n"), hoptiller.OK, false},
		"half an answer": {func(conn net.Conn, r *bufio.Reader) {
			r.ReadString('\n')
			conn.Write([]byte("VA 9 O01\r\nx"))
		}, hoptiller.Reset, true},
		"no answer": {holdOpen, hoptiller.Timeout, true},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if c.want == hoptiller.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
		}
		p := serve(t, c.handle)
		p.settings.MaxIdle = 1 // the connection is not closed for being idle
		if r := p.Call(ctx, ctx, 1, exampleRead); r.Status != c.want {
			t.Errorf("%s: status %d, want %d", name, r.Status, c.want)
		}
		if c.closes { // nothing more on the connection can be trusted
			until(t, p, "all connections ended", func(s *server) bool { return len(s.conns) == 0 })
		}
		cancel()
	}
}

// A call that was never sent completely is distinguished from one that may have run.
func TestNeverSent(t *testing.T) {
	p := serve(t, holdOpen)
	addr := p.servers[1].Addr
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	for name, c := range map[string]struct {
		ctx    context.Context
		update relay.Server
		want   hoptiller.Status
	}{
		"cancelled before": {cancelled, listEntry(addr, hoptiller.Ready), hoptiller.NotSent},
		"draining":         {ctx, listEntry(addr, hoptiller.Draining), hoptiller.NotSent},
		"removed":          {ctx, listEntry(addr, hoptiller.Removed), hoptiller.NotSent},
		"refused":          {ctx, listEntry("127.0.0.1:1", hoptiller.Ready), hoptiller.ConnectFailed},
	} {
		p.Update(c.update, true)
		if r := p.Call(c.ctx, c.ctx, 1, exampleRead); r.Status != c.want {
			t.Errorf("%s: status %d, want %d", name, r.Status, c.want)
		}
	}
}

// A cancelled call closes its connection only together with the other calls on it, or when the router aborts it.
func TestCancelOnSharedConnection(t *testing.T) {
	second := make(chan net.Conn, 1)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		r.ReadString('\n')
		second <- conn
		holdOpen(conn, r)
	})
	first, cancel := context.WithCancel(context.Background())
	cancelled := make(chan relay.Result, 1)
	go func() { cancelled <- p.Call(first, first, 1, exampleRead) }()
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].pending) == 1 })
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	other := make(chan relay.Result, 1)
	go func() { other <- p.Call(ctx, ctx, 1, exampleRead) }()
	conn := testprog.Await(t, second, "second command")
	cancel()
	r := testprog.Await(t, cancelled, "end of the cancelled call")
	if r.Status != hoptiller.Cancelled || r.Abort == nil {
		t.Fatalf("the cancelled call ended with %+v", r)
	}
	conn.Write([]byte("VA 1 O01\r\nx\r\nVA 1 O01\r\ny\r\n"))
	if o := testprog.Await(t, other, "answer to the other call"); o.Status != hoptiller.OK || string(o.Data) != "y" {
		t.Errorf("the other call ended with %+v", o)
	}
	until(t, p, "all connections ended", func(s *server) bool { return len(s.conns) == 0 })
	r.Abort()
}

// A corrupt answer closes the connection before the call's result is passed on, since the call counts as in flight
// until then. The calls behind it are no proof of a fault: they end as Cancelled.
func TestCorruptAnswerOnSharedConnection(t *testing.T) {
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		r.ReadString('\n')
		conn.Write([]byte("VA 1 O02\r\nx\r\n"))
		holdOpen(conn, r)
	})
	results := make(chan relay.Result, 2)
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	for i := range 2 {
		go func() { results <- p.Call(ctx, ctx, 1, exampleRead) }()
		if i == 0 {
			until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].pending) == 1 })
		}
	}
	a, b := testprog.Await(t, results, "first result"), testprog.Await(t, results, "second result")
	if min(a.Status, b.Status) != hoptiller.ServerError || max(a.Status, b.Status) != hoptiller.Cancelled {
		t.Errorf("statuses %d and %d", a.Status, b.Status)
	}
}

// The number of connections to all servers together is limited: an idle connection is closed when another one is
// needed. A removed server is forgotten when there are no connections to it any more.
func TestMaxConnsAndForget(t *testing.T) {
	p := serve(t, answer("EN O01\r\n"))
	p.settings.MaxConns = 1
	other := listEntry(p.servers[1].Addr, hoptiller.Ready)
	other.ID = 2
	p.Update(other, false)
	for _, id := range []uint32{1, 2, 1} {
		if r := p.Call(context.Background(), context.Background(), id, exampleRead); r.Status != hoptiller.Miss || p.connCount != 1 {
			t.Errorf("server %d: status %d with %d connections", id, r.Status, p.connCount)
		}
	}
	if p.Forget(1) || !p.Forget(2) {
		t.Error("server 1 was forgotten with a connection, or server 2 was not forgotten without one")
	}
	p.Update(listEntry("", hoptiller.Removed), false)
	if !p.Forget(1) || len(p.servers) != 0 || p.connCount != 0 {
		t.Errorf("%d servers and %d connections are left", len(p.servers), p.connCount)
	}
}

// When a server has restarted, the connections to the old process are closed and their calls end.
func TestMovedServer(t *testing.T) {
	p := serve(t, holdOpen)
	result := make(chan relay.Result, 1)
	go func() { result <- p.Call(context.Background(), context.Background(), 1, exampleRead) }()
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].pending) == 1 })
	moved := listEntry(p.servers[1].Addr, hoptiller.Ready)
	moved.EarliestStart = time.Now().Add(-time.Hour) // a start before the connection was opened
	p.Update(moved, true)
	until(t, p, "the connection has its call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].pending) == 1 })
	moved.EarliestStart = time.Now()
	p.Update(moved, true)
	if r := testprog.Await(t, result, "end of the call"); r.Status != hoptiller.Reset {
		t.Errorf("status %d", r.Status)
	}
}

// A connection on which the server may have stopped answering gets no more calls while there is an alternative, so
// that no further calls are lost with it.
func TestOverdueConnection(t *testing.T) {
	var later atomic.Bool
	reached := make(chan bool, 1)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if !later.Swap(true) {
			reached <- true
			holdOpen(conn, r)
		}
		answer("EN O01\r\n")(conn, r)
	})
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	go p.Call(ctx, ctx, 1, exampleRead)
	testprog.Await(t, reached, "first connection at the server") // otherwise the second connection may be the one without answers
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].pending) == 1 })
	p.mu.Lock()
	overdue := p.servers[1].conns[0]
	overdue.pending[0].sentAt = time.Now().Add(-time.Hour)
	p.mu.Unlock()
	for range 2 {
		if r := p.Call(ctx, ctx, 1, exampleRead); r.Status != hoptiller.Miss {
			t.Errorf("status %d while another call is overdue", r.Status)
		}
	}
	p.mu.Lock()
	if len(p.servers[1].conns) != 2 || overdue.load != 1 {
		t.Errorf("%d connections, %d calls on the overdue one", len(p.servers[1].conns), overdue.load)
	}
	// If all connections may be stuck and no later call was answered, the server itself may be slow, so no more are
	// opened.
	s := p.servers[1]
	s.conns = []*conn{overdue, overdue, overdue}
	s.newestAnswered = time.Time{}
	if s.leastBusy(time.Now(), false) != overdue {
		t.Error("another connection is opened to a server that may be slow")
	}
	s.newestAnswered = time.Now()
	if s.leastBusy(time.Now(), false) != nil || s.leastBusy(time.Now(), true) != overdue {
		t.Error("no other connection to a server that answers, or one above the limit")
	}
	s.conns = []*conn{overdue}
	p.mu.Unlock()
}

// until waits until the server reaches a state that the calls in progress bring about.
func until(t *testing.T, p *Pool, what string, ok func(*server) bool) {
	t.Helper()
	testprog.Eventually(t, what, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return ok(p.servers[1])
	})
}

// A connection that has been idle for nearly as long as the server allows is not used again.
func TestIdleLimit(t *testing.T) {
	conns := make(chan net.Conn, 2)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- conn
		answer("EN O01\r\n")(conn, r)
	})
	for range 2 {
		p.Call(context.Background(), context.Background(), 1, exampleRead)
	}
	p.mu.Lock()
	p.settings.IdleLimit = time.Nanosecond
	p.mu.Unlock()
	p.Call(context.Background(), context.Background(), 1, exampleRead)
	if len(conns) != 2 {
		t.Errorf("%d connections for two calls on one and one after the limit", len(conns))
	}
}

// Surplus idle connections, beyond those for which the server's table has room from each router, are closed on their
// own. The connections used last stay open.
func TestSurplusIdleConnections(t *testing.T) {
	ended := make(chan net.Conn, 3)
	release := make(chan bool)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		<-release
		conn.Write([]byte("EN O01\r\n"))
		r.ReadString('\n')
		ended <- conn
	})
	p.settings.CallsPerConn, p.settings.MaxIdle, p.settings.ConnectTimeout = 1, 1, 50*time.Millisecond
	called := make(chan relay.Result, 3)
	for range 3 {
		go func() { called <- p.Call(t.Context(), t.Context(), 1, exampleRead) }()
	}
	// All three calls are in flight, each on its own connection, before the first is answered. Otherwise a later call
	// would use the connection of an answered one, and the server would take its command for the end of the
	// connection.
	until(t, p, "three connections with a call each", func(s *server) bool {
		inFlight := 0
		for _, c := range s.conns {
			inFlight += len(c.pending)
		}
		return len(s.conns) == 3 && inFlight == 3
	})
	for range 3 {
		testprog.Send(t, release, true, "the signal to answer")
	}
	for range 3 {
		testprog.Await(t, called, "answer")
	}
	testprog.Await(t, ended, "end of one idle connection")
	testprog.Await(t, ended, "end of another")
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.servers[1].conns); n != 1 {
		t.Errorf("%d connections are open, not 1", n)
	}
}

// Calls that find all connections of a server still being opened wait for one. Otherwise many simultaneous calls
// would fail before the first connection is established, as happened to clients of a router that had just started on
// a busy machine.
func TestWaitsForADial(t *testing.T) {
	p := serve(t, answer("EN O01\r\n"))
	p.settings.MaxConnsPerServer = 1
	p.mu.Lock()
	s := p.servers[1]
	s.dialing = 1
	p.mu.Unlock()
	results := make(chan relay.Result, 2)
	for range 2 {
		go func() { results <- p.Call(t.Context(), t.Context(), 1, exampleRead) }()
	}
	clientCtx, disconnect := context.WithCancel(t.Context())
	until(t, p, "a call waits", func(s *server) bool { return s.nextDial != nil })
	disconnect()
	if r := p.Call(clientCtx, clientCtx, 1, exampleRead); r.Status != hoptiller.NotSent {
		t.Errorf("a call whose client disconnected meanwhile ended with status %d", r.Status)
	}
	p.mu.Lock()
	s.dialEnded(nil)
	p.mu.Unlock()
	for range 2 {
		if r := testprog.Await(t, results, "end of a call"); r.Status != hoptiller.Miss {
			t.Errorf("a call that waited for a connection ended with status %d", r.Status)
		}
	}
	p.Close()
	p.mu.Lock()
	s.dialing = 1
	p.mu.Unlock()
	go func() { results <- p.Call(t.Context(), t.Context(), 1, exampleRead) }()
	until(t, p, "a call waits again", func(s *server) bool { return s.nextDial != nil })
	p.mu.Lock()
	s.dialEnded(errMoved)
	p.mu.Unlock()
	if r := testprog.Await(t, results, "end of a call"); r.Status != hoptiller.ConnectFailed {
		t.Errorf("a call whose connection was not established ended with status %d", r.Status)
	}
}

// A server that closes connections before it answers anything is reported as down, once, and as up again with its
// first answer.
func TestServerObservations(t *testing.T) {
	var isDown atomic.Bool
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for _, err := r.ReadString('\n'); err == nil && !isDown.Load(); _, err = r.ReadString('\n') {
			conn.Write([]byte("EN O01\r\n"))
		}
	})
	reports := make(chan bool, 10)
	p.settings.Observed = func(id uint32, up bool) { reports <- up }
	ctx, cancel := context.WithTimeout(context.Background(), testprog.WaitTimeout)
	defer cancel()
	call := func(wantDown bool) {
		isDown.Store(wantDown)
		p.Call(ctx, ctx, 1, exampleRead)
		until(t, p, "the connection has ended", func(s *server) bool { return !wantDown || len(s.conns) == 0 })
	}
	call(false)
	call(true) // on a connection on which calls were answered: its end proves nothing
	if len(reports) > 0 {
		t.Fatal("the server was reported as down too early")
	}
	call(true)
	call(true)
	if up := testprog.Await(t, reports, "report that the server is down"); up || len(reports) > 0 {
		t.Errorf("up %v, and %d more reports", up, len(reports))
	}
	call(false)
	if up := testprog.Await(t, reports, "report that the server is up"); !up || len(reports) > 0 {
		t.Errorf("up %v, and %d more reports", up, len(reports))
	}
}
