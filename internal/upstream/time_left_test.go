package upstream

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
	"hoptiller/internal/testprog"
)

// statedTime returns the time that the first line of an attempt states; -1: none.
func statedTime(line string) time.Duration {
	_, rest, stated := strings.Cut(line, "d=")
	digits, _, _ := strings.Cut(strings.TrimSpace(rest), ",")
	if n, err := strconv.Atoi(digits); stated && err == nil {
		return time.Duration(n) * time.Millisecond
	}
	return -1
}

// A server is told the time that is left when the first byte is sent, not the time that was left when the attempt was
// picked, before its connection was established or while another attempt was written on it.
func TestTimeLeftAtTheFirstByte(t *testing.T) {
	t.Parallel()
	const wait, delay = 30 * time.Second, 50 * time.Millisecond
	for _, c := range []struct {
		name  string
		write bool
	}{{"read", false}, {"write", true}} {
		request := &relay.Request{Key: []byte("k"), ID: []byte("02"), Facts: []byte("c=x,d=30000"), Write: c.write, Value: []byte("v")}
		t.Run(c.name+", slow dial", func(t *testing.T) {
			t.Parallel()
			p, listen := lateServer(t)
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			go p.Call(ctx, ctx, 1, request)
			until(t, p, "a connection is being opened", func(s *server) bool { return s.dialing == 1 })
			timer := time.NewTimer(delay)
			<-timer.C
			end, _ := ctx.Deadline()
			maxLeft := time.Until(end)
			received := readLines(listen())
			for line := testprog.Await(t, received, "attempt"); ; line = testprog.Await(t, received, "attempt") {
				if line == "closed" { // a connection that had filled the listener's queue
					continue
				}
				if got := statedTime(line); got < 0 || got > maxLeft {
					t.Errorf("%q, but %v are left", line, maxLeft)
				}
				break
			}
		})
		t.Run(c.name+", behind another write", func(t *testing.T) {
			t.Parallel()
			l := testprog.Listen(t)
			received := readLines(l)
			p := New(Settings{CallsPerConn: 4, MaxConnsPerServer: 1, MaxCallsPerConn: 100, ConnectTimeout: time.Second}, Meta{})
			t.Cleanup(p.Close)
			p.Update(listEntry(l.Addr().String(), hoptiller.Ready), false)
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			go p.Call(ctx, ctx, 1, readRequest("01"))
			testprog.Await(t, received, "first attempt")
			var conn *conn
			until(t, p, "the first attempt is in flight", func(s *server) bool { conn = s.conns[0]; return conn.load == 1 })
			conn.writeTurn <- struct{}{} // as another attempt does while it is written
			go p.Call(ctx, ctx, 1, request)
			until(t, p, "the second attempt has its connection", func(*server) bool { return conn.load == 2 })
			timer := time.NewTimer(delay)
			<-timer.C
			end, _ := ctx.Deadline()
			maxLeft := time.Until(end)
			conn.endWriteTurn()
			if line := testprog.Await(t, received, "second attempt"); statedTime(line) < 0 || statedTime(line) > maxLeft {
				t.Errorf("%q, but %v are left", line, maxLeft)
			}
		})
	}
}

// An attempt states whole milliseconds, never more than are left, and is not sent with less than one millisecond
// left.
func TestMinTimeLeft(t *testing.T) {
	t.Parallel()
	for timeLeft, want := range map[time.Duration]string{
		time.Millisecond:                       "d=1",
		2*time.Millisecond - 1:                 "d=1",
		480 * time.Millisecond:                 "d=480",
		480*time.Millisecond - time.Nanosecond: "d=479",
		time.Hour + 999*time.Microsecond:       "d=3600000",
	} {
		a, _ := newAttempt(make([]byte, 100), &relay.Request{Facts: []byte("d=9000")}, "", timeLeft)
		if string(a.Facts) != want {
			t.Errorf("%v: %s, want %s", timeLeft, a.Facts, want)
		}
	}
	p, c, server := idleConn(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(minTimeLeft-1))
	defer cancel()
	sent, status := c.send(t.Context(), ctx, &pendingCall{req: readRequest("01"), result: make(chan relay.Result, 1)})
	if sent || status != hoptiller.NotSent || c.load != 0 {
		t.Errorf("sent %v, status %d, %d attempts on the connection", sent, status, c.load)
	}
	p.Close()
	if n, err := server.Read(make([]byte, 100)); n > 0 {
		t.Errorf("the server received %d bytes, %v", n, err)
	}
}

// The timeout that the client stated reaches no protocol, whatever else the request contains.
func TestAttemptHidesClientTimeout(t *testing.T) {
	t.Parallel()
	for facts, want := range map[string]string{
		"":                         "",
		"c=read":                   "c=read",
		"c=read,d=480":             "c=read,d=77",
		"d=480,c=put,k=5c,r=1":     "d=77,c=put,k=5c,r=1",
		"c=read,d=480,size=2,d=9":  "c=read,d=77,size=2,d=77",
		"c=read,d=99999999999,d=x": "c=read,d=77,d=77",
		"c=read,dd=480,xd=3,d":     "c=read,dd=480,xd=3,d",
	} {
		buf := make([]byte, 16) // too short for most facts; the bytes behind the facts are free all the same
		a, free := newAttempt(buf, &relay.Request{Facts: []byte(facts), ID: []byte("1"), Key: []byte("k")}, "host", 77*time.Millisecond)
		if string(a.Facts) != want {
			t.Errorf("%q: %q, want %q", facts, a.Facts, want)
		}
		if _ = append(free, fmt.Sprint(strings.Repeat("x", cap(free)))...); string(a.Facts) != want {
			t.Errorf("writing behind the facts changed %q", facts)
		}
	}
}
