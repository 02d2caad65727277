package provider

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

const long = 4 << 20

func ask(p *Pool, id string) relay.Result {
	return p.Call(context.Background(), 1, &relay.Invocation{Key: []byte("k"), ID: []byte(id), Facts: []byte("c=read")})
}

// What nobody takes is not read: the server can't send a long value on before its client reads. Then all of it comes,
// and the connection carries the next call.
func TestBodyWaitsForItsReader(t *testing.T) {
	sent := make(chan int, 1)
	conns := make(chan net.Conn, 9)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- conn
		conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
			if strings.Contains(line, "O02") {
				io.WriteString(conn, "VA 1 O02\r\nx\r\n")
				continue
			}
			io.WriteString(conn, "VA 4194304 O01\r\n")
			conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			n, _ := conn.Write(bytes.Repeat([]byte("a"), long))
			sent <- n
			conn.SetWriteDeadline(time.Time{})
			conn.Write(bytes.Repeat([]byte("a"), long-n))
			io.WriteString(conn, "\r\n")
		}
	})
	r := ask(p, "01")
	if r.Status != hoptiller.OK || r.Body == nil || r.Body.Len() != long {
		t.Fatalf("%+v", r)
	}
	if n := <-sent; n >= long {
		t.Error("all was sent before anybody took it")
	}
	got := 0
	err := r.Body.Copy(func(piece []byte) error {
		got += len(piece)
		if strings.Trim(string(piece), "a") != "" {
			return errors.New("another value")
		}
		return nil
	})
	if err != nil || got != long {
		t.Errorf("%d bytes, %v", got, err)
	}
	if r := ask(p, "02"); r.Status != hoptiller.OK || string(r.Data) != "x" || len(conns) != 1 {
		t.Errorf("%+v on connection %d", r, len(conns))
	}
}

// A call behind a long value can be given up but not ended, since the value would be cut off; later calls go elsewhere.
// A value that is closed ends its connection, and one that nobody waits for any more does at once.
func TestCallsBehindABody(t *testing.T) {
	ended := make(chan bool, 9)
	begin := make(chan bool)
	p := serve(t, func(conn net.Conn, r *bufio.Reader) {
		first, _ := r.ReadString('\n')
		if !strings.Contains(first, "O01") {
			io.WriteString(conn, "EN O"+strings.Fields(first)[3][1:]+"\r\n")
			io.Copy(io.Discard, r)
			return
		}
		r.ReadString('\n') // the one behind it
		<-begin
		io.WriteString(conn, "VA 70000 O01\r\nab")
		io.Copy(io.Discard, r)
		ended <- true
	})
	results := make(chan relay.Result, 1)
	go func() { results <- ask(p, "01") }()
	queued := func(n int) {
		for found := 0; found < n; {
			p.mu.Lock()
			found = 0
			for _, c := range p.servers[1].conns {
				found += len(c.calls)
			}
			p.mu.Unlock()
		}
	}
	queued(1)
	ctx, cancel := context.WithCancel(context.Background())
	behind := make(chan relay.Result, 1)
	go func() {
		behind <- p.Call(ctx, 1, &relay.Invocation{Key: []byte("k"), ID: []byte("02"), Facts: []byte("c=read")})
	}()
	queued(2)
	begin <- true
	r := <-results
	if r.Body == nil {
		t.Fatalf("%+v", r)
	}
	if r := ask(p, "03"); r.Status != hoptiller.Miss {
		t.Errorf("a later call: %+v", r)
	}
	cancel()
	if b := <-behind; b.Status != hoptiller.Cancelled || b.End == nil || b.End() {
		t.Errorf("the call behind: %+v", b)
	}
	select {
	case <-ended:
		t.Error("the long value was cut off")
	default:
	}
	r.Body.Close()
	r.Body.Close()
	<-ended
	if err := r.Body.Copy(func([]byte) error { return nil }); err == nil {
		t.Error("a closed value came whole")
	}
}

// A value that is cut off, or has something else in the place of its end, is told to be so.
func TestSpoiltBody(t *testing.T) {
	for _, rest := range []string{strings.Repeat("a", 69999), strings.Repeat("a", 70000), strings.Repeat("a", 70000) + "\rx"} {
		p := serve(t, func(conn net.Conn, r *bufio.Reader) {
			r.ReadString('\n')
			io.WriteString(conn, "VA 70000 O01\r\n"+rest)
		})
		r := ask(p, "01")
		if r.Body == nil {
			t.Fatalf("%+v", r)
		}
		if err := r.Body.Copy(func([]byte) error { return nil }); err == nil {
			t.Errorf("%d bytes came whole", len(rest))
		}
	}
}
