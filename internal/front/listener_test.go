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

// heldUpListener accepts nobody until it goes on, as where the process stands still.
type heldUpListener struct {
	*net.TCPListener
	goOn    chan struct{}
	once    sync.Once
	stopped chan struct{} // closed when it is told to end
}

func (l *heldUpListener) Accept() (net.Conn, error) {
	<-l.goOn
	return l.TCPListener.Accept()
}

func (l *heldUpListener) SetDeadline(at time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(at)
}

func (l *heldUpListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// Crossing: the time in which clients still come is over while the process stands still. Those who came meanwhile are served, and not reset.
func TestClientsWhoWaitWhenTheListenerCloses(t *testing.T) {
	held := &heldUpListener{goOn: make(chan struct{}), stopped: make(chan struct{})}
	f := &Front{MostConns: 4, MostOpen: 4, Server: &counter{}, Life: lifecycle.New(), Linger: time.Millisecond, Keep: testprog.Patience}
	connect := startOn(t, f, func(l net.Listener) net.Listener {
		held.TCPListener = l.(*net.TCPListener)
		return held
	})
	var clients []net.Conn
	for i := range 3 {
		clients = append(clients, connect())
		fmt.Fprintf(clients[i], "mg k v O%d Pc=read,d=900\r\n", i)
	}
	f.Life.Tell(lifecycle.Stop)
	testprog.Await(t, held.stopped, "the listener's end")
	close(held.goOn)
	for i, client := range clients {
		client.SetReadDeadline(time.Now().Add(testprog.Patience))
		if line, err := bufio.NewReader(client).ReadString('\n'); line != fmt.Sprintf("VA 1 O%d\r\n", i) {
			t.Errorf("client %d got %q, %v", i, line, err)
		}
	}
}

// answered is a Server that takes a while over each request.
type answered time.Duration

func (a answered) Serve(ctx context.Context, _ *relay.Request) relay.Answer {
	select {
	case <-time.After(time.Duration(a)):
	case <-ctx.Done():
	}
	return relay.Answer{Kind: hoptiller.StepServed, Data: []byte("x")}
}

// shutdownTally is what clients saw that connect again and again until nobody listens any more.
type shutdownTally struct {
	mu                     sync.Mutex
	served, refused, other int
	refusedAt              time.Time // when a client found the listener closed first
	firstOther             error
}

// askUntilClosed asks one request on each of many new connections, until nobody listens.
func (s *shutdownTally) askUntilClosed(addr string, name int) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			s.closed()
			return
		}
		conn.SetDeadline(time.Now().Add(testprog.Patience))
		fmt.Fprintf(conn, "mg k v O%d-%d Pc=read,d=900\r\n", name, n)
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		s.count(line, err)
	}
}

func (s *shutdownTally) closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedAt.IsZero() {
		s.refusedAt = time.Now()
	}
}

func (s *shutdownTally) count(line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && strings.HasPrefix(line, "VA "):
		s.served++
	case err == nil && strings.HasPrefix(line, "SERVER_ERROR busy"):
		s.refused++
	default:
		s.other++
		s.firstOther = cmp.Or(s.firstOther, fmt.Errorf("%q, %w", line, err))
	}
}

// A full client table does not keep closing listeners open: they close when they are told to, and whoever connected before is answered or
// told to go elsewhere.
func TestFullTableWhenTheListenersClose(t *testing.T) {
	const linger = 100 * time.Millisecond
	const mostLate = 500 * time.Millisecond // of the listeners' end, on a busy machine
	f := &Front{MostConns: 2, MostOpen: 2, Server: answered(30 * time.Millisecond), Linger: linger, Keep: 2 * time.Second,
		Rest: time.Second, Last: 3 * time.Second}
	second := testprog.Listen(t)
	addresses := make(chan string, 2)
	connect := startServing(t, f, func(ctx context.Context, l net.Listener) error {
		addresses <- l.Addr().String()
		addresses <- second.Addr().String()
		return f.Serve(ctx, l, second)
	})
	connect().Close()
	all := []string{testprog.Await(t, addresses, "address"), testprog.Await(t, addresses, "address")}
	tallies := []*shutdownTally{{}, {}}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() { tallies[i%2].askUntilClosed(all[i%2], i) })
	}
	testprog.Until(t, "both listeners serve", func() bool {
		tallies[0].mu.Lock()
		defer tallies[0].mu.Unlock()
		tallies[1].mu.Lock()
		defer tallies[1].mu.Unlock()
		return tallies[0].served > 2 && tallies[1].served > 2
	})
	f.Life.Tell(lifecycle.Stop)
	stopped := time.Now()
	clients.Wait()
	for i, tally := range tallies {
		if late := tally.refusedAt.Sub(stopped) - linger; late > mostLate {
			t.Errorf("listener %d was open for %v longer than it may be", i, late)
		}
		if tally.other > 0 {
			t.Errorf("listener %d: %d clients were served, %d refused, %d got something else, first %v",
				i, tally.served, tally.refused, tally.other, tally.firstOther)
		}
	}
}

// A process that shares its socket with another leaves it who waits at a stop.
func TestSharedSocketLeavesWhoWaits(t *testing.T) {
	l := testprog.Listen(t).(*net.TCPListener)
	file, err := l.File() // the other process's
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
		f.accept(t.Context(), g, SharedListener{l}, make(chan struct{}), stop) // without a place: it accepts nobody
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	close(stop)
	stopAccepting(l)
	testprog.Await(t, served, "the listener's end")
	other.(*net.TCPListener).SetDeadline(time.Now().Add(testprog.Patience))
	taken, err := other.Accept()
	if err != nil {
		t.Fatalf("the other process finds nobody: %v", err)
	}
	taken.Close()
}
