package testprog

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Late opens a listener to which no further connection comes up, since its queue is full, until listen is called: that
// takes what is in the queue away, and gives a listener to which those that have tried meanwhile come up when they try again,
// after a second.
func Late(t testing.TB) (addr string, listen func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	addr = l.Addr().String()
	var queue []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		if queue = append(queue, conn); len(queue) > 100 {
			t.Fatal("the queue of a listener has no end")
		}
	}
	return addr, func() net.Listener {
		for i, conn := range queue {
			if _, err := l.Accept(); err != nil {
				t.Fatal(fmt.Errorf("connection %d of the queue: %w", i, err))
			}
			conn.Close()
		}
		return l
	}
}
