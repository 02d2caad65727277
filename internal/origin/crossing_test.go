package origin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
	"hoptiller/internal/upstream"
	"hoptiller/internal/valuemem"
)

// serve starts an origin that handles each request, and returns a pool that knows it as server 1 and the pool's
// memory for values.
func serve(t *testing.T, cooldown time.Duration,
	handle func(conn *net.TCPConn, path string) (more bool)) (*upstream.Pool, *valuemem.Budget) {
	l := testprog.Listen(t)
	testprog.Accept(l, func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			q, err := http.ReadRequest(r)
			if err != nil || !handle(conn.(*net.TCPConn), q.URL.Path) {
				return
			}
		}
	})
	memory := valuemem.New(meta.MaxLongValue)
	p := upstream.New(upstream.Settings{CallsPerConn: 1, MaxConnsPerServer: 2, MaxCallsPerConn: 1, ConnectTimeout: 5 * time.Second, Cooldown: cooldown,
		ValueMemory: memory}, Protocol{})
	p.Update(relay.Server{Addr: l.Addr().String(), Server: hoptiller.Server{ID: 1, Phase: hoptiller.Ready}}, false)
	t.Cleanup(p.Close)
	return p, memory
}

// call makes a call and returns its status and the value or receipt.
func call(t *testing.T, p *upstream.Pool, req *relay.Request) (status hoptiller.Status, value string) {
	ctx, cancel := context.WithTimeout(t.Context(), testprog.WaitTimeout)
	defer cancel()
	r := p.Call(ctx, ctx, 1, req)
	value = string(r.Data)
	if r.Body != nil {
		if err := r.Body.Copy(func(piece []byte) error { value += string(piece); return nil }); err != nil {
			t.Error(err)
		}
	}
	return r.Status, value
}

// An answer without a length ends when its connection is closed. If the connection is reset instead, the answer is
// incomplete.
func TestAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		head, body string
		reset      bool
		write      bool
		status     hoptiller.Status
		value      string
	}{
		"ended":                {"200 OK", "some value", false, false, hoptiller.OK, "some value"},
		"empty":                {"200 OK", "", false, false, hoptiller.OK, ""},
		"reset":                {"200 OK", "some val", true, false, hoptiller.ServerError, ""},
		"reset at once":        {"200 OK", "", true, false, hoptiller.ServerError, ""},
		"receipt":              {"200 OK", "r7", false, true, hoptiller.OK, "r7"},
		"receipt, reset":       {"200 OK", "r7", true, true, hoptiller.ServerError, ""},
		"receipt of two words": {"200 OK", "r 7", false, true, hoptiller.ServerError, ""},
		"error":                {"500 No", "why", false, false, hoptiller.ServerError, ""},
		"not processed":        {"503 No\r\nX-Unprocessed: 1", "why", false, true, hoptiller.TurnedAway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acquired := make(chan bool)
			p, memory := serve(t, 0, func(conn *net.TCPConn, _ string) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\n%s", c.head, c.body)
				if c.reset { // once the router has begun to read the value, because a reset discards what it has not read
					<-acquired
					conn.SetLinger(0)
				}
				return false
			})
			req := &relay.Request{Key: []byte("k"), ID: []byte("1"), Write: c.write, Value: []byte("x")}
			if c.reset {
				go func() {
					defer close(acquired)
					testprog.Eventually(t, "memory is acquired for the value", func() bool {
						return memory.Summary().Held > 0
					})
				}()
			}
			if status, value := call(t, p, req); status != c.status || value != c.value {
				t.Errorf("status %d, value %q", status, value)
			}
		})
	}
}

// A race: a second answer to one call arrives when the next call has been made. An origin's answers carry no request
// ID, so the next call uses another connection, even if no further connection may be opened.
func TestSecondAnswer(t *testing.T) {
	t.Parallel()
	requests, nextCallMade := make(chan string, 10), make(chan bool, 10)
	p, _ := serve(t, time.Hour, func(conn *net.TCPConn, path string) bool {
		requests <- path
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s", path)
		<-nextCallMade
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/x")
		return true
	})
	for i := range 5 {
		path := fmt.Sprint("/", i)
		if status, value := call(t, p,
			&relay.Request{Key: []byte(path[1:]), ID: []byte("1")}); status != hoptiller.OK || value != path {
			t.Errorf("%s: status %d, value %q", path, status, value)
		}
		if got := testprog.Await(t, requests, "request"); got != path {
			t.Errorf("the origin received %s, not %s", got, path)
		}
	}
	for range 5 {
		nextCallMade <- true
	}
}
