package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// startWithDelayedCache starts the program in an environment where connections to p1 are established only after listen is
// called. The connect timeout in the settings is long enough for that.
func startWithDelayedCache(t *testing.T) (w *environment, listen func() net.Listener) {
	addr, listen := testprog.ListenWithFullQueue(t)
	w = startProgramWith(t, nil, "", `"known":{"version":1,"full":true,"servers":[`,
		fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"zone":"x","kind":"cache","cell":0,"state":"active","weight":1},`, addr),
		`"connectTimeout":250000`, `"connectTimeout":9000000`)
	return w, listen
}

// linesBefore reads lines from all connections of a listener until one matches last, and returns the lines before it.
func linesBefore(t *testing.T, l net.Listener, last string) (others []string) {
	lines := make(chan string, 1000)
	testprog.Accept(l, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for text, err := r.ReadString('\n'); err == nil; text, err = r.ReadString('\n') {
			lines <- strings.TrimRight(text, "\r\n")
		}
	})
	for {
		text := testprog.Await(t, lines, "line "+last)
		if matchesPattern(last, text) {
			return others
		}
		others = append(others, text)
	}
}

// TestClientsDisconnectDuringDial covers a race: clients disconnect, one or many at once, while the connections to the cache
// that their requests wait for are being established. Their requests must not be forwarded; the request of a client
// that stays must be forwarded.
func TestClientsDisconnectDuringDial(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"one": 1, "burst": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, listen := startWithDelayedCache(t)
			conns := make([]net.Conn, n)
			for i := range conns {
				conns[i] = dial(t, w.actors["program"].addr)
				fmt.Fprintf(conns[i], "mg k%d v O%d Pc=read,d=9000\r\n", i, i)
			}
			stays := dial(t, w.actors["program"].addr)
			fmt.Fprint(stays, "mg stays v O9999 Pc=read,d=9000\r\n")
			pending := fmt.Sprintf(`*"pending":%d,*`, n+1)
			if err := w.pollAdmin("/v1/metrics " + pending); err != nil {
				t.Fatal(err)
			}
			var closing sync.WaitGroup
			for _, conn := range conns {
				closing.Go(func() { conn.Close() })
			}
			closing.Wait()
			if err := w.pollAdmin(`/v1/metrics *"pending":1,*`); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for _, text := range linesBefore(t, listen(), "mg stays v O9999 *") {
				t.Errorf("%v after the clients had disconnected the cache received %q", time.Since(began), text)
			}
		})
	}
}

// TestClientDisconnectsAfterMiss covers a race: a client disconnects after its request missed the cache and before the
// connection to the origin is established. Nothing must be fetched for it.
func TestClientDisconnectsAfterMiss(t *testing.T) {
	t.Parallel()
	addr, listen := testprog.ListenWithFullQueue(t)
	w := startProgramWith(t, []string{"p1"}, "", `"known":{"version":1,"full":true,"servers":[`,
		fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-0000000e","addr":%q,"zone":"x","kind":"origin","cell":0,"state":"active","weight":1},`, addr),
		`"connectTimeout":250000`, `"connectTimeout":9000000`, `{o active 0},`, ``)
	w.runScenario(t, t.Name(), strings.Split(`
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send EN O01
		c2 send mg k2 v O02 Pc=read,d=9000
		p1 expect mg k2 *
		p1 send EN O02
		c1 close`, "\n"))
	if err := w.pollAdmin(`/v1/metrics *"pending":1,*`); err != nil {
		t.Fatal(err)
	}
	for _, text := range linesBefore(t, listen(), "GET /k2 *") {
		if strings.HasPrefix(text, "GET") {
			t.Errorf("after its client had disconnected the origin received %q", text)
		}
	}
}
