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

// told is the time that the first line of an attempt states; -1: none.
func told(line string) time.Duration {
	_, rest, stated := strings.Cut(line, "d=")
	digits, _, _ := strings.Cut(strings.TrimSpace(rest), ",")
	if n, err := strconv.Atoi(digits); stated && err == nil {
		return time.Duration(n) * time.Millisecond
	}
	return -1
}

// What a server is told is what is left when the first byte goes out: not what was left when the attempt was picked, before its
// connection came up or while another attempt was written there.
func TestTimeLeftAtTheFirstByte(t *testing.T) {
	t.Parallel()
	const wait, passes = 30 * time.Second, 50 * time.Millisecond
	for _, c := range []struct {
		name  string
		write bool
	}{{"read", false}, {"write", true}} {
		stated := &relay.Request{Key: []byte("k"), ID: []byte("02"), Facts: []byte("c=x,d=30000"), Write: c.write, Value: []byte("v")}
		t.Run(c.name+", the dial comes up late", func(t *testing.T) {
			t.Parallel()
			p, listen := late(t)
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			go p.Call(ctx, ctx, 1, stated)
			until(t, p, "a connection is coming up", func(s *server) bool { return s.dialing == 1 })
			least := time.NewTimer(passes)
			<-least.C
			end, _ := ctx.Deadline()
			most := time.Until(end)
			came := lines(listen())
			for line := testprog.Await(t, came, "attempt"); ; line = testprog.Await(t, came, "attempt") {
				if line == "closed" { // what had filled the queue
					continue
				}
				if got := told(line); got < 0 || got > most {
					t.Errorf("%q, but %v are left", line, most)
				}
				break
			}
		})
		t.Run(c.name+", behind another write", func(t *testing.T) {
			t.Parallel()
			l := testprog.Listen(t)
			came := lines(l)
			p := New(Settings{Share: 4, MostConns: 1, MostCalls: 100, ConnectTimeout: time.Second}, Meta{})
			t.Cleanup(p.Close)
			p.Update(entry(l.Addr().String(), hoptiller.Ready), false)
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			go p.Call(ctx, ctx, 1, named("01"))
			testprog.Await(t, came, "first attempt")
			var conn *conn
			until(t, p, "it is out", func(s *server) bool { conn = s.conns[0]; return conn.load == 1 })
			conn.write.Lock() // as another attempt does while it is written
			go p.Call(ctx, ctx, 1, stated)
			until(t, p, "the second attempt has its connection", func(*server) bool { return conn.load == 2 })
			least := time.NewTimer(passes)
			<-least.C
			end, _ := ctx.Deadline()
			most := time.Until(end)
			conn.write.Unlock()
			if line := testprog.Await(t, came, "second attempt"); told(line) < 0 || told(line) > most {
				t.Errorf("%q, but %v are left", line, most)
			}
		})
	}
}

// An attempt tells whole milliseconds, never more than are left, and does not begin with less than one.
func TestLeastTimeLeft(t *testing.T) {
	t.Parallel()
	for left, want := range map[time.Duration]string{
		time.Millisecond:                       "d=1",
		2*time.Millisecond - 1:                 "d=1",
		480 * time.Millisecond:                 "d=480",
		480*time.Millisecond - time.Nanosecond: "d=479",
		time.Hour + 999*time.Microsecond:       "d=3600000",
	} {
		a, _ := newAttempt(make([]byte, 100), &relay.Request{Facts: []byte("d=9000")}, "", left)
		if string(a.Facts) != want {
			t.Errorf("%v: %s, want %s", left, a.Facts, want)
		}
	}
	p, c, server := resting(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(leastLeft-1))
	defer cancel()
	sent, status := c.send(t.Context(), ctx, &call{req: named("01"), done: make(chan relay.Result, 1)})
	if sent || status != hoptiller.Moot || c.load != 0 {
		t.Errorf("sent %v, status %d, %d attempts on the connection", sent, status, c.load)
	}
	p.Close()
	if n, err := server.Read(make([]byte, 100)); n > 0 {
		t.Errorf("%d bytes came after all, %v", n, err)
	}
}

// What the client said of its time reaches no protocol, whatever else the request has.
func TestAttemptHidesTheClientsTime(t *testing.T) {
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
		buf := make([]byte, 16) // too short for most: what is behind the facts is free all the same
		a, free := newAttempt(buf, &relay.Request{Facts: []byte(facts), ID: []byte("1"), Key: []byte("k")}, "host", 77*time.Millisecond)
		if string(a.Facts) != want {
			t.Errorf("%q: %q, want %q", facts, a.Facts, want)
		}
		if _ = append(free, fmt.Sprint(strings.Repeat("x", cap(free)))...); string(a.Facts) != want {
			t.Errorf("%q is written over", facts)
		}
	}
}
