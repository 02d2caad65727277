package front

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hoptiller/internal/lifecycle"
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
