package front

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// counter serves every request and keeps count of how many it had at once.
type counter struct{ open, most atomic.Int64 }

func (c *counter) Serve(context.Context, *relay.Request) relay.Answer {
	n := c.open.Add(1)
	for most := c.most.Load(); n > most && !c.most.CompareAndSwap(most, n); most = c.most.Load() {
	}
	for range 100 {
		runtime.Gosched()
	}
	c.open.Add(-1)
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// However many commands clients send ahead, only so many are open, and each is answered in its place.
func TestOpenRequestsAreBounded(t *testing.T) {
	served := &counter{}
	conn := start(t, &Front{MostConns: 4, MostOpen: 3, Server: served})()
	const commands = 200
	go func() {
		for i := range commands {
			fmt.Fprintf(conn, "mg k v O%d Pc=read,d=900\r\n", i)
		}
	}()
	r := bufio.NewReader(conn)
	for i := range commands {
		head, _ := r.ReadString('\n')
		value, err := r.ReadString('\n')
		if want := fmt.Sprintf("VA 1 O%d\r\n", i); head != want || value != "x\r\n" || err != nil {
			t.Fatalf("answer %d is %q %q, %v", i, head, value, err)
		}
	}
	if most := served.most.Load(); most < 1 || most > 3 {
		t.Errorf("%d requests at once, 3 are allowed", most)
	}
}

// start serves clients until the test ends and returns a function that connects one.
func start(t *testing.T, f *Front) (connect func() net.Conn) {
	return startOn(t, f, func(l net.Listener) net.Listener { return l })
}

// startOn does so on what is made of the listener.
func startOn(t *testing.T, f *Front, on func(net.Listener) net.Listener) (connect func() net.Conn) {
	return startServing(t, f, func(ctx context.Context, l net.Listener) error { return f.Serve(ctx, on(l)) })
}

// startServing is start for a front that serves in a way of its own.
func startServing(t *testing.T, f *Front, serve func(context.Context, net.Listener) error) (connect func() net.Conn) {
	f.Classes, f.Deadlines = []string{"read"}, []time.Duration{time.Second}
	f.Life, f.Counts = lifecycle.New(), metrics.New(f.Classes)
	return testprog.Serve(t, serve)
}

// A crowd that says nothing, many times the places, cuts off none who is long in asking, and holds off none who asks.
func TestCrowd(t *testing.T) {
	hold := make(holder)
	close(hold)
	connect := start(t, &Front{MostConns: 20, MostOpen: 20, Server: hold})
	slow := connect()
	fmt.Fprint(slow, "mg k v O1 Pc=re")
	for range 10 * 20 {
		connect()
	}
	quick := connect()
	fmt.Fprint(quick, "mg k v O2 Pc=read,d=900\r\n")
	fmt.Fprint(slow, "ad,d=900\r\n")
	for i, conn := range []net.Conn{slow, quick} {
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != fmt.Sprintf("VA 1 O%d\r\n", i+1) {
			t.Errorf("client %d got %q, %v", i, line, err)
		}
	}
}

// untilOpen waits until so many requests are open.
func untilOpen(t *testing.T, f *Front, n int) {
	t.Helper()
	testprog.Until(t, fmt.Sprint(n, " requests are open"), func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.open) == n
	})
}

// Clients that say nothing, or half a command, make room for one that asks; one that waits for its
// answer keeps its place.
func TestRoomForClients(t *testing.T) {
	hold := make(chan struct{})
	connect := start(t, &Front{MostConns: 3, MostOpen: 3, Server: holder(hold)})
	waiting := connect()
	fmt.Fprint(waiting, "mg k v O1 Pc=read,d=900\r\n")
	for range 5 {
		connect()
		fmt.Fprint(connect(), "mg k v")
	}
	asking := connect()
	fmt.Fprint(asking, "mn\r\n")
	if line, err := bufio.NewReader(asking).ReadString('\n'); line != "MN\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	close(hold)
	if line, err := bufio.NewReader(waiting).ReadString('\n'); line != "VA 1 O1\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}

// One that leaves gives its place back at once, however long its call is still out; its id is taken until then.
func TestLeavingFreesThePlace(t *testing.T) {
	hold := make(holder)
	f := &Front{MostConns: 1, MostOpen: 9, Server: hold}
	connect := start(t, f)
	first := connect()
	fmt.Fprint(first, "mg k v O1 Pc=read,d=900\r\n")
	untilOpen(t, f, 1)
	first.Close()
	second := connect()
	fmt.Fprint(second, "mg k v O1 Pc=read,d=900\r\nmn\r\n")
	r := bufio.NewReader(second)
	for _, want := range []string{"CLIENT_ERROR request id is in use\r\n", "MN\r\n"} {
		if line, err := r.ReadString('\n'); line != want {
			t.Errorf("got %q, %v, want %q", line, err, want)
		}
	}
	close(hold)
	untilOpen(t, f, 0)
	if s := f.Counts.Snapshot(); s.Pending != 0 || s.Downstream["read"].Failed != 1 {
		t.Errorf("%+v", s)
	}
}

// After a stop nobody new is let in, but those who are there are served for as long as they stay; then
// nothing is waited for.
func TestStopKeepsClients(t *testing.T) {
	hold := make(holder)
	close(hold)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &Front{MostConns: 4, MostOpen: 4, Keep: time.Hour, Server: hold, Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}}
	f.Life, f.Counts = lifecycle.New(), metrics.New(f.Classes)
	done := make(chan error, 1)
	go func() { done <- f.Serve(context.Background(), l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testprog.Patience))
	r := bufio.NewReader(conn)
	ask := func(id int) {
		fmt.Fprintf(conn, "mg k v O%d Pc=read,d=900\r\n", id)
		head, _ := r.ReadString('\n')
		if value, err := r.ReadString('\n'); head != fmt.Sprintf("VA 1 O%d\r\n", id) || err != nil {
			t.Fatalf("answer %q %q, %v", head, value, err)
		}
	}
	ask(1)
	f.Life.Tell(lifecycle.Stop)
	testprog.Until(t, "nobody new is let in", func() bool {
		other, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			other.Close()
		}
		return err != nil
	})
	ask(2)
	conn.Close()
	if err := testprog.Await(t, done, "end of the front"); err != nil {
		t.Error(err)
	}
}

