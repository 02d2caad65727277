package buffer

import (
	"net"
	"testing"

	"hoptiller/internal/testprog"
)

// What a read has taken from the system, and nobody has handled yet, keeps a connection from counting as at rest, though nothing is left
// to be read.
func TestReadBytesAreSeenUntilHandled(t *testing.T) {
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
	if !r.Resting() {
		t.Error("a connection on which nothing has come does not rest")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := r.Next(func(b []byte) int {
		if r.Resting() {
			t.Error("a connection rests whose bytes are being handled")
		}
		r.Handled()
		return len(b)
	}); err != nil {
		t.Fatal(err)
	}
	if !r.Resting() {
		t.Error("a connection does not rest though all is handled")
	}
}
