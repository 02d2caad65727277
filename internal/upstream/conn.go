package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

// answerStall is how long an answer that has begun may stop before its end.
const answerStall = 150 * time.Millisecond

// conn is one connection. Its calls are answered in order.
type conn struct {
	net.Conn
	pool   *Pool
	server *server
	host   string // its name
	reader *buffer.Reader
	idleAt time.Time

	write sync.Mutex // held while a call is queued and written

	// Guarded by pool.mu.
	load   int     // calls that are on it or about to be
	calls  []*call // those that wait for their answer
	body   *body   // a long value is on its way: until its end nothing behind it can be
	ending bool    // some call on it was given up: it ends when the others have their answers
	dead   bool
	useful bool // something was answered on it
}

// call is one call that waits for its answer.
type call struct {
	inv       *relay.Invocation
	sent      time.Time
	done      chan relay.Result // has room for the one result
	abandoned bool
}

// drop closes a connection whose other side has ended or broken it: what is out on it is reset.
// p.mu is held.
func (p *Pool) drop(c *conn) { p.end(c, hoptiller.Reset) }

// end closes a connection; what is out on it ends with a status. p.mu is held.
func (p *Pool) end(c *conn, status hoptiller.Status) {
	if c.dead {
		return
	}
	c.dead = true
	c.Close()
	p.total--
	s := c.server
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	for _, out := range c.calls {
		out.done <- relay.Result{Status: status}
	}
	c.calls = nil
}

// failUnreadable ends a connection on which something has come that can't be read. The server did answer the
// first call, which may have run. Those behind it end by this router's choice and no fault of theirs.
// p.mu is held.
func (p *Pool) failUnreadable(c *conn) {
	calls := c.calls
	if len(calls) > 0 {
		c.calls = calls[1:]
	}
	p.end(c, hoptiller.Cancelled) // first: as long as it is open, a call on it counts as out
	if len(calls) > 0 {
		calls[0].done <- relay.Result{Status: hoptiller.ServerError}
	}
}

// abandon gives a call up, unless its answer has come meanwhile. Only the end of its connection tells the
// server, and that ends all calls on it; so where there are others, the connection only takes no more
// calls, and ends with the last of them. A router that wants to call again must not wait for that: until
// then the call counts as still out.
func (p *Pool) abandon(c *conn, out *call) (r relay.Result, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r = <-out.done:
		return r, true
	default:
	}
	// Its answer may still come, when the invocation's buffer has gone back to the pool.
	inv := *out.inv
	inv.ID = bytes.Clone(inv.ID)
	out.inv, out.abandoned = &inv, true
	c.ending = true
	if c.dropIfUnused(); c.dead {
		return r, false
	}
	r.End = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.body != nil { // that one's client has begun to get it
			return false
		}
		p.end(c, hoptiller.Cancelled) // the neighbours too, by no fault of the server's
		return true
	}
	return r, false
}

// dropIfUnused ends a connection that is to end once nobody waits for anything on it. p.mu is held.
func (c *conn) dropIfUnused() {
	if c.body != nil {
		return
	}
	for _, out := range c.calls {
		if !out.abandoned {
			return
		}
	}
	if c.ending || c.server.Phase != hoptiller.Ready {
		c.pool.drop(c)
	}
}

// send writes a call, unless the connection has ended or is to end since it was chosen; then another may be. If it fails,
// it tells how: until the last byte is written the server can't have begun the call. The client may have left since the call
// was picked, its time be over, or the directory have spoken, and a drain binds when a call is sent; so the last look at all of
// these is here, behind everything that waits, and it says how much time the server is told.
func (c *conn) send(begin, ctx context.Context, out *call) (sent bool, status hoptiller.Status) {
	c.write.Lock() // calls are queued in the order in which they are written
	defer c.write.Unlock()
	p := c.pool
	left, again, status := c.enter(begin, ctx, out)
	if again || status != hoptiller.OK {
		return false, status
	}
	by, _ := begin.Deadline()
	buf := buffer.Get()
	defer buffer.Put(buf)
	attempt, free := newAttempt(buf[:], out.inv, c.host, left)
	head, tail := p.proto.Append(free, attempt)
	c.SetWriteDeadline(by)
	stop := context.AfterFunc(ctx, func() { c.SetWriteDeadline(time.Unix(1, 0)) })
	err := c.put(head, out.inv, tail)
	c.stopped(stop())
	if err == nil {
		if p.set.Called != nil {
			p.set.Called()
		}
		return true, hoptiller.OK
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls = slices.DeleteFunc(c.calls, func(o *call) bool { return o == out })
	p.drop(c) // half a call is on it
	if errors.Is(ctx.Err(), context.Canceled) {
		return false, hoptiller.Moot
	}
	if begin.Err() != nil {
		return false, notBegun(begin)
	}
	return false, hoptiller.ConnectFailed
}

// enter is the last look before a call's first byte: it queues the call if it is still wanted, listed and in time, and if the
// connection can still carry it; else another may. Of one that is queued it says how much time is left.
func (c *conn) enter(begin, ctx context.Context, out *call) (left time.Duration, again bool, status hoptiller.Status) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	left = timeLeft(ctx)
	switch {
	case c.dead || c.ending || c.body != nil:
		c.leave()
		return 0, true, hoptiller.OK
	case begin.Err() != nil:
		c.leave()
		return 0, false, notBegun(begin)
	case c.server.Phase != hoptiller.Ready || left < leastLeft:
		c.leave()
		return 0, false, hoptiller.Moot
	case len(c.calls) == 0 && c.useful && !c.reader.Resting(): // it has ended while it rested, or says what nobody asked for
		c.leave()
		p.drop(c)
		return 0, true, hoptiller.OK
	}
	out.sent = time.Now()
	c.calls = append(c.calls, out)
	return left, false, hoptiller.OK
}

