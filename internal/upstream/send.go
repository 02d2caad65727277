package upstream

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
)

// send writes a call, unless the connection has ended or is to end since it was chosen; then another may be. If it fails, it tells how:
// until the last byte is written the server can't have begun the call.
func (c *conn) send(begin, ctx context.Context, out *call) (sent bool, status hoptiller.Status) {
	c.write.Lock() // calls are queued in the order in which they are written
	defer c.write.Unlock()
	by, _ := begin.Deadline()
	c.SetWriteDeadline(by)
	buf := buffer.Get()
	defer buffer.Put(buf)
	o := outgoing{conn: c, begin: begin, ctx: ctx, call: out, buf: buf}
	o.prepare(timeLeft(ctx))
	if !c.enter(out) {
		return false, hoptiller.OK
	}
	written, err := o.write()
	if err == nil && o.status == hoptiller.OK {
		if c.pool.set.Called != nil {
			c.pool.set.Called()
		}
		return true, hoptiller.OK
	}
	c.takeBack(out, written, err)
	switch {
	case o.status != hoptiller.OK:
		return false, o.status
	case errors.Is(ctx.Err(), context.Canceled):
		return false, hoptiller.Moot
	case begin.Err() != nil, over(begin):
		return false, notBegun(begin)
	}
	return false, hoptiller.ConnectFailed
}

// enter queues a call that is about to be written, if the connection can still carry it. It is queued first, so that an answer finds it.
func (c *conn) enter(out *call) (entered bool) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.dead || c.ending || c.body != nil:
		c.leave()
		return false
	case len(c.calls) == 0 && c.useful && !c.reader.Resting(): // it has ended while it rested, or says what nobody asked for
		c.leave()
		p.drop(c, CloseNotAtRest)
		return false
	}
	out.sent = time.Now()
	c.calls = append(c.calls, out)
	return true
}

// takeBack takes a call off the connection that was not written whole. err is what the write failed with; nil: the last look ended it.
func (c *conn) takeBack(out *call, written int64, err error) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	queued := slices.Contains(c.calls, out)
	c.calls = slices.DeleteFunc(c.calls, func(o *call) bool { return o == out })
	switch {
	case written > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		p.drop(c, CloseWriteFailed) // half a call is on it, or it is broken
	case queued || err != nil:
		c.leave() // what others have out on it goes on
	}
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

// leave takes a call off the connection's count. p.mu is held.
func (c *conn) leave() {
	c.load--
	c.idleAt = time.Now()
	c.dropIfUnused()
	c.pool.reapLater(c.server)
}
