package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"hoptiller"
	"hoptiller/internal/discovery"
	"hoptiller/internal/testprog"
)

// play plays the lines of a scenario in this program's world, whatever stands in the place of a part of its configuration.
func play(t *testing.T, from, to, scenario string) {
	t.Helper()
	startWith(t, []string{"p1"}, "", from, to).play(t, t.Name(), strings.Split(scenario, "\n"))
}

// Where the settings say that lists are pushed, they come on a watch all the same: without one the program would never
// hear of a drain.
func TestPushedListIsWatched(t *testing.T) {
	t.Parallel()
	play(t, `"membershipMode":"on_request"`, `"membershipMode":"pushed"`, `
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send VA 1 O01\r\nx
		c1 expect VA 1 O01
		c1 expect x
		d send HTTP/1.1 200 OK
		d send Transfer-Encoding: chunked
		d send
		d chunk {"version":4,"full":false,"servers":[{p1 leaving 0},{p2 active 0}]}
		p1 expect <closed>
		c1 send mg k1 v O02 Pc=read,d=9000
		p2 expect mg k1 *
		p2 send VA 1 O02\r\ny
		c1 expect VA 1 O02
		c1 expect y
		d close
		d wait GET /registry/instances?watch=1&after=4 HTTP/1.1`)
}

// toldIn is in what time a change has to be known that discovery has and could be asked for.
const toldIn = 6 * time.Second

// However many calls for the list have failed, the longest that comes to nothing and the longest wait before the next leave
// time for its answer.
func TestWaitsForTheListAddUp(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(500) {
		now := time.Hour
		f := hoptiller.NewFacade(now, hoptiller.Settings{AskWithin: 10 * time.Second}, seed, func() {})
		for range 8 {
			for orders := f.Tick(now); !orders.Watch; orders = f.Tick(now) {
				now = orders.Next
			}
			f.Directory(now, hoptiller.ListFailed, nil)
			longest = max(longest, f.Tick(now).Next-now)
		}
	}
	call := discovery.PlatformTimes.Longest()
	t.Logf("longest call %v, longest wait %v", call, longest)
	if call+longest > toldIn-250*time.Millisecond {
		t.Errorf("%v for a call and %v until the next leave no time for its answer in %v", call, longest, toldIn)
	}
}

// Crossing: a change comes when the watch that was to tell it has just fallen silent, was never answered, or stopped after its
// head, and the call after that is refused. It is known in 6 s all the same.
func TestToldThoughCallsFail(t *testing.T) {
	t.Parallel()
	refuse := `
		d wait GET /registry/instances?watch=1&after=* HTTP/1.1
		d wait
		d send HTTP/1.1 503 Busy
		d send Content-Length: 0
		d send`
	head := `
		d send HTTP/1.1 200 OK
		d send Transfer-Encoding: chunked
		d send`
	for name, fails := range map[string]string{
		"silent from the start, then refused": head + "\n" + `d chunk {"version":2,"full":false,"servers":[]}` + refuse,
		"never answered":                      "",
		"no word after the head":              head,
		"reset, then refused, then refused":   "\nd close" + refuse + refuse,
		"half a message":                      head + "\n" + `d chunk {"version":2,`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, []string{"p1"}, "")
			play := func(text string) { w.play(t, name, strings.Split(text, "\n")) }
			play(`
				d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
				d wait
				c1 send mg k1 v O01 Pc=read,d=9000
				p1 expect mg k1 *
				p1 send VA 1 O01\r\nx
				c1 expect VA 1 O01
				c1 expect x`)
			began := time.Now()
			play(fails)
			play(`
				d wait GET /registry/instances?watch=1&after=* HTTP/1.1
				d wait` + head + `
				d chunk {"version":4,"full":false,"servers":[{p1 leaving 0},{p2 active 0}]}
				p1 expect <closed>`)
			if took := time.Since(began); took > toldIn {
				t.Errorf("told after %v", took)
			}
		})
	}
}

// An indented list is read whole, whatever its strings hold.
func TestIndentedList(t *testing.T) {
	t.Parallel()
	start(t, []string{"p1"}, "").play(t, t.Name(), strings.Split(`
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send VA 1 O01\r\nx
		c1 expect VA 1 O01
		c1 expect x
		d send HTTP/1.1 200 OK
		d send Transfer-Encoding: chunked
		d send
		d chunk {
		d chunk  "version": 4, "note": "a } and a \" here",
		d chunk  "servers": [
		d chunk   {p1 leaving 0},
		d chunk   {p2 active 0}
		d chunk  ]
		d chunk }
		p1 expect <closed>
		c1 send mg k1 v O02 Pc=read,d=9000
		p2 expect mg k1 *`, "\n"))
}

// Crossing: three reloads at once, which move discovery, move it back, and move it again. Whatever of the first two is seen, the last one
// holds: each watch that the new service is asked for is answered, since the first may belong to a reload that is over by then.
func TestTwoReloadsAtOnce(t *testing.T) {
	t.Parallel()
	w := start(t, []string{"p1"}, "")
	w.play(t, t.Name(), strings.Split(`
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		program send d2
		program send d
		program send d2
		d2 wait GET /registry/instances?watch=1&after=0 HTTP/1.1`, "\n"))
	moved := w.actors["d2"]
	answer := func(conn net.Conn) {
		list := w.expand(`{"version":1,"full":true,"servers":[{p2 active 0},{o active 0}]}`)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	}
	answer(moved.conn)
	go func() {
		for l := range moved.lines {
			if strings.HasPrefix(l.text, "GET ") {
				answer(l.conn)
			}
		}
	}()
	w.play(t, t.Name(), strings.Split(`
		d wait <closed>`, "\n"))
	asked := 0
	testprog.Until(t, "the list of the last service holds", func() bool {
		asked++
		fmt.Fprintf(dial(t, w.actors["program"].addr), "mg k1 v O%d Pc=read,d=9000\r\n", asked)
		return len(w.actors["p2"].lines) > 0
	})
}
