package testprog

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenWithFullQueue opens a listener whose accept queue is full, so that no further connection can be established until
// listen is called. listen empties the queue and returns the listener. Connections that clients have tried to open meanwhile
// are established when the kernel retries, after a second.
func ListenWithFullQueue(t testing.TB) (addr string, listen func() net.Listener) {
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
			t.Fatal("the accept queue of the listener does not fill up")
		}
	}
	return addr, func() net.Listener {
		for i, conn := range queue {
			if _, err := l.Accept(); err != nil {
				t.Fatal(fmt.Errorf("accept connection %d of the queue: %w", i, err))
			}
			conn.Close()
		}
		return l
	}
}