// Clients that ask once and keep their connection leave the others none, since they hold only so many at once:
// beyond a number the one that was used longest ago goes, but none that is open or silent in its stead.
func TestThinEndsTheLongestIdle(t *testing.T) {
	f := &Front{MostConns: 9, MostOpen: 9, MostKept: 2, Server: make(holder)}
	connect := start(t, f)
	waiting := connect()
	fmt.Fprint(waiting, "mg k v O1 Pc=read,d=900\r\n")
	connect()
	var kept []net.Conn
	for i := range 2 {
		kept = append(kept, connect())
		fmt.Fprint(kept[i], "mn\r\n")
		bufio.NewReader(kept[i]).ReadString('\n')
		// The answer may be here before its connection counts as idle, and the next one would be idle longer.
		testprog.Until(t, "the connection is idle", func() bool {
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			return f.conns.lists[idle].Len() == i+1
		})
	}
	untilOpen(t, f, 1) // the first client's command has been read too
	f.thin()
	ended, all := 0, f.conns.all()
	for _, c := range all {
		c.mu.Lock()
		if c.end {
			ended++
		}
		if c.end && c.RemoteAddr().String() != kept[0].LocalAddr().String() {
			t.Errorf("%v was ended, not the one that is idle longest", c.RemoteAddr())
		}
		c.mu.Unlock()
	}
	left := len(all)
	if ended+4-left != 1 {
		t.Errorf("%d connections are left, %d of them ending", left, ended)
	}
	close(f.Server.(holder))
}

// holder serves when it may.
type holder chan struct{}

func (h holder) Serve(context.Context, *relay.Request) relay.Answer {
	<-h
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// A request carries its customer's number, so that each is held to its own share; one who is not known has none,
// and where there are no customers all are the first.
func TestTenants(t *testing.T) {
	for facts, want := range map[string]int{"c=read,t=brno,d=9": 1, "c=read,t=praha": 0, "c=read,t=nobody": -1, "c=read": -1} {
		f := &Front{Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}, Tenants: []string{"praha", "brno"}}
		req := &relay.Request{}
		if fault := f.facts(req, []byte(facts)); fault != "" || req.Tenant != want {
			t.Errorf("%s: customer %d, want %d, %s", facts, req.Tenant, want, fault)
		}
		if f.Tenants = nil; f.facts(req, []byte(facts)) != "" {
			t.Fatal(facts)
		}
	}
	req := &relay.Request{}
	if (&Front{Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}}).facts(req, []byte("c=read,t=x")); req.Tenant != 0 {
		t.Errorf("customer %d where there are none", req.Tenant)
	}
}

// Who is told that the router was called back finds it so: a connection that comes then stays, though the router's own
// goroutine has not heard yet. A scenario met that on a busy machine, and waited for an answer on a connection that ended.
func TestCalledBackAtOnce(t *testing.T) {
	f := &Front{Life: lifecycle.New()}
	f.closing.Store(int64(time.Second))
	f.Life.Tell(lifecycle.Drain)
	if f.rest() != time.Second {
		t.Error("connections of a drained router stay")
	}
	f.Life.Tell(lifecycle.Activate)
	if f.rest() != 0 {
		t.Error("connections of a router that was called back end")
	}
	f.Life.Tell(lifecycle.Stop)
	if f.rest() != time.Second {
		t.Error("connections of a stopping router stay")
	}
}
