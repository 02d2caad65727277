package main

import (
	"testing"

	"pgregory.net/rapid"

	"hoptiller/internal/config"
	_ "hoptiller/internal/draws"
	"hoptiller/internal/plan"
)

// Whatever the limits: what all sides together may hold stays within them, also of two processes that share a socket,
// and each side has something.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &config.Config{Sockets: rapid.IntRange(128, 4096).Draw(t, "sockets"), MemoryMB: rapid.Int64Range(16, 2048).Draw(t, "memory")}
		processes := 1
		if rapid.Bool().Draw(t, "admin") {
			c.Admin = "127.0.0.1:1"
		}
		if rapid.Bool().Draw(t, "shared") {
			c.SocketFD, processes = "4", 2
		}
		s := divide(c, &plan.Limits{})
		if all := processes * (own + s.operators + s.clients + s.providers + s.origins); all > c.Sockets {
			t.Fatalf("%+v: %d descriptors of %d", s, all, c.Sockets)
		}
		if memory := processes * (s.heap + s.long); memory > int(c.MemoryMB)<<20 {
			t.Fatalf("%+v: %d bytes of %d MB", s, memory, c.MemoryMB)
		}
		if s.clients < 8 || s.providers < 4 || s.origins < 1 || s.open < 1 || (s.operators > 0) != (c.Admin != "") {
			t.Fatalf("%+v", s)
		}
	})
}

// Connections are shared where they or their handshakes have a price, and only there.
func TestSharing(t *testing.T) {
	for fees, want := range map[string]int{``: 1, `,"fees":{"connection":0,"handshake":0,"waste":0.3}`: 1,
		`,"fees":{"connection":0.04}`: sharedBy, `,"fees":{"handshake":0.01}`: sharedBy} {
		c, err := config.Parse([]byte(`{"settings":{"classes":[{"name":"read","effect":"idempotent","onTime":1,"deadline":1,"worth":1}]` + fees + `}}`))
		if err != nil {
			t.Fatal(err)
		}
		if got := sharing(c); got != want {
			t.Errorf("%q: %d calls on a connection, want %d", fees, got, want)
		}
	}
}
