package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serveAnswers serves meta requests on a loopback port until the test ends. answer returns the response to the n-th read,
// or "" to close the connection.
func serveAnswers(t *testing.T, answer func(n int, id string) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					words := strings.Fields(lines.Text())
					if words[0] == "ms" {
						lines.Scan()
						fmt.Fprintf(c, "HD %s cr1\r\n", words[3])
						continue
					}
					text := answer(int(n.Add(1)), words[3])
					if text == "" {
						return
					}
					fmt.Fprint(c, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func testPlan(addr string) Plan {
	return Plan{Addrs: []string{addr}, Rate: 200, For: time.Second, Conns: 50, Keys: 10, Zipf: 1, MaxRetries: 2, ValueSize: 2,
		Classes: []Class{{Name: "read", Share: 1, Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1}}}
}

// A server that stalls once is charged for all requests that were due during the stall, even if all connections are in use.
func TestStallIsNotOmitted(t *testing.T) {
	var stall sync.Once
	var stallLock sync.RWMutex
	addr := serveAnswers(t, func(n int, id string) string {
		if n == 60 {
			stall.Do(func() { stallLock.Lock(); time.Sleep(300 * time.Millisecond); stallLock.Unlock() })
		}
		stallLock.RLock()
		defer stallLock.RUnlock()
		return "VA 2 " + id + "\r\nhi\r\n"
	})
	p := testPlan(addr)
	p.Conns = 2
	r, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.P90 < 50 || c.Max < 250 || c.Served != c.Sent || r.Late < 10 || c.Service > 0.95 {
		t.Errorf("the stall is missing: %+v, %d late", c, r.Late)
	}
}

// Refused requests are retried after the time in the response; others are not retried. Failed and lost requests are
// counted separately. The response to a request depends on its ID, not on the order of arrival, which differs between
// machines.
func TestOutcomes(t *testing.T) {
	addr := serveAnswers(t, func(_ int, id string) string {
		wireID, err := strconv.ParseUint(strings.TrimPrefix(id, "O"), 16, 64)
		if err != nil {
			t.Errorf("%q is no request ID: %v", id, err)
		}
		isFirstAttempt := wireID&15 == 0
		switch requestID := wireID >> 4; {
		case requestID%5 == 0 && isFirstAttempt:
			return "SERVER_ERROR busy 5\r\n"
		case requestID%5 == 1:
			return "SERVER_ERROR failed\r\n"
		case requestID%5 == 2:
			return ""
		case requestID%5 == 3:
			return "SERVER_ERROR busy 5\r\n"
		}
		return "VA 2 " + id + "\r\nhi\r\n"
	})
	p := testPlan(addr)
	p.Classes = append(p.Classes, Class{Name: "write", Share: 0.5, Aim: time.Second, Deadline: time.Second, Worth: 1, Write: true})
	r, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.Sent != c.Served+c.Refused+c.Failed+c.Lost || c.Failed == 0 || c.Lost == 0 || c.Served == 0 || c.Refused == 0 ||
		c.Retries <= 2*c.Refused {
		t.Errorf("%+v", c)
	}
	if w := r.Classes[1]; w.Sent == 0 || w.Served+w.Lost != w.Sent {
		t.Errorf("%+v", w)
	}
	var text, line bytes.Buffer
	if r.WriteText(&text) != nil || r.WriteJSON(&line) != nil || !strings.Contains(text.String(), "write") ||
		!strings.Contains(line.String(), `"p99"`) {
		t.Errorf("%s %s", &text, &line)
	}
}

// A closed loop sends a request as soon as the previous one is answered, and ends in time.
func TestClosedLoop(t *testing.T) {
	p := testPlan(serveAnswers(t, func(_ int, id string) string { return "VA 2 " + id + "\r\nhi\r\n" }))
	p.Rate, p.For, p.Conns = 0, 200*time.Millisecond, 4
	r, err := Run(context.Background(), p)
	if err != nil || r.Classes[0].Served < 100 {
		t.Errorf("%+v, %v", r, err)
	}
}

// Load is sent to loopback addresses only and is bounded.
func TestCheck(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"no loopback address": func(p *Plan) { p.Addrs = []string{"10.0.0.1:80"} },
		"up to an hour":       func(p *Plan) { p.For = 2 * time.Hour },
		"1 to 5000":           func(p *Plan) { p.Conns = 0 },
		"no class":            func(p *Plan) { p.Classes = nil },
		"missing port":        func(p *Plan) { p.Addrs = []string{"127.0.0.1"} },
	} {
		p := testPlan("127.0.0.1:1")
		change(&p)
		if _, err := Run(context.Background(), p); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
