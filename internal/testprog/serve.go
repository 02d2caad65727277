package testprog

import (
	"context"
	"net"
	"testing"
	"time"
)

// Serve runs a server on a listener of its own until the test ends. It returns a function that connects to the server.
// Reads from and writes to a connection fail once WaitTimeout has passed since it was opened.
func Serve(t *testing.T, serve func(ctx context.Context, l net.Listener) error) (dial func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := Await(t, done, "end of the server"); err != nil {
			t.Error(err)
		}
	})
	return func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(WaitTimeout))
		t.Cleanup(func() { conn.Close() })
		return conn
	}
}

// Accept starts a goroutine that accepts connections until the listener is closed and handles each in its own goroutine.
func Accept(l net.Listener, handle func(net.Conn)) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
}

// Listen returns a listener on a free loopback port that is closed when the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
