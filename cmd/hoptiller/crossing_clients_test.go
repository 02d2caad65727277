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

// startLate starts the program in a world where connections to p1 come up only once listen is called. Settings that
// wait so long for a connection are stated.
func startLate(t *testing.T) (w *world, listen func() net.Listener) {
	addr, listen := testprog.Late(t)
	w = startWith(t, nil, "", `"known":{"version":1,"full":true,"servers":[`,
		fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"zone":"x","kind":"cache","cell":0,"state":"active","weight":1},`, addr),
		`"connectTimeout":250000`, `"connectTimeout":9000000`)
	return w, listen
}

// came reads the lines that come on a listener's connections until one is as wanted, and gives the others.
func came(t *testing.T, l net.Listener, last string) (others []string) {
	lines := make(chan string, 1000)
	testprog.Accept(l, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for text, err := r.ReadString('\n'); err == nil; text, err = r.ReadString('\n') {
			lines <- strings.TrimRight(text, "\r\n")
		}
	})
	for {
		text := testprog.Await(t, lines, "line "+last)
		if like(last, text) {
			return others
		}
		others = append(others, text)
	}
}

// Crossing: clients leave, one or a burst of them, while the connections that their requests wait for are still coming up.
// None of their requests is sent on; that of one who stays is.
func TestClientsLeaveDuringDial(t *testing.T) {
	t.Parallel()
	for name, n := range map[string]int{"one": 1, "burst": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, listen := startLate(t)
			conns := make([]net.Conn, n)
			for i := range conns {
				conns[i] = dial(t, w.actors["program"].addr)
				fmt.Fprintf(conns[i], "mg k%d v O%d Pc=read,d=9000\r\n", i, i)
			}
			stays := dial(t, w.actors["program"].addr)
			fmt.Fprint(stays, "mg stays v O9999 Pc=read,d=9000\r\n")
			pending := fmt.Sprintf(`*"pending":%d,*`, n+1)
			if err := w.until("/v1/metrics " + pending); err != nil {
				t.Fatal(err)
			}
			var left sync.WaitGroup
			for _, conn := range conns {
				left.Go(func() { conn.Close() })
			}
			left.Wait()
			if err := w.until(`/v1/metrics *"pending":1,*`); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for _, text := range came(t, listen(), "mg stays v O9999 *") {
				t.Errorf("%v after the clients had left came %q", time.Since(began), text)
			}
		})
	}
}

// Crossing: a client leaves when its request has missed and the origin's connection is not up yet. Nothing is fetched for it.
func TestClientLeavesAfterMiss(t *testing.T) {
	t.Parallel()
	addr, listen := testprog.Late(t)
	w := startWith(t, []string{"p1"}, "", `"known":{"version":1,"full":true,"servers":[`,
		fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-0000000e","addr":%q,"zone":"x","kind":"origin","cell":0,"state":"active","weight":1},`, addr),
		`"connectTimeout":250000`, `"connectTimeout":9000000`, `{o active 0},`, ``)
	w.play(t, t.Name(), strings.Split(`
		c1 send mg k1 v O01 Pc=read,d=9000
		p1 expect mg k1 *
		p1 send EN O01
		c2 send mg k2 v O02 Pc=read,d=9000
		p1 expect mg k2 *
		p1 send EN O02
		c1 close`, "\n"))
	if err := w.until(`/v1/metrics *"pending":1,*`); err != nil {
		t.Fatal(err)
	}
	for _, text := range came(t, listen(), "GET /k2 *") {
		if strings.HasPrefix(text, "GET") {
			t.Errorf("after its client had left came %q", text)
		}
	}
}
