package main

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestListeningWaitsForResources checks that opening a listener is retried if the system lacks a resource for a moment, fails
// at once for any other error, and fails in the end if the lack lasts.
func TestListeningWaitsForResources(t *testing.T) {
	failure := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
	}
	for _, c := range []struct {
		name     string
		errno    syscall.Errno
		failures int
		patience time.Duration
		tries    int
		opens    bool
	}{
		{"no descriptors for a moment", syscall.EMFILE, 3, time.Minute, 4, true},
		{"no descriptors in the system", syscall.ENFILE, 1, time.Minute, 2, true},
		{"no buffers", syscall.ENOBUFS, 1, time.Minute, 2, true},
		{"no memory", syscall.ENOMEM, 1, time.Minute, 2, true},
		{"none ever", syscall.EMFILE, 1 << 30, 0, 1, false},
		{"an address in use", syscall.EADDRINUSE, 1, time.Minute, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tries := 0
			_, err := openWithRetries(c.patience, func() (struct{}, error) {
				if tries++; tries <= c.failures {
					return struct{}{}, failure(c.errno)
				}
				return struct{}{}, nil
			})
			if tries != c.tries || (err == nil) != c.opens || err != nil && !errors.Is(err, c.errno) {
				t.Errorf("%d tries, then %v", tries, err)
			}
		})
	}
}
