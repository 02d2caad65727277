package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller/internal/buffer"
)

const (
	// mostWaiting bounds how many clients a listener that closes still accepts: the longest backlog that the system allows by default.
	mostWaiting = 4096

	acceptPause   = 5 * time.Millisecond // after an accept that failed
	acceptRetries = 10                   // in a row, of a listener that closes while the system lacks what a connection needs
)

// errNobodyWaits tells that a listener has nobody to accept.
var errNobodyWaits = errors.New("nobody waits to be accepted")

// deadliner is a listener whose Accept can be told to end.
type deadliner interface{ SetDeadline(time.Time) error }

// SharedListener is a listener whose socket another process accepts from as well. Who waits at a stop is left to that one.
type SharedListener struct{ *net.TCPListener }

// stopAccepting has a listener's Accept end with os.ErrDeadlineExceeded, or with net.ErrClosed where it knows no deadline.
func stopAccepting(l net.Listener) {
	if d, ok := l.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		l.Close()
	}
}

// accept takes the clients of one listener until stop is closed, and then closes it.
func (f *Front) accept(ctx context.Context, g *errgroup.Group, l net.Listener, places chan struct{}, stop <-chan struct{}) {
	for f.evict(places, stop) {
		nc, err := l.Accept()
		if err == nil {
			f.admit(ctx, g, nc, places)
			continue
		}
		<-places
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		slog.Warn("accept failed", "err", err) // out of descriptors, or the client has left again: not the end of the listener
		time.Sleep(acceptPause)
	}
	f.closeListener(ctx, g, l, places)
}

// closeListener closes a listener and serves the clients who waited to be accepted by then, since the close resets those who still wait.
// Whoever finds no place is told to go elsewhere: the listener waits for none.
func (f *Front) closeListener(ctx context.Context, g *errgroup.Group, l net.Listener, places chan struct{}) {
	var waiting []net.Conn
	if _, shared := l.(SharedListener); !shared {
		waiting = acceptWaiting(l)
	}
	l.Close()
	for _, nc := range waiting {
		select {
		case places <- struct{}{}:
			f.admit(ctx, g, nc, places)
		default:
			f.turnAway(ctx, g, nc)
		}
	}
}

// acceptWaiting accepts the clients who wait, and no more than can have been waiting.
func acceptWaiting(l net.Listener) (waiting []net.Conn) {
	system, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil
	}
	for retries := 0; len(waiting) < mostWaiting && retries < acceptRetries; {
		nc, err := acceptNow(raw)
		switch {
		case errors.Is(err, errNobodyWaits):
			return waiting
		case err != nil:
			slog.Warn("accept failed as the listener closes", "err", err)
			retries++
			time.Sleep(acceptPause)
		default:
			retries = 0
			waiting = append(waiting, nc)
		}
	}
	return waiting
}

// acceptNow accepts a client that waits already, whatever the listener's deadline.
func acceptNow(raw syscall.RawConn) (net.Conn, error) {
	fd := -1
	var err error
	closed := raw.Control(func(listener uintptr) {
		for err = syscall.EINTR; err == syscall.EINTR || err == syscall.ECONNABORTED; {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	switch {
	case closed != nil, err == syscall.EAGAIN:
		return nil, errNobodyWaits
	case err != nil:
		return nil, os.NewSyscallError("accept4", err)
	}
	file := os.NewFile(uintptr(fd), "client")
	defer file.Close() // the connection has its own descriptor
	return net.FileConn(file)
}

// admit serves a client that has a place, and gives the place back when it is gone.
func (f *Front) admit(ctx context.Context, g *errgroup.Group, nc net.Conn, places chan struct{}) {
	c, err := f.newConn(nc)
	if err != nil {
		<-places
		nc.Close()
		return
	}
	f.conns.move(c, silent)
	f.thin()
	f.serve(ctx, g, c, func() { <-places })
}

// turnAway refuses what a client without a place asks, and ends its connection.
func (f *Front) turnAway(ctx context.Context, g *errgroup.Group, nc net.Conn) {
	c, err := f.newConn(nc)
	if err != nil {
		nc.Close()
		return
	}
	c.refused = true
	f.conns.move(c, silent)
	c.endIfIdle(max(f.Rest, 1), CloseDrained)
	f.serve(ctx, g, c, func() {})
}

// newConn makes a client connection that is not served yet.
func (f *Front) newConn(nc net.Conn) (*conn, error) {
	reader, err := buffer.NewReader(nc)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, front: f, reader: reader, pending: make(chan pendingAnswer, readAhead), freed: make(chan struct{}, 1),
		since: time.Now()}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.client = a.AddrPort().Addr().Unmap()
	}
	return c, nil
}

// serve serves a client until it is gone, and then calls left.
func (f *Front) serve(ctx context.Context, g *errgroup.Group, c *conn, left func()) {
	g.Go(func() error {
		defer left()
		c.serve(ctx)
		f.conns.leave(c)
		select {
		case f.left <- struct{}{}:
		default:
		}
		return nil
	})
}
