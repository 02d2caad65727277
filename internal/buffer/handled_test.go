package buffer

import (
	"net"
	"testing"

	"hoptiller/internal/testprog"
)

// While bytes that were read from the operating system are not handled yet, the connection is not quiet, although
// nothing is left to read.
func TestReadBytesAreNotQuietUntilHandled(t *testing.T) {
	l := testprog.Listen(t)
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r, err := NewReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Quiet() {
		t.Error("a connection on which nothing has arrived is not quiet")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := r.Next(func(b []byte) int {
		if r.Quiet() {
			t.Error("a connection is quiet while its bytes are being handled")
		}
		r.MarkHandled()
		return len(b)
	}); err != nil {
		t.Fatal(err)
	}
	if !r.Quiet() {
		t.Error("a connection is not quiet although everything is handled")
	}
}
