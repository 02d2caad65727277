package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

// send writes a call, unless the connection has ended or is to end since it was chosen; then another may be. If it fails,
// it tells how: until the last byte is written the server can't have begun the call. The client may have left since the call
// was picked, its time be over, or the directory have spoken, and a drain binds when a call is sent; so the last look at all of
// these is here, behind everything that waits, and it says how much time the server is told. What is written is made before it: a
// process that is held up between the look and the write sends what may not be wanted any more.
func (c *conn) send(begin, ctx context.Context, out *call) (sent bool, status hoptiller.Status) {
	c.write.Lock() // calls are queued in the order in which they are written
	defer c.write.Unlock()
	p := c.pool
	by, _ := begin.Deadline()
	buf := buffer.Get()
	defer buffer.Put(buf)
	c.SetWriteDeadline(by)
	told := timeLeft(ctx)
	head, tail := c.prepare(buf, out.req, told)
	left, again, status := c.enter(begin, ctx, out)
	if again || status != hoptiller.OK {
		return false, status
	}
	if left/time.Millisecond < told/time.Millisecond { // it has waited for its turn
		head, tail = c.prepare(buf, out.req, left)
	}
	stop := context.AfterFunc(ctx, func() { c.SetWriteDeadline(time.Unix(1, 0)) })
	written, err := c.put(head, out.req, tail)
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
	if written == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave() // what others have out on it goes on
	} else {
		p.drop(c, CloseWriteFailed) // half a call is on it
	}
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
	switch {
	case c.dead || c.ending || c.body != nil:
		c.leave()
		return 0, true, hoptiller.OK
	case len(c.calls) == 0 && c.useful && !c.reader.Resting(): // it has ended while it rested, or says what nobody asked for
		c.leave()
		p.drop(c, CloseNotAtRest)
		return 0, true, hoptiller.OK
	case begin.Err() != nil:
		c.leave()
		return 0, false, notBegun(begin)
	case c.server.Phase != hoptiller.Ready:
		c.leave()
		return 0, false, hoptiller.Moot
	}
	if left = timeLeft(ctx); left < leastLeft || over(begin) || out.req.ClientGone() {
		c.leave()
		return 0, false, hoptiller.Moot
	}
	out.sent = time.Now()
	c.calls = append(c.calls, out)
	return left, false, hoptiller.OK
}

// prepare makes what is written of a call but for its value, in buf.
func (c *conn) prepare(buf *buffer.Buffer, req *relay.Request, left time.Duration) (head []byte, tail string) {
	attempt, free := newAttempt(buf[:], req, c.host, left)
	return c.pool.proto.Append(free, attempt)
}

// over tells whether a context's time is up by the clock. Its timer may not have run yet, where the process stood still.
func over(ctx context.Context) bool {
	end, known := ctx.Deadline()
	return known && !time.Now().Before(end)
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

// put writes a call with its value, and tells how many bytes of it were written.
func (c *conn) put(head []byte, req *relay.Request, tail string) (written int64, err error) {
	if !req.Write {
		n, err := c.Write(head)
		return int64(n), err
	}
	parts := net.Buffers{head, req.Value}
	if req.Long != nil {
		parts = req.Long.Parts(parts)
	}
	if tail != "" {
		parts = append(parts, []byte(tail))
	}
	return parts.WriteTo(c.Conn)
}

// leave takes a call off the connection's count. p.mu is held.
func (c *conn) leave() {
	c.load--
	c.idleAt = time.Now()
	c.dropIfUnused()
	c.pool.reapLater(c.server)
}
