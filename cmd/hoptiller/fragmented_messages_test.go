package main

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// writeByteByByte writes a text one byte at a time, with pauses that let the program read each byte separately.
func writeByteByByte(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	pause := time.NewTicker(2 * time.Millisecond)
	defer pause.Stop()
	for i := range len(text) {
		if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
			t.Fatalf("at byte %d of %q: %v", i, text, err)
		}
		<-pause.C
	}
}

// TestFragmentedMessages sends requests, answers of a cache server and of the origin, and a list one byte at a time. All must
// be read as if they had arrived in one piece.
func TestFragmentedMessages(t *testing.T) {
	t.Parallel()
	w := startProgram(t, []string{"p1"}, "")
	client := dial(t, w.actors["program"].addr)
	r := bufio.NewReader(client)
	server := func(name, want string) net.Conn {
		t.Helper()
		for from := w.actors[name]; ; {
			if next := testprog.Await(t, from.lines, want); matchesPattern(want, next.text) {
				return next.conn
			}
		}
	}
	expect := func(want string) {
		t.Helper()
		got := make([]byte, len(want))
		for i := range got {
			var err error
			if got[i], err = r.ReadByte(); err != nil {
				t.Fatalf("got %q, %v, not %q", got[:i], err, want)
			}
		}
		if string(got) != want {
			t.Fatalf("got %q, not %q", got, want)
		}
	}
	writeByteByByte(t, client, "mg k1 v O01 Pc=read,d=9000\r\n")
	writeByteByByte(t, server("p1", "mg k1 v O01 Pc=read,d=*"), "VA 4 O01 h1\r\na\r\nb\r\n")
	expect("VA 4 O01\r\na\r\nb\r\n")
	writeByteByByte(t, client, "mg k2 v O02 Pc=read,d=9000\r\nmn\r\n")
	writeByteByByte(t, server("p1", "mg k2 v O02 Pc=read,d=*"), "EN O02\r\n")
	server("o", "GET /k2 HTTP/1.1")
	writeByteByByte(t, server("o", ""), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	expect("VA 3 O02\r\nabc\r\nMN\r\n")
	writeByteByByte(t, client, "ms k3 8 O03 Pc=book,d=9000\r\nmn\r\nhi\r\n\r\n")
	server("o", "PUT /k3 HTTP/1.1")
	server("o", "")
	writeByteByByte(t, server("o", "hi"), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr3")
	expect("HD O03 cr3\r\n")
	watch := server("d", "GET /registry/instances?watch=1&after=1 HTTP/1.1")
	list := w.expandMacros(`{"version":4,"full":true,"servers":[{o active 0},{p2 active 0}]}`) + "\n"
	writeByteByByte(t, watch, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(list)))
	writeByteByByte(t, watch, list+"\r\n")
	server("p1", "<closed>")
	writeByteByByte(t, client, "mg k1 v O04 Pc=read,d=9000\r\n")
	writeByteByByte(t, server("p2", "mg k1 v O04 Pc=read,d=*"), "VA 1 O04\r\nx\r\n")
	expect("VA 1 O04\r\nx\r\n")
}
