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

// answers serves meta requests on a loopback port; answer tells what to say to the n-th.
func answers(t *testing.T, answer func(n int, id string) string) string {
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
					word := strings.Fields(lines.Text())
					if word[0] == "ms" {
						lines.Scan()
						fmt.Fprintf(c, "HD %s cr1\r\n", word[3])
						continue
					}
					text := answer(int(n.Add(1)), word[3])
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

func plan(addr string) Plan {
	return Plan{Addrs: []string{addr}, Rate: 200, For: time.Second, Conns: 50, Keys: 10, Zipf: 1, Retries: 2, Value: 2,
		Classes: []Class{{Name: "read", Share: 1, Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1}}}
}

// A server that stalls once is charged for all who would have asked meanwhile, also where the connections are all in use.
func TestStallIsNotOmitted(t *testing.T) {
	var stall sync.Once
	var held sync.RWMutex
	addr := answers(t, func(n int, id string) string {
		if n == 60 {
			stall.Do(func() { held.Lock(); time.Sleep(300 * time.Millisecond); held.Unlock() })
		}
		held.RLock()
		defer held.RUnlock()
		return "VA 2 " + id + "\r\nhi\r\n"
	})
	p := plan(addr)
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

// Refused requests come again when they were told to, others not; what fails and what is lost is told apart. What a
// request meets hangs on its own number, not on the order of arrival, which differs from one machine to the next.
func TestOutcomes(t *testing.T) {
	addr := answers(t, func(_ int, id string) string {
		word, err := strconv.ParseUint(strings.TrimPrefix(id, "O"), 16, 64)
		if err != nil {
			t.Errorf("%q is no number of a request: %v", id, err)
		}
		first := word&15 == 0
		switch number := word >> 4; {
		case number%5 == 0 && first:
			return "SERVER_ERROR busy 5\r\n"
		case number%5 == 1:
			return "SERVER_ERROR failed\r\n"
		case number%5 == 2:
			return ""
		case number%5 == 3:
			return "SERVER_ERROR busy 5\r\n"
		}
		return "VA 2 " + id + "\r\nhi\r\n"
	})
	p := plan(addr)
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
	if r.WriteText(&text) != nil || r.WriteJSON(&line) != nil || !strings.Contains(text.String(), "write") || !strings.Contains(line.String(), `"p99"`) {
		t.Errorf("%s %s", &text, &line)
	}
}

// A closed loop asks as fast as it is answered, and all ends in time.
func TestClosedLoop(t *testing.T) {
	p := plan(answers(t, func(_ int, id string) string { return "VA 2 " + id + "\r\nhi\r\n" }))
	p.Rate, p.For, p.Conns = 0, 200*time.Millisecond, 4
	r, err := Run(context.Background(), p)
	if err != nil || r.Classes[0].Served < 100 {
		t.Errorf("%+v, %v", r, err)
	}
}

// Load goes to this machine alone, and is bounded.
func TestCheck(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"no loopback address": func(p *Plan) { p.Addrs = []string{"10.0.0.1:80"} },
		"up to an hour":       func(p *Plan) { p.For = 2 * time.Hour },
		"1 to 5000":           func(p *Plan) { p.Conns = 0 },
		"no class":            func(p *Plan) { p.Classes = nil },
		"missing port":        func(p *Plan) { p.Addrs = []string{"127.0.0.1"} },
	} {
		p := plan("127.0.0.1:1")
		change(&p)
		if _, err := Run(context.Background(), p); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