// stopped is told whether the call's end can no longer cut off what is written. Where it may, nothing more is to be.
func (c *conn) stopped(stopped bool) {
	if stopped {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.ending = true; !c.dead {
		c.dropIfUnused()
	}
}

// put writes a call with its value.
func (c *conn) put(head []byte, inv *relay.Invocation, tail string) error {
	if !inv.Write {
		_, err := c.Write(head)
		return err
	}
	parts := net.Buffers{head, inv.Value}
	if inv.Long != nil {
		parts = inv.Long.Parts(parts)
	}
	if tail != "" {
		parts = append(parts, []byte(tail))
	}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// leave takes a call off the connection's count. p.mu is held.
func (c *conn) leave() {
	c.load--
	c.idleAt = time.Now()
	c.dropIfUnused()
	c.pool.reapLater(c.server)
}

// read takes the answers on a connection until it ends. An answer that has begun goes on, so one that stops
// is spoilt: to wait on would hold up all calls behind it until their time is up.
func (c *conn) read() {
	var err error
	r := c.reader
	ok, next := true, r.Next
	for ok && err == nil {
		var long *body
		err = next(func(b []byte) (used int) {
			used, long, ok = c.answers(b)
			return used
		})
		next = r.Next
		if long != nil {
			if long.reader = r; !long.hand() {
				return
			}
			next = r.Again // what has come behind it
		}
		if r.Unread() > 0 {
			c.SetReadDeadline(time.Now().Add(answerStall))
		} else {
			c.SetReadDeadline(time.Time{})
		}
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrShortBuffer) {
		p.failUnreadable(c)
		return
	}
	if !c.useful && !c.dead {
		p.observe(c.server, false)
	}
	p.drop(c)
}

// answers hands out the whole answers in b and tells how many bytes they took up, which long value follows
// those if one does, and whether the connection can be read on.
func (c *conn) answers(b []byte) (used int, long *body, ok bool) {
	p := c.pool
	p.mu.Lock() // also keeps a call from being given up while its answer is read
	defer p.mu.Unlock()
	for used < len(b) && !c.dead {
		// An answer that nothing asked for must not reach the next call, nor one that was read before that call was sent.
		if len(c.calls) == 0 || c.calls[0].sent.After(c.reader.At) {
			return used, nil, false
		}
		out := c.calls[0]
		reply, err := p.proto.Parse(b[used:], out.inv)
		if err != nil {
			p.failUnreadable(c)
			return used, nil, false
		}
		if reply.N == 0 {
			return used, nil, true
		}
		used += reply.N
		if reply.Report != nil && p.set.Reports != nil {
			p.set.Reports.Take(c.server.ID, reply.Report)
		}
		c.calls, c.useful = c.calls[1:], true
		p.observe(c.server, true)
		if s := c.server; out.sent.After(s.passed) {
			s.passed = out.sent
		}
		took := time.Since(out.sent)
		c.server.typical += (took - c.server.typical) / 16
		p.calls.Ended(took)
		if reply.Long != nil {
			p.longAt = time.Now()
			c.body = &body{conn: c, out: out, decoder: reply.Long, length: reply.Length, keep: reply.Keep, ended: make(chan struct{})}
			return used, c.body, true
		}
		r := relay.Result{Status: reply.Status}
		if reply.Status == hoptiller.OK && !out.abandoned {
			r.Data = bytes.Clone(reply.Data)
		}
		if c.leave(); !reply.Keep {
			p.drop(c)
		}
		out.done <- r
	}
	return used, nil, !c.dead
}
