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
	"hoptiller/internal/relay"
)

// counter serves every invocation and keeps count of how many it had at once.
type counter struct{ open, most atomic.Int64 }

func (c *counter) Serve(context.Context, *relay.Invocation) relay.Answer {
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
func TestOpenInvocationsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := &counter{}
	f := &Front{Classes: []string{"read"}, Deadlines: []time.Duration{time.Second}, MostConns: 4, MostOpen: 3, Server: served}
	stop, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Serve(context.Background(), stop, l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
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
		t.Errorf("%d invocations at once, 3 are allowed", most)
	}
	conn.Close()
	end()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
