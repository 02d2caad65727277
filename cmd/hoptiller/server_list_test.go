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

// runScenarioWith starts the program with one part of its configuration replaced and runs a scenario.
func runScenarioWith(t *testing.T, from, to, scenario string) {
	t.Helper()
	startProgramWith(t, []string{"p1"}, "", from, to).runScenario(t, t.Name(), strings.Split(scenario, "\n"))
}

// TestPushedListIsWatched checks that the program opens a watch even if the settings say that lists are pushed. Without a watch
// it would never learn that a server is draining.
func TestPushedListIsWatched(t *testing.T) {
	t.Parallel()
	runScenarioWith(t, `"membershipMode":"on_request"`, `"membershipMode":"pushed"`, `
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

// maxListDelay is the maximum time until the program knows of a change that discovery has and would return to a call.
const maxListDelay = 6 * time.Second

// TestListRetriesWithinLimit checks that after any number of failed calls for the list, the longest failing call and the longest
// wait before the next call leave time for an answer within maxListDelay.
func TestListRetriesWithinLimit(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(500) {
		now := time.Hour
		f := hoptiller.NewFacade(now, hoptiller.Settings{FetchListWithin: 10 * time.Second}, seed, func() {})
		for range 8 {
			for orders := f.Tick(now); !orders.Watch; orders = f.Tick(now) {
				now = orders.NextTick
			}
			f.UpdateServers(now, hoptiller.ListFailed, nil)
			longest = max(longest, f.Tick(now).NextTick-now)
		}
	}
	call := discovery.PlatformTimeouts.FailureDetectionTime()
	t.Logf("longest call %v, longest wait %v", call, longest)
	if call+longest > maxListDelay-250*time.Millisecond {
		t.Errorf("a call of %v and a wait of %v leave no time for an answer within %v", call, longest, maxListDelay)
	}
}

// TestListArrivesDespiteFailedCalls covers a change of the list that comes when the open watch has just become silent, was never
// answered, or stopped after its head, and when the next calls are refused. The program must know of the change within 6 s.
func TestListArrivesDespiteFailedCalls(t *testing.T) {
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
		"nothing after the head":              head,
		"reset, then refused, then refused":   "\nd close" + refuse + refuse,
		"half a message":                      head + "\n" + `d chunk {"version":2,`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startProgram(t, []string{"p1"}, "")
			play := func(text string) { w.runScenario(t, name, strings.Split(text, "\n")) }
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
			if took := time.Since(began); took > maxListDelay {
				t.Errorf("the change was known after %v", took)
			}
		})
	}
}

// TestIndentedList checks that a list in indented JSON is read completely, whatever its strings contain.
func TestIndentedList(t *testing.T) {
	t.Parallel()
	startProgram(t, []string{"p1"}, "").runScenario(t, t.Name(), strings.Split(`
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

// TestConcurrentReloads sends three reloads at once: they change the discovery service, change it back, and change it again.
// The last one must take effect, whichever of the first two are noticed. The test answers every watch at the new service, since
// the first watch may belong to an earlier reload.
func TestConcurrentReloads(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	w.runScenario(t, t.Name(), strings.Split(`
		d expect GET /registry/instances?watch=1&after=1 HTTP/1.1
		d wait
		program send d2
		program send d
		program send d2
		d2 wait GET /registry/instances?watch=1&after=0 HTTP/1.1`, "\n"))
	newDiscovery := w.actors["d2"]
	answer := func(conn net.Conn) {
		list := w.expandMacros(`{"version":1,"full":true,"servers":[{p2 active 0},{o active 0}]}`)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	}
	answer(newDiscovery.conn)
	go func() {
		for l := range newDiscovery.lines {
			if strings.HasPrefix(l.text, "GET ") {
				answer(l.conn)
			}
		}
	}()
	w.runScenario(t, t.Name(), strings.Split(`
		d wait <closed>`, "\n"))
	asked := 0
	testprog.Eventually(t, "the list of the last service is in use", func() bool {
		asked++
		fmt.Fprintf(dial(t, w.actors["program"].addr), "mg k1 v O%d Pc=read,d=9000\r\n", asked)
		return len(w.actors["p2"].lines) > 0
	})
}
