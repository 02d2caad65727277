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

// serve starts a server that handles each connection, and a pool that knows it as number 1.
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
	p := New(Settings{Share: 4, MostConns: 4, MostCalls: 100, ConnectTimeout: time.Second}, Meta{})
	p.Update(entry(l.Addr().String(), hoptiller.Ready), false)
	t.Cleanup(func() { l.Close(); p.Close() })
	return p
}

func entry(addr string, phase hoptiller.Phase) relay.Server {
	return relay.Server{Addr: addr, Server: hoptiller.Server{ID: 1, Phase: phase}}
}

var read = &relay.Request{Key: []byte("k"), ID: []byte("01"), Facts: []byte("c=read,d=9")}

// answer reads commands and answers each with a text.
func answer(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for _, err := r.ReadString('\n'); err == nil; _, err = r.ReadString('\n') {
			conn.Write([]byte(text))
		}
	}
}

func hold(_ net.Conn, r *bufio.Reader) { r.ReadString(0) }

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(net.Conn, *bufio.Reader)
		want   hoptiller.Status
		ends   bool // the connection ends with it
	}{
		"value":              {answer("VA 1 O01\r\nx\r\n"), hoptiller.OK, false},
		"miss":               {answer("EN O01\r\n"), hoptiller.Miss, false},
		"error":              {answer("SERVER_ERROR failed\r\n"), hoptiller.ServerError, false},
		"busy":               {answer("SERVER_ERROR busy\r\n"), hoptiller.Full, false},
		"nonsense":           {answer("VA x\r\n"), hoptiller.ServerError, true},
		"another's value":    {answer("VA 1 O02\r\nx\r\n"), hoptiller.ServerError, true},
		"nobody's value":     {answer("VA 1\r\nx\r\n"), hoptiller.ServerError, true},
		"a receipt":          {answer("HD O01 c5\r\n"), hoptiller.ServerError, true},
		"end":                {func(_ net.Conn, r *bufio.Reader) { r.ReadString('\n') }, hoptiller.Reset, true},
		"noise":              {answer("\x8b\xa5"), hoptiller.ServerError, true},
		"noise in a line":    {answer("x\r\n"), hoptiller.ServerError, true},
		"a line without end": {answer("EN O01 " + strings.Repeat("a", 3000)), hoptiller.ServerError, true},
		"3 GB":               {answer("VA 3000000000 O01\r\nx"), hoptiller.ServerError, true},
		"another's, cut":     {answer("VA 100 O02\r\nx"), hoptiller.ServerError, true},
		"too short a value":  {answer("VA 100 O01\r\nx\r\n"), hoptiller.ServerError, true},
		"too long a value":   {answer("VA 1 O01\r\nxyz\r\n"), hoptiller.ServerError, true},
		"copy behind":        {answer("EN O01\r\nEN O01\r\n"), hoptiller.Miss, true},
		"noise behind":       {answer("VA 1 O01\r\nx\r\n\x8b"), hoptiller.OK, true},
		"unreadable report":  {answer("VA 1 O01 h1 L=,=\r\nx\r\n"), hoptiller.OK, false},
		"a long value":       {answer("VA 400000 O01\r\n" + strings.Repeat("x", 400000) + "\r\n"), hoptiller.OK, false},
		"half an answer": {func(conn net.Conn, r *bufio.Reader) {
			r.ReadString('\n')
			conn.Write([]byte("VA 9 O01\r\nx"))
		}, hoptiller.Reset, true},
		"silence": {hold, hoptiller.Timeout, true},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		if c.want == hoptiller.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
		}
		p := serve(t, c.handle)
		if r := p.Call(ctx, ctx, 1, read); r.Status != c.want {
			t.Errorf("%s: status %d, want %d", name, r.Status, c.want)
		}
		if c.ends { // nothing more can be believed of it
			until(t, p, "all connections ended", func(s *server) bool { return len(s.conns) == 0 })
		}
		cancel()
	}
}

// What never was sent whole is told apart from what may have run.
func TestNeverSent(t *testing.T) {
	p := serve(t, hold)
	addr := p.servers[1].Addr
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	for name, c := range map[string]struct {
		ctx    context.Context
		update relay.Server
		want   hoptiller.Status
	}{
		"given up before": {gone, entry(addr, hoptiller.Ready), hoptiller.Moot},
		"draining":        {ctx, entry(addr, hoptiller.Draining), hoptiller.Moot},
		"gone":            {ctx, entry(addr, hoptiller.Gone), hoptiller.Moot},
		"nobody there":    {ctx, entry("127.0.0.1:1", hoptiller.Ready), hoptiller.ConnectFailed},
	} {
		p.Update(c.update, true)
		if r := p.Call(c.ctx, c.ctx, 1, read); r.Status != c.want {
			t.Errorf("%s: status %d, want %d", name, r.Status, c.want)
		}
	}
}

