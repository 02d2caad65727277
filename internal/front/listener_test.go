package front

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// pausedListener accepts no client until resume is closed, as if the process were paused.
type pausedListener struct {
	*net.TCPListener
	resume  chan struct{}
	once    sync.Once
	stopped chan struct{} // closed by the first SetDeadline or Close
}

func (l *pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.TCPListener.Accept()
}

func (l *pausedListener) SetDeadline(at time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(at)
}

func (l *pausedListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// Race: AcceptDuration, in which clients still connect, ends while the process is paused. Clients that connected during the
// pause are served and not reset.
func TestBacklogIsServedWhenTheListenerCloses(t *testing.T) {
	paused := &pausedListener{resume: make(chan struct{}), stopped: make(chan struct{})}
	f := &Front{MaxConns: 4, MaxOpenRequests: 4, Server: &concurrencyServer{}, Lifecycle: lifecycle.New(), AcceptDuration: time.Millisecond,
		ServeDuration: testprog.WaitTimeout}
	connect := startWithListener(t, f, func(l net.Listener) net.Listener {
		paused.TCPListener = l.(*net.TCPListener)
		return paused
	})
	var clients []net.Conn
	for i := range 3 {
		clients = append(clients, connect())
		fmt.Fprintf(clients[i], "mg k v O%d Pc=read,d=900\r\n", i)
	}
	f.Lifecycle.Apply(lifecycle.Stop)
	testprog.Await(t, paused.stopped, "the listener's end")
	close(paused.resume)
	for i, client := range clients {
		client.SetReadDeadline(time.Now().Add(testprog.WaitTimeout))
		if line, err := bufio.NewReader(client).ReadString('\n'); line != fmt.Sprintf("VA 1 O%d\r\n", i) {
			t.Errorf("client %d got %q, %v", i, line, err)
		}
	}
}

// slowServer is a Server that takes this long for each request.
type slowServer time.Duration

func (s slowServer) Serve(ctx context.Context, _ *relay.Request) relay.Answer {
	select {
	case <-time.After(time.Duration(s)):
	case <-ctx.Done():
	}
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// shutdownResults counts the answers to clients that connect again and again until the listener is closed.
type shutdownResults struct {
	mu                          sync.Mutex
	served, refused, unexpected int
	refusedAt                   time.Time // when a client first found the listener closed
	firstUnexpected             error
}

// requestUntilClosed sends one request on each of many new connections, until the listener is closed.
func (s *shutdownResults) requestUntilClosed(addr string, clientNumber int) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			s.recordClosed()
			return
		}
		conn.SetDeadline(time.Now().Add(testprog.WaitTimeout))
		fmt.Fprintf(conn, "mg k v O%d-%d Pc=read,d=900\r\n", clientNumber, n)
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		s.record(line, err)
	}
}

func (s *shutdownResults) recordClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedAt.IsZero() {
		s.refusedAt = time.Now()
	}
}

func (s *shutdownResults) record(line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && strings.HasPrefix(line, "VA "):
		s.served++
	case err == nil && strings.HasPrefix(line, "SERVER_ERROR busy"):
		s.refused++
	default:
		s.unexpected++
		s.firstUnexpected = cmp.Or(s.firstUnexpected, fmt.Errorf("%q, %w", line, err))
	}
}

// A full client table does not keep listeners open at a stop: they close when AcceptDuration is over, and clients that
// connected before are answered or rejected.
func TestFullTableWhenTheListenersClose(t *testing.T) {
	const linger = 100 * time.Millisecond
	const maxDelay = 500 * time.Millisecond // tolerated delay of the listeners' close, on a busy machine
	f := &Front{MaxConns: 2, MaxOpenRequests: 2, Server: slowServer(30 * time.Millisecond), AcceptDuration: linger, ServeDuration: 2 * time.Second,
		CommandGrace: time.Second, FailOpenAfter: 3 * time.Second}
	secondListener := testprog.Listen(t)
	addresses := make(chan string, 2)
	connect := startServing(t, f, func(ctx context.Context, l net.Listener) error {
		addresses <- l.Addr().String()
		addresses <- secondListener.Addr().String()
		return f.Serve(ctx, l, secondListener)
	})
	connect().Close()
	addrs := []string{testprog.Await(t, addresses, "address"), testprog.Await(t, addresses, "address")}
	results := []*shutdownResults{{}, {}}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() { results[i%2].requestUntilClosed(addrs[i%2], i) })
	}
	testprog.Eventually(t, "both listeners serve", func() bool {
		results[0].mu.Lock()
		defer results[0].mu.Unlock()
		results[1].mu.Lock()
		defer results[1].mu.Unlock()
		return results[0].served > 2 && results[1].served > 2
	})
	f.Lifecycle.Apply(lifecycle.Stop)
	stopped := time.Now()
	clients.Wait()
	for i, result := range results {
		if delay := result.refusedAt.Sub(stopped) - linger; delay > maxDelay {
			t.Errorf("listener %d was open %v longer than Linger", i, delay)
		}
		if result.unexpected > 0 {
			t.Errorf("listener %d: %d requests were served, %d rejected, %d had other results, the first was %v",
				i, result.served, result.refused, result.unexpected, result.firstUnexpected)
		}
	}
}

// At a stop, a process that shares its socket with another one leaves the clients in the backlog to that one.
func TestSharedSocketLeavesBacklog(t *testing.T) {
	l := testprog.Listen(t).(*net.TCPListener)
	file, err := l.File() // the other process's descriptor
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	other, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	f := &Front{}
	served := make(chan struct{})
	stop := make(chan struct{})
	g := &errgroup.Group{}
	go func() {
		defer close(served)
		// There is no connection slot, so accept accepts no client.
		f.accept(t.Context(), g, SharedListener{l}, make(chan struct{}), stop)
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	close(stop)
	stopAccepting(l)
	testprog.Await(t, served, "the listener's end")
	other.(*net.TCPListener).SetDeadline(time.Now().Add(testprog.WaitTimeout))
	taken, err := other.Accept()
	if err != nil {
		t.Fatalf("the other process finds no client to accept: %v", err)
	}
	taken.Close()
}
