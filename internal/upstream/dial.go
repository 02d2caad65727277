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

// errMoved reports that the server moved or restarted while a connection to it was being opened.
var errMoved = errors.New("server moved or restarted while the connection was opened")

// dial is a connection that is being opened. It continues when the call for which it was opened is cancelled: an
// aborted handshake costs the server as much as a completed one, and a connection that is established late serves the
// next call.
type dial struct {
	done      chan struct{} // closed when the dial has ended
	err       error         // valid when done is closed; nil: the connection is established
	conn      *conn         // the connection, if it is established
	abandoned bool          // the call no longer waits for the connection
}

// unsentStatus returns the status of a call whose sendCtx was done before the call was sent. The server is to blame
// only if all of the call's time passed without a connection.
func unsentStatus(sendCtx context.Context) hoptiller.Status {
	if errors.Is(context.Cause(sendCtx), context.DeadlineExceeded) {
		return hoptiller.ConnectFailed
	}
	return hoptiller.NotSent
}

// openConn opens a connection for a call and counts the call on it. The caller holds p.mu, which is released while
// openConn waits.
func (p *Pool) openConn(sendCtx context.Context, s *server) (*conn, hoptiller.Status) {
	if p.ctx.Err() != nil {
		return nil, hoptiller.NotSent
	}
	d := &dial{done: make(chan struct{})}
	addr, started := s.Addr, s.Started
	s.dialing++
	p.connCount++
	p.runningDials.Go(func() { p.runDial(d, s, addr, started) })
	p.mu.Unlock()
	select {
	case <-d.done:
	case <-sendCtx.Done():
	}
	p.mu.Lock()
	switch {
	case sendCtx.Err() != nil:
		if d.abandoned = true; d.conn != nil {
			d.conn.release()
		}
		return nil, unsentStatus(sendCtx)
	case d.err != nil:
		return nil, hoptiller.ConnectFailed
	}
	return d.conn, hoptiller.OK
}

// runDial opens a connection to the process of a server that is listed with the given address and start time.
func (p *Pool) runDial(d *dial, s *server, addr string, started time.Duration) {
	dialer := net.Dialer{Timeout: p.settings.ConnectTimeout, KeepAlive: -1}
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
		c := &conn{Conn: nc, pool: p, server: s, host: s.Name, addr: addr, opened: time.Now(), reader: reader,
			writeTurn: make(chan struct{}, 1), load: 1}
		d.conn, s.conns = c, append(s.conns, c)
		go c.readLoop()
		if d.abandoned {
			c.release()
		}
	} else {
		p.connCount--
		if nc != nil {
			nc.Close()
		}
	}
	close(d.done)
	s.dialEnded(err)
}

// dialEnded records that a dial has ended and notifies the calls that wait for one. The caller holds the pool's mu.
func (s *server) dialEnded(err error) {
	s.dialing--
	if nextDial := s.nextDial; nextDial != nil {
		s.nextDial, nextDial.err = nil, err
		close(nextDial.done)
	}
}

// awaitDial waits until a dial to the server has ended and returns the error of that dial, because another dial would
// hardly succeed where that one failed. It waits at most ConnectTimeout. The caller holds p.mu, which is released
// during the wait.
func (p *Pool) awaitDial(sendCtx context.Context, s *server) error {
	if s.nextDial == nil {
		s.nextDial = &dial{done: make(chan struct{})}
	}
	nextDial := s.nextDial
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-nextDial.done:
		return nextDial.err
	case <-sendCtx.Done():
		return sendCtx.Err()
	}
}