// A call that is given up ends its connection only with its neighbours, or when it must not stay out.
func TestGivingUpASharedConnection(t *testing.T) {
	second := make(chan net.Conn, 1)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		r.ReadString('\n')
		second <- conn
		hold(conn, r)
	})
	first, cancel := context.WithCancel(context.Background())
	given := make(chan relay.Result, 1)
	go func() { given <- p.Call(first, first, 1, read) }()
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].calls) == 1 })
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	other := make(chan relay.Result, 1)
	go func() { other <- p.Call(ctx, ctx, 1, read) }()
	conn := testprog.Await(t, second, "second command")
	cancel()
	r := testprog.Await(t, given, "end of the call that is given up")
	if r.Status != hoptiller.Cancelled || r.End == nil {
		t.Fatalf("the call that was given up: %+v", r)
	}
	conn.Write([]byte("VA 1 O01\r\nx\r\nVA 1 O01\r\ny\r\n"))
	if o := testprog.Await(t, other, "its neighbour's answer"); o.Status != hoptiller.OK || string(o.Data) != "y" {
		t.Errorf("its neighbour: %+v", o)
	}
	until(t, p, "all connections ended", func(s *server) bool { return len(s.conns) == 0 })
	r.End()
}

// A spoilt answer ends the connection before it is told, since until then the call counts as out. The calls
// behind it are no proof of a fault: they end as if given up.
func TestSpoiltAnswerAndNeighbours(t *testing.T) {
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		r.ReadString('\n')
		conn.Write([]byte("VA 1 O02\r\nx\r\n"))
		hold(conn, r)
	})
	results := make(chan relay.Result, 2)
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	for i := range 2 {
		go func() { results <- p.Call(ctx, ctx, 1, read) }()
		if i == 0 {
			until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].calls) == 1 })
		}
	}
	a, b := testprog.Await(t, results, "first result"), testprog.Await(t, results, "second result")
	if min(a.Status, b.Status) != hoptiller.ServerError || max(a.Status, b.Status) != hoptiller.Cancelled {
		t.Errorf("statuses %d and %d", a.Status, b.Status)
	}
}

// On all servers together only so many connections are open: an idle one makes room for one that is needed.
// A server that is gone is forgotten when nothing leads to it any more.
func TestTotalAndForget(t *testing.T) {
	p := serve(t, answer("EN O01\r\n"))
	p.set.MostTotal = 1
	other := entry(p.servers[1].Addr, hoptiller.Ready)
	other.ID = 2
	p.Update(other, false)
	for _, id := range []uint32{1, 2, 1} {
		if r := p.Call(context.Background(), context.Background(), id, read); r.Status != hoptiller.Miss || p.total != 1 {
			t.Errorf("server %d: status %d with %d connections", id, r.Status, p.total)
		}
	}
	if p.Forget(1) || !p.Forget(2) {
		t.Error("1 has a connection and is forgotten, or 2 has none and is not")
	}
	p.Update(entry("", hoptiller.Gone), false)
	if !p.Forget(1) || len(p.servers) != 0 || p.total != 0 {
		t.Errorf("%d servers and %d connections are left", len(p.servers), p.total)
	}
}

// A process that has started anew has nothing to do with the connections to the old one, nor with its calls.
func TestMovedServer(t *testing.T) {
	p := serve(t, hold)
	result := make(chan relay.Result, 1)
	go func() { result <- p.Call(context.Background(), context.Background(), 1, read) }()
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].calls) == 1 })
	moved := entry(p.servers[1].Addr, hoptiller.Ready)
	moved.Since = time.Now().Add(-time.Hour) // news of a start before the connection came up
	p.Update(moved, true)
	until(t, p, "the connection with its call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].calls) == 1 })
	moved.Since = time.Now()
	p.Update(moved, true)
	if r := testprog.Await(t, result, "end of the call"); r.Status != hoptiller.Reset {
		t.Errorf("status %d", r.Status)
	}
}

// A connection that may have fallen silent gets no more calls while there is another way, so that it takes
// no more with it than it has.
func TestOverdueConnection(t *testing.T) {
	var later atomic.Bool
	held := make(chan bool, 1)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if !later.Swap(true) {
			held <- true
			hold(conn, r)
		}
		answer("EN O01\r\n")(conn, r)
	})
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	go p.Call(ctx, ctx, 1, read)
	testprog.Await(t, held, "first connection at the server") // else the second may be the one that is held
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) == 1 && len(s.conns[0].calls) == 1 })
	p.mu.Lock()
	silent := p.servers[1].conns[0]
	silent.calls[0].sent = time.Now().Add(-time.Hour)
	p.mu.Unlock()
	for range 2 {
		if r := p.Call(ctx, ctx, 1, read); r.Status != hoptiller.Miss {
			t.Errorf("status %d behind a silent call", r.Status)
		}
	}
	p.mu.Lock()
	if len(p.servers[1].conns) != 2 || silent.load != 1 {
		t.Errorf("%d connections, %d calls on the silent one", len(p.servers[1].conns), silent.load)
	}
	// If all may be silent, and no answer tells that the server is at ease, it may be slow: no more are opened.
	s := p.servers[1]
	s.conns = []*conn{silent, silent, silent}
	s.passed = time.Time{}
	if s.leastBusy(time.Now(), false) != silent {
		t.Error("another connection to a server that may be slow")
	}
	s.passed = time.Now()
	if s.leastBusy(time.Now(), false) != nil || s.leastBusy(time.Now(), true) != silent {
		t.Error("no other connection to a server that answers, or one too many")
	}
	s.conns = []*conn{silent}
	p.mu.Unlock()
}

