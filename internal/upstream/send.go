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

// send writes a call. If the connection was closed or barred from new calls after it was chosen, send returns false
// with status OK, and another connection may be tried. If the write fails, the status says how: the server cannot have
// begun the call until the last byte is written.
func (c *conn) send(sendCtx, ctx context.Context, call *pendingCall) (sent bool, status hoptiller.Status) {
	if !c.awaitWriteTurn(sendCtx) { // calls are queued in the order in which they are written
		c.releaseUnsent()
		return false, unsentStatus(sendCtx)
	}
	defer c.endWriteTurn()
	sendBy, _ := sendCtx.Deadline()
	c.SetWriteDeadline(sendBy)
	buf := buffer.Get()
	defer buffer.Put(buf)
	o := outgoing{conn: c, sendCtx: sendCtx, ctx: ctx, call: call, buf: buf}
	o.encode(remainingTime(ctx))
	if !c.enqueue(call) {
		return false, hoptiller.OK
	}
	written, err := o.write()
	if err == nil && o.status == hoptiller.OK {
		if c.pool.settings.AttemptSent != nil {
			c.pool.settings.AttemptSent()
		}
		return true, hoptiller.OK
	}
	c.dequeueUnsent(call, written, err)
	switch {
	case o.status != hoptiller.OK:
		return false, o.status
	case errors.Is(ctx.Err(), context.Canceled):
		return false, hoptiller.NotSent
	case sendCtx.Err() != nil, deadlinePassed(sendCtx):
		return false, unsentStatus(sendCtx)
	}
	return false, hoptiller.ConnectFailed
}

// awaitWriteTurn waits until no other call is being written on the connection, and reports whether that was before sendCtx was done.
// Another call may take long: its value may be long and its server slow, and it may have more time than this one.
func (c *conn) awaitWriteTurn(sendCtx context.Context) bool {
	select {
	case c.writeTurn <- struct{}{}:
		return true
	case <-sendCtx.Done():
		return false
	}
}

// endWriteTurn lets the next call be written.
func (c *conn) endWriteTurn() { <-c.writeTurn }

// releaseUnsent removes a call that was not queued from the connection's load.
func (c *conn) releaseUnsent() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.release()
}

// enqueue queues a call that is about to be written, and reports whether the connection can still carry it. The call
// is queued before it is written, so that its answer finds it.
func (c *conn) enqueue(call *pendingCall) (queued bool) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.closed || c.closeWhenUnused || c.stream != nil:
		c.release()
		return false
	case len(c.pending) == 0 && c.answered && !c.reader.Quiet(): // it ended or received unsolicited bytes while it was idle
		c.release()
		p.closeReset(c, CloseNotQuiet)
		return false
	}
	call.sentAt = time.Now()
	c.pending = append(c.pending, call)
	return true
}

// dequeueUnsent removes a call that was not written completely from the connection. err is the error of the write;
// nil: the final check ended the call.
func (c *conn) dequeueUnsent(call *pendingCall, written int64, err error) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	queued := slices.Contains(c.pending, call)
	c.pending = slices.DeleteFunc(c.pending, func(other *pendingCall) bool { return other == call })
	switch {
	case written > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		p.closeReset(c, CloseWriteFailed) // the connection carries part of a call, or is broken
	case queued || err != nil:
		c.release() // the other calls on the connection continue
	}
}

// deadlinePassed reports whether a context's deadline has passed by the clock. The context's own timer may be late if
// the process was paused.
func deadlinePassed(ctx context.Context) bool {
	end, known := ctx.Deadline()
	return known && !time.Now().Before(end)
}

// afterWrite is called after a write that the end of the call's ctx can cut off by setting the connection's write
// deadline. If deadlineStopped is false, the deadline may still be set, so the connection takes no more calls.
func (c *conn) afterWrite(deadlineStopped bool) {
	if deadlineStopped {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closeWhenUnused = true; !c.closed {
		c.closeIfUnused()
	}
}

// release removes a call from the connection's load. The caller holds p.mu.
func (c *conn) release() {
	c.load--
	c.lastReleased = time.Now()
	c.closeIfUnused()
	c.pool.scheduleReap(c.server)
}
