package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// callServer makes an attempt at server 1 for a request with the given ID.
func callServer(p *Pool, id string) relay.Result {
	return p.Call(context.Background(), context.Background(), 1,
		&relay.Request{Key: []byte("k"), ID: []byte(id), Facts: []byte("c=read")})
}

// A call behind a long value can be cancelled, but its connection cannot be closed, since that would cut off the
// value. Later calls use other connections. Closing a value ends its connection at once if nobody waits for the value
// any more.
func TestCallsBehindLongValue(t *testing.T) {
	ended := make(chan bool, 9)
	begin := make(chan bool)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		first, _ := r.ReadString('\n')
		if !strings.Contains(first, "O01") {
			io.WriteString(conn, "EN O"+strings.Fields(first)[3][1:]+"\r\n")
			io.Copy(io.Discard, r)
			return
		}
		r.ReadString('\n') // the call behind it
		<-begin
		io.WriteString(conn, "VA 70000 O01\r\nab")
		io.Copy(io.Discard, r)
		ended <- true
	})
	results := make(chan relay.Result, 1)
	go func() { results <- callServer(p, "01") }()
	until(t, p, "a connection with one call", func(s *server) bool { return len(s.conns) > 0 && len(s.conns[0].pending) == 1 })
	p.mu.Lock()
	p.servers[1].typicalLatency = time.Hour // however slow the machine is, the first call is not overdue
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	behind := make(chan relay.Result, 1)
	go func() {
		behind <- p.Call(ctx, ctx, 1, &relay.Request{Key: []byte("k"), ID: []byte("02"), Facts: []byte("c=read")})
	}()
	until(t, p, "two calls on the connection", func(s *server) bool { return len(s.conns[0].pending) == 2 })
	testprog.Send(t, begin, true, "the signal to answer")
	r := testprog.Await(t, results, "head of the value")
	if r.Body == nil {
		t.Fatalf("%+v", r)
	}
	if r := callServer(p, "03"); r.Status != hoptiller.Miss {
		t.Errorf("a later call ended with %+v", r)
	}
	cancel()
	if b := testprog.Await(t, behind, "end of the second call"); b.Status != hoptiller.Cancelled || b.Abort == nil || b.Abort() {
		t.Errorf("the call behind the value ended with %+v", b)
	}
	select {
	case <-ended:
		t.Error("the long value was cut off")
	default:
	}
	r.Body.Close()
	r.Body.Close()
	testprog.Await(t, ended, "end of the connection")
	if err := r.Body.Copy(func([]byte) error { return nil }); err == nil {
		t.Error("a closed value was copied completely")
	}
}