// until waits for a state of the server that calls bring about by themselves.
func until(t *testing.T, p *Pool, what string, ok func(*server) bool) {
	t.Helper()
	testprog.Until(t, what, func() bool {
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
		p.Call(context.Background(), context.Background(), 1, read)
	}
	p.mu.Lock()
	p.set.IdleLimit = time.Nanosecond
	p.mu.Unlock()
	p.Call(context.Background(), context.Background(), 1, read)
	if len(conns) != 2 {
		t.Errorf("%d connections for two calls on one and one after the limit", len(conns))
	}
}

// Beyond those that the server's table has room for from each router, idle connections end by themselves, and
// those used last are kept.
func TestIdleEnds(t *testing.T) {
	ended := make(chan net.Conn, 3)
	release := make(chan bool)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		<-release
		conn.Write([]byte("EN O01\r\n"))
		r.ReadString('\n')
		ended <- conn
	})
	p.set.Share, p.set.Kept, p.set.ConnectTimeout = 1, 1, 50*time.Millisecond
	called := make(chan relay.Result, 3)
	for range 3 {
		go func() { called <- p.Call(t.Context(), t.Context(), 1, read) }()
	}
	// Each has a connection of its own before the first is answered: else a later call goes out on that one, whose
	// command the server takes for the end.
	until(t, p, "three connections with a call each", func(s *server) bool {
		out := 0
		for _, c := range s.conns {
			out += len(c.calls)
		}
		return len(s.conns) == 3 && out == 3
	})
	for range 3 {
		testprog.Give(t, release, true, "the word to answer")
	}
	for range 3 {
		testprog.Await(t, called, "answer")
	}
	testprog.Await(t, ended, "end of one idle connection")
	testprog.Await(t, ended, "end of another")
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.servers[1].conns); n != 1 {
		t.Errorf("%d connections are left, not 1", n)
	}
}

// Calls that find all connections of a server still coming up wait for one: many at once would else fail before the first
// is there, as clients of a router that has just started did on a busy machine.
func TestWaitsForADial(t *testing.T) {
	p := serve(t, answer("EN O01\r\n"))
	p.set.MostConns = 1
	p.mu.Lock()
	s := p.servers[1]
	s.dialing = 1
	p.mu.Unlock()
	called := make(chan relay.Result, 2)
	for range 2 {
		go func() { called <- p.Call(t.Context(), t.Context(), 1, read) }()
	}
	gone, leave := context.WithCancel(t.Context())
	until(t, p, "a call waits", func(s *server) bool { return s.next != nil })
	leave()
	if r := p.Call(gone, gone, 1, read); r.Status != hoptiller.Moot {
		t.Errorf("one whose client leaves meanwhile ends as %d", r.Status)
	}
	p.mu.Lock()
	s.dialEnded(nil)
	p.mu.Unlock()
	for range 2 {
		if r := testprog.Await(t, called, "end of a call"); r.Status != hoptiller.Miss {
			t.Errorf("a call that waited for a connection ends as %d", r.Status)
		}
	}
	p.Close()
	p.mu.Lock()
	s.dialing = 1
	p.mu.Unlock()
	go func() { called <- p.Call(t.Context(), t.Context(), 1, read) }()
	until(t, p, "a call waits again", func(s *server) bool { return s.next != nil })
	p.mu.Lock()
	s.dialEnded(errMoved)
	p.mu.Unlock()
	if r := testprog.Await(t, called, "end of a call"); r.Status != hoptiller.ConnectFailed {
		t.Errorf("a call whose connection did not come up ends as %d", r.Status)
	}
}

// A server that ends connections before it answers anything is seen to be gone, once, and to be back with its first answer.
func TestSeen(t *testing.T) {
	var gone atomic.Bool
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for _, err := r.ReadString('\n'); err == nil && !gone.Load(); _, err = r.ReadString('\n') {
			conn.Write([]byte("EN O01\r\n"))
		}
	})
	seen := make(chan bool, 10)
	p.set.Seen = func(id uint32, up bool) { seen <- up }
	ctx, cancel := context.WithTimeout(context.Background(), testprog.Patience)
	defer cancel()
	call := func(down bool) {
		gone.Store(down)
		p.Call(ctx, ctx, 1, read)
		until(t, p, "no connection that ends", func(s *server) bool { return !down || len(s.conns) == 0 })
	}
	call(false)
	call(true) // on a connection that was of use: a neighbour's end shows nothing
	if len(seen) > 0 {
		t.Fatal("seen too early")
	}
	call(true)
	call(true)
	if up := testprog.Await(t, seen, "its end"); up || len(seen) > 0 {
		t.Errorf("up %v, and %d more", up, len(seen))
	}
	call(false)
	if up := testprog.Await(t, seen, "its return"); !up || len(seen) > 0 {
		t.Errorf("up %v, and %d more", up, len(seen))
	}
}
