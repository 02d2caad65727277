package main

import (
	"testing"

	"pgregory.net/rapid"

	"hoptiller/internal/config"
	_ "hoptiller/internal/draws"
	"hoptiller/internal/plan"
)

// TestDivideResources checks that for any limits the shares of all parts together stay within them, also those of two processes
// that share a socket, and that each part has a share.
func TestDivideResources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &config.Config{Sockets: rapid.IntRange(128, 4096).Draw(t, "sockets"),
			MemoryMB: rapid.Int64Range(16, 2048).Draw(t, "memory")}
		processes := 1
		if rapid.Bool().Draw(t, "admin") {
			c.Admin = "127.0.0.1:1"
		}
		if rapid.Bool().Draw(t, "shared") {
			c.SocketFD, processes = "4", 2
		}
		s := divideResources(c, &plan.Limits{})
		if all := processes * (ownDescriptors + s.operatorConns + s.clientConns + s.cacheConns + s.originConns); all > c.Sockets {
			t.Fatalf("%+v: %d descriptors of %d", s, all, c.Sockets)
		}
		if memory := processes * (s.heapBytes + s.longValueBytes); memory > int(c.MemoryMB)<<20 {
			t.Fatalf("%+v: %d bytes of %d MB", s, memory, c.MemoryMB)
		}
		if s.clientConns < 8 || s.cacheConns < 4 || s.originConns < 1 ||
			s.extraInvocations < 1 || (s.operatorConns > 0) != (c.Admin != "") {
			t.Fatalf("%+v", s)
		}
	})
}

// TestCallsPerConn checks that calls share connections if connections or handshakes have a price, and only then.
func TestCallsPerConn(t *testing.T) {
	for fees, want := range map[string]int{``: 1, `,"fees":{"connection":0,"handshake":0,"waste":0.3}`: 1,
		`,"fees":{"connection":0.04}`: callsPerSharedConn, `,"fees":{"handshake":0.01}`: callsPerSharedConn} {
		c, err := config.Parse([]byte(`{"settings":{"classes":[{"name":"read","effect":"idempotent","onTime":1,"deadline":1,"worth":1}]` + fees + `}}`))
		if err != nil {
			t.Fatal(err)
		}
		if got := callsPerConn(c); got != want {
			t.Errorf("%q: %d calls on a connection, want %d", fees, got, want)
		}
	}
}
