package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
)

// errMoved tells that the server has started anew while a connection to it came up.
var errMoved = errors.New("server has moved")

// dial is a connection that is being opened. It outlives the call that it was opened for: a handshake that is given up
// costs the server as much, and what comes up late is there for the next call.
type dial struct {
	done chan struct{} // closed when it has ended
	err  error         // then; nil: it is up
	conn *conn         // if it is up
	left bool          // the call has gone elsewhere
}

// notBegun is how a call ends whose time to begin is over. The server is to blame only where all of the call's time went
// by without a connection.
func notBegun(begin context.Context) hoptiller.Status {
	if errors.Is(context.Cause(begin), context.DeadlineExceeded) {
		return hoptiller.ConnectFailed
	}
	return hoptiller.Moot
}

// open opens a connection for a call and counts the call as on it. p.mu is held, but not while it waits.
func (p *Pool) open(begin context.Context, s *server) (*conn, hoptiller.Status) {
	if p.ctx.Err() != nil {
		return nil, hoptiller.Moot
	}
	d := &dial{done: make(chan struct{})}
	addr, started := s.Addr, s.Started
	s.dialing++
	p.total++
	p.dials.Go(func() { p.dial(d, s, addr, started) })
	p.mu.Unlock()
	select {
	case <-d.done:
	case <-begin.Done():
	}
	p.mu.Lock()
	switch {
	case begin.Err() != nil:
		if d.left = true; d.conn != nil {
			d.conn.leave()
		}
		return nil, notBegun(begin)
	case d.err != nil:
		return nil, hoptiller.ConnectFailed
	}
	return d.conn, hoptiller.OK
}

// dial opens a connection to where a process of the server was.
func (p *Pool) dial(d *dial, s *server, addr string, started time.Duration) {
	dialer := net.Dialer{Timeout: p.set.ConnectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(p.ctx, "tcp", addr)
	var reader *buffer.Reader
	if err == nil {
		reader, err = buffer.NewReader(nc)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.ctx.Err() != nil:
		err = p.ctx.Err()
	case err == nil && (s.Addr != addr || s.Started != started):
		err = errMoved
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.observe(s, false)
	}
	if d.err = err; err == nil {
		c := &conn{Conn: nc, pool: p, server: s, host: s.Name, addr: addr, opened: time.Now(), reader: reader, load: 1}
		d.conn, s.conns = c, append(s.conns, c)
		go c.read()
		if d.left {
			c.leave()
		}
	} else {
		p.total--
		if nc != nil {
			nc.Close()
		}
	}
	close(d.done)
	s.dialEnded(err)
}

// dialEnded takes a connection off those that are being opened, and tells who waits for one. The pool's mu is held.
func (s *server) dialEnded(err error) {
	s.dialing--
	if next := s.next; next != nil {
		s.next, next.err = nil, err
		close(next.done)
	}
}

// awaitDial waits until a connection to a server has come up, or tells why it did not: another one would hardly. It
// takes ConnectTimeout at the most. p.mu is held, but not while it waits.
func (p *Pool) awaitDial(begin context.Context, s *server) error {
	if s.next == nil {
		s.next = &dial{done: make(chan struct{})}
	}
	next := s.next
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-next.done:
		return next.err
	case <-begin.Done():
		return begin.Err()
	}
}
