package buffer

import (
	"io"
	"net"
	"strings"
	"testing"
)

// What is left of one read comes again before the next, and the end of the stream is told.
func TestReader(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	text := strings.Repeat("0123456789", 2*Size/10)
	go func() {
		if conn, err := l.Accept(); err == nil {
			io.WriteString(conn, text)
			conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r, err := NewReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for err == nil {
		err = r.Next(func(b []byte) int {
			if used := len(b) / 2; used > 0 {
				b = b[:used]
			}
			got.Write(b)
			return len(b)
		})
	}
	rest := string(r.rest)
	if err != io.EOF || got.String()+rest != text || r.Unread() != len(rest) {
		t.Errorf("%v after %d bytes and %d, want the end after %d", err, got.Len(), len(rest), len(text))
	}
	if err := (&Reader{rest: make([]byte, Most)}).Next(nil); err != io.ErrShortBuffer {
		t.Errorf("too much: %v", err)
	}
}
