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

// concurrencyServer serves every request and records the most requests that it served at the same time.
type concurrencyServer struct{ running, peak atomic.Int64 }

func (c *concurrencyServer) Serve(context.Context, *relay.Request) relay.Answer {
	n := c.running.Add(1)
	for peak := c.peak.Load(); n > peak && !c.peak.CompareAndSwap(peak, n); peak = c.peak.Load() {
	}
	for range 100 {
		runtime.Gosched()
	}
	c.running.Add(-1)
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// However many commands a client sends without waiting, at most MaxOpenRequests requests are open at once, and the answers
// come in the order of the commands.
func TestOpenRequestsAreBounded(t *testing.T) {
	server := &concurrencyServer{}
	conn := start(t, &Front{MaxConns: 4, MaxOpenRequests: 3, Server: server})()
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
	if peak := server.peak.Load(); peak < 1 || peak > 3 {
		t.Errorf("%d requests were open at once, at most 3 are allowed", peak)
	}
}

// start serves clients until the test ends and returns a function that connects one.
func start(t *testing.T, f *Front) (connect func() net.Conn) {
	return startWithListener(t, f, func(l net.Listener) net.Listener { return l })
}

// startWithListener does the same as start with the listener that wrap returns.
func startWithListener(t *testing.T, f *Front, wrap func(net.Listener) net.Listener) (connect func() net.Conn) {
	return startServing(t, f, func(ctx context.Context, l net.Listener) error { return f.Serve(ctx, wrap(l)) })
}

// startServing does the same as start and calls serve in place of Front.Serve.
func startServing(t *testing.T, f *Front, serve func(context.Context, net.Listener) error) (connect func() net.Conn) {
	f.Classes, f.Deadlines = []string{"read"}, []time.Duration{time.Second}
	f.Lifecycle, f.Counts = lifecycle.New(), metrics.New(f.Classes)
	return testprog.Serve(t, serve)
}

// Silent clients, many times as many as there are connection slots, neither cut off a client that sends its command slowly nor
// keep out one that sends a request.
func TestManySilentClients(t *testing.T) {
	hold := make(blockingServer)
	close(hold)
	connect := start(t, &Front{MaxConns: 20, MaxOpenRequests: 20, Server: hold})
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

// awaitOpen waits until n requests are open.
func awaitOpen(t *testing.T, f *Front, n int) {
	t.Helper()
	testprog.Eventually(t, fmt.Sprint(n, " requests are open"), func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.openIDs) == n
	})
}

// Clients that send nothing, or half a command, are evicted for one that sends a request. A client that waits for its
// answer keeps its connection.
func TestEvictionAdmitsActiveClients(t *testing.T) {
	hold := make(chan struct{})
	connect := start(t, &Front{MaxConns: 3, MaxOpenRequests: 3, Server: blockingServer(hold)})
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

// A client that disconnects frees its connection slot at once, even while its request is still in flight. The request's id
// stays in use until the request ends.
func TestDisconnectFreesTheSlot(t *testing.T) {
	hold := make(blockingServer)
	f := &Front{MaxConns: 1, MaxOpenRequests: 9, Server: hold}
	connect := start(t, f)
	first := connect()
	fmt.Fprint(first, "mg k v O1 Pc=read,d=900\r\n")
	awaitOpen(t, f, 1)
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
	awaitOpen(t, f, 0)
	if s := f.Counts.Snapshot(); s.Pending != 0 || s.Downstream["read"].Failed != 1 {
		t.Errorf("%+v", s)
	}
}

// After a stop no new client is accepted, but the connected ones are served for as long as they stay. Once they have
// disconnected, Serve returns without waiting any longer.
func TestStopServesConnectedClients(t *testing.T) {
	hold := make(blockingServer)
	close(hold)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &Front{MaxConns: 4, MaxOpenRequests: 4, ServeDuration: time.Hour, Server: hold,
		Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}}
	f.Lifecycle, f.Counts = lifecycle.New(), metrics.New(f.Classes)
	done := make(chan error, 1)
	go func() { done <- f.Serve(context.Background(), l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testprog.WaitTimeout))
	r := bufio.NewReader(conn)
	request := func(id int) {
		fmt.Fprintf(conn, "mg k v O%d Pc=read,d=900\r\n", id)
		head, _ := r.ReadString('\n')
		if value, err := r.ReadString('\n'); head != fmt.Sprintf("VA 1 O%d\r\n", id) || err != nil {
			t.Fatalf("answer %q %q, %v", head, value, err)
		}
	}
	request(1)
	f.Lifecycle.Apply(lifecycle.Stop)
	testprog.Eventually(t, "no new client is accepted", func() bool {
		other, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			other.Close()
		}
		return err != nil
	})
	request(2)
	conn.Close()
	if err := testprog.Await(t, done, "end of the front"); err != nil {
		t.Error(err)
	}
}

