package buffer

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"hoptiller/internal/testprog"
)

// AwaitPeerClose consumes none of the bytes that arrive before the peer's end, and returns at that end if no bytes precede
// it.
func TestAwaitEndReadsNothing(t *testing.T) {
	for name, sent := range map[string]string{"silent": "", "speaks": "hello"} {
		t.Run(name, func(t *testing.T) {
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
			if _, err := peer.Write([]byte(sent)); err != nil {
				t.Fatal(err)
			}
			conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if err := r.AwaitPeerClose(); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("waiting for an end that does not come returned %v", err)
			}
			conn.SetReadDeadline(time.Now().Add(testprog.WaitTimeout))
			conn.(*net.TCPConn).CloseWrite()
			peer.(*net.TCPConn).CloseWrite()
			if err := r.AwaitPeerClose(); err != nil {
				t.Errorf("waiting for an end that comes returned %v", err)
			}
			conn.SetReadDeadline(time.Now().Add(testprog.WaitTimeout))
			got := ""
			r.Next(func(b []byte) int { got = string(b); return len(b) })
			if got != sent {
				t.Errorf("%q of %q was still readable", got, sent)
			}
		})
	}
}
