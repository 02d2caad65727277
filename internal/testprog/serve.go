package testprog

import (
	"context"
	"net"
	"testing"
)

// Serve runs a server on a listener of its own until the test ends, and gives a function that connects to it.
func Serve(t *testing.T, serve func(ctx context.Context, l net.Listener) error) (dial func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, l) }()
	t.Cleanup(func() {
		end()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
}