// Clients together hold a limited number of connections, so those that send one request and keep the connection would leave
// the others none. Beyond MaxUsedConns the connection that has been idle longest ends, and none with an open request or without
// a first command ends in its place.
func TestSurplusEndsTheLongestIdle(t *testing.T) {
	f := &Front{MaxConns: 9, MaxOpenRequests: 9, MaxUsedConns: 2, Server: make(blockingServer)}
	connect := start(t, f)
	waiting := connect()
	fmt.Fprint(waiting, "mg k v O1 Pc=read,d=900\r\n")
	connect()
	var idleConns []net.Conn
	for i := range 2 {
		idleConns = append(idleConns, connect())
		fmt.Fprint(idleConns[i], "mn\r\n")
		bufio.NewReader(idleConns[i]).ReadString('\n')
		// The answer may arrive before its connection counts as idle. Without this wait the next connection could count as
		// idle for longer.
		testprog.Eventually(t, "the connection is idle", func() bool {
			f.conns.mu.Lock()
			defer f.conns.mu.Unlock()
			return f.conns.lists[idle].Len() == i+1
		})
	}
	awaitOpen(t, f, 1) // the first client's command has been read too
	f.endSurplusConn()
	ended, all := 0, f.conns.all()
	for _, c := range all {
		c.mu.Lock()
		if c.endWhenIdle {
			ended++
		}
		if c.endWhenIdle && c.RemoteAddr().String() != idleConns[0].LocalAddr().String() {
			t.Errorf("%v was ended, not the connection that has been idle longest", c.RemoteAddr())
		}
		c.mu.Unlock()
	}
	remaining := len(all)
	if ended+4-remaining != 1 {
		t.Errorf("%d connections remain, %d of them ending", remaining, ended)
	}
	close(f.Server.(blockingServer))
}

// blockingServer answers requests once the channel is closed.
type blockingServer chan struct{}

func (s blockingServer) Serve(context.Context, *relay.Request) relay.Answer {
	<-s
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// A request carries the number of its tenant, so that each tenant is held to its own share. An unknown tenant gets -1, and
// without a list of tenants all requests get 0.
func TestTenants(t *testing.T) {
	for facts, want := range map[string]int{"c=read,t=brno,d=9": 1, "c=read,t=praha": 0, "c=read,t=nobody": -1, "c=read": -1} {
		f := &Front{Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}, Tenants: []string{"praha", "brno"}}
		req := &relay.Request{}
		if fault := f.parseFacts(req, []byte(facts)); fault != "" || req.Tenant != want {
			t.Errorf("%s: tenant %d, want %d, fault %q", facts, req.Tenant, want, fault)
		}
		if f.Tenants = nil; f.parseFacts(req, []byte(facts)) != "" {
			t.Fatal(facts)
		}
	}
	req := &relay.Request{}
	if (&Front{Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}}).parseFacts(req, []byte("c=read,t=x")); req.Tenant != 0 {
		t.Errorf("tenant %d without a list of tenants", req.Tenant)
	}
}

// Once an operator has been answered that the router is active again, new connections stay, even if the goroutine of
// followLifecycle has not been notified yet. On a busy machine a scenario once waited for an answer on a connection that
// had ended.
func TestReactivationTakesEffectAtOnce(t *testing.T) {
	f := &Front{Lifecycle: lifecycle.New()}
	f.endGrace.Store(int64(time.Second))
	f.Lifecycle.Apply(lifecycle.Drain)
	if f.grace() != time.Second {
		t.Error("connections of a draining router don't end")
	}
	f.Lifecycle.Apply(lifecycle.Activate)
	if f.grace() != 0 {
		t.Error("connections of a reactivated router end")
	}
	f.Lifecycle.Apply(lifecycle.Stop)
	if f.grace() != time.Second {
		t.Error("connections of a stopping router don't end")
	}
}
