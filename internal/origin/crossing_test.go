package origin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
	"hoptiller/internal/upstream"
)

// serve starts an origin that handles each request, and a pool that knows it as number 1.
func serve(t *testing.T, rest time.Duration, handle func(conn *net.TCPConn, path string) (more bool)) (*upstream.Pool, *semaphore.Weighted) {
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
	room := semaphore.NewWeighted(meta.MaxLong)
	p := upstream.New(upstream.Settings{Share: 1, MostConns: 2, MostCalls: 1, ConnectTimeout: 5 * time.Second, Rest: rest,
		Room: room}, Protocol{})
	p.Update(relay.Server{Addr: l.Addr().String(), Server: hoptiller.Server{ID: 1, Phase: hoptiller.Ready}}, false)
	t.Cleanup(p.Close)
	return p, room
}

// call makes a call and tells how it ended and with which value or receipt.
func call(t *testing.T, p *upstream.Pool, req *relay.Request) (status hoptiller.Status, value string) {
	ctx, cancel := context.WithTimeout(t.Context(), testprog.Patience)
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

// An answer without a length ends with its connection, and one that is reset on the way has no end.
func TestAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		head, body string
		reset      bool
		write      bool
		status     hoptiller.Status
		value      string
	}{
		"ended":          {"200 OK", "some value", false, false, hoptiller.OK, "some value"},
		"empty":          {"200 OK", "", false, false, hoptiller.OK, ""},
		"reset":          {"200 OK", "some val", true, false, hoptiller.ServerError, ""},
		"reset at once":  {"200 OK", "", true, false, hoptiller.ServerError, ""},
		"receipt":        {"200 OK", "r7", false, true, hoptiller.OK, "r7"},
		"receipt, reset": {"200 OK", "r7", true, true, hoptiller.ServerError, ""},
		"receipt of two": {"200 OK", "r 7", false, true, hoptiller.ServerError, ""},
		"error":          {"500 No", "why", false, false, hoptiller.ServerError, ""},
		"not taken":      {"503 No\r\nX-Unprocessed: 1", "why", false, true, hoptiller.Full, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan bool)
			p, room := serve(t, 0, func(conn *net.TCPConn, _ string) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\n%s", c.head, c.body)
				if c.reset { // once the router has begun to gather the value: a reset takes away what it has not read
					<-begun
					conn.SetLinger(0)
				}
				return false
			})
			req := &relay.Request{Key: []byte("k"), ID: []byte("1"), Write: c.write, Value: []byte("x")}
			if c.reset {
				go func() {
					defer close(begun)
					testprog.Until(t, "room is taken for the value", func() bool {
						free := room.TryAcquire(1)
						if free {
							room.Release(1)
						}
						return !free
					})
				}()
			}
			if status, value := call(t, p, req); status != c.status || value != c.value {
				t.Errorf("status %d, value %q", status, value)
			}
		})
	}
}

// Crossing: a second answer to one call comes when the next call has been made. Answers of an origin name no request, so the
// next call goes out on another connection, also where there may be no more of them.
func TestSecondAnswer(t *testing.T) {
	t.Parallel()
	next, came := make(chan string, 10), make(chan bool, 10)
	p, _ := serve(t, time.Hour, func(conn *net.TCPConn, path string) bool {
		next <- path
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s", path)
		<-came // the next call has been made
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/x")
		return true
	})
	for i := range 5 {
		path := fmt.Sprint("/", i)
		if status, value := call(t, p, &relay.Request{Key: []byte(path[1:]), ID: []byte("1")}); status != hoptiller.OK || value != path {
			t.Errorf("%s: status %d, value %q", path, status, value)
		}
		if got := testprog.Await(t, next, "request"); got != path {
			t.Errorf("%s came, not %s", got, path)
		}
	}
	for range 5 {
		came <- true
	}
}
