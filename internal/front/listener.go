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
	// maxBacklog bounds how many waiting clients are accepted when a listener closes. It is the longest backlog that the system
	// allows by default.
	maxBacklog = 4096

	acceptPause   = 5 * time.Millisecond // pause after a failed accept
	acceptRetries = 10                   // failed accepts in a row until a closing listener gives up, e.g. if descriptors run out
)

// errNoneWaiting is returned by acceptNow if no client waits to be accepted.
var errNoneWaiting = errors.New("no connection waits to be accepted")

// deadliner is a listener whose Accept can be ended by a deadline.
type deadliner interface{ SetDeadline(time.Time) error }

// SharedListener is a listener whose socket is shared with another process that accepts from it too. At a stop, the clients
// that wait to be accepted are left to that process.
type SharedListener struct{ *net.TCPListener }

// stopAccepting makes a listener's Accept return os.ErrDeadlineExceeded, or net.ErrClosed if it has no deadline.
func stopAccepting(l net.Listener) {
	if d, ok := l.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		l.Close()
	}
}

// accept accepts clients from one listener until stop is closed, and then closes the listener.
func (f *Front) accept(ctx context.Context, g *errgroup.Group, l net.Listener, slots chan struct{}, stop <-chan struct{}) {
	for f.acquireSlot(slots, stop) {
		nc, err := l.Accept()
		if err == nil {
			f.admit(ctx, g, nc, slots)
			continue
		}
		<-slots
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		// For example no descriptors are left, or the client has disconnected: the listener still works.
		slog.Warn("accept failed", "err", err)
		time.Sleep(acceptPause)
	}
	f.closeListener(ctx, g, l, slots)
}

// closeListener closes a listener. It first accepts the clients that wait in its backlog, since the close resets the
// connections that still wait. A client for which no slot is free is refused, since the listener must not wait for a slot.
func (f *Front) closeListener(ctx context.Context, g *errgroup.Group, l net.Listener, slots chan struct{}) {
	var waiting []net.Conn
	if _, shared := l.(SharedListener); !shared {
		waiting = acceptWaiting(l)
	}
	l.Close()
	for _, nc := range waiting {
		select {
		case slots <- struct{}{}:
			f.admit(ctx, g, nc, slots)
		default:
			f.refuse(ctx, g, nc)
		}
	}
}

// acceptWaiting accepts the clients that wait in the backlog of l, at most maxBacklog.
func acceptWaiting(l net.Listener) (waiting []net.Conn) {
	sysConn, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	for retries := 0; len(waiting) < maxBacklog && retries < acceptRetries; {
		nc, err := acceptNow(raw)
		switch {
		case errors.Is(err, errNoneWaiting):
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

// acceptNow accepts a client that already waits, regardless of the listener's deadline. It returns errNoneWaiting if none does.
func acceptNow(raw syscall.RawConn) (net.Conn, error) {
	fd := -1
	var err error
	controlErr := raw.Control(func(listener uintptr) {
		for err = syscall.EINTR; err == syscall.EINTR || err == syscall.ECONNABORTED; {
			fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	switch {
	case controlErr != nil, err == syscall.EAGAIN:
		return nil, errNoneWaiting
	case err != nil:
		return nil, os.NewSyscallError("accept4", err)
	}
	file := os.NewFile(uintptr(fd), "client")
	defer file.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}

// admit serves a client that has a slot, and frees the slot when the connection has ended.
func (f *Front) admit(ctx context.Context, g *errgroup.Group, nc net.Conn, slots chan struct{}) {
	c, err := f.newConn(nc)
	if err != nil {
		<-slots
		nc.Close()
		return
	}
	f.conns.setState(c, silent)
	f.endSurplusConn()
	f.serve(ctx, g, c, func() { <-slots })
}

// refuse rejects the requests of a client that has no slot, and ends its connection.
func (f *Front) refuse(ctx context.Context, g *errgroup.Group, nc net.Conn) {
	c, err := f.newConn(nc)
	if err != nil {
		nc.Close()
		return
	}
	c.rejectsRequests = true
	f.conns.setState(c, silent)
	c.endIfIdle(max(f.CommandGrace, 1), CloseDrained)
	f.serve(ctx, g, c, func() {})
}

// newConn wraps an accepted connection. It does not start to serve it.
func (f *Front) newConn(nc net.Conn) (*conn, error) {
	reader, err := buffer.NewReader(nc)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, front: f, reader: reader, answers: newAnswerQueue(),
		answerWritten: make(chan struct{}, 1), waitingSince: time.Now(), visible: progress{at: time.Now()}}
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.client = a.AddrPort().Addr().Unmap()
	}
	return c, nil
}

// serve starts a goroutine that serves a client until its connection has ended and then calls onEnd.
func (f *Front) serve(ctx context.Context, g *errgroup.Group, c *conn, onEnd func()) {
	g.Go(func() error {
		defer onEnd()
		c.serve(ctx)
		f.conns.remove(c)
		select {
		case f.connEnded <- struct{}{}:
		default:
		}
		return nil
	})
}
