package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

const (
	pieceTimeout = 6 * time.Second // for the next piece of a long value to arrive
	minRate      = 64 << 10        // bytes a second that must arrive on average, apart from the first pieceTimeout

	// memoryWaitFraction is the part of its time that a request may wait for memory. A rejection within half of the time costs
	// a client nothing, and the other half is left to read the value and to make an attempt.
	memoryWaitFraction = 0.5

	minLoggedWait = 100 * time.Millisecond // the shortest wait for memory that is logged
)

var (
	errNoMemory      = errors.New("no memory for a long value within the time of its request")
	errBadTerminator = errors.New("a long value is not followed by a line end")
)

// nextPieceDeadline returns the time by which the next piece of a value must arrive. Each piece extends the deadline, but
// only as far as minRate allows: a client that sends a single byte now and then would otherwise hold its memory for hours
// and block all requests that wait for memory.
func nextPieceDeadline(begun, now time.Time, received int) time.Time {
	latest := begun.Add(pieceTimeout + time.Duration(received)*time.Second/minRate)
	if deadline := now.Add(pieceTimeout); deadline.Before(latest) {
		return deadline
	}
	return latest
}

// acquireMemory waits until the memory budget has size bytes for a long value. It fails with errNoMemory at the given time, and
// also when ctx is done or when a shutdown answers all open requests as failed.
func (f *Front) acquireMemory(ctx context.Context, size int64, until time.Time) (waited time.Duration, err error) {
	waitCtx, cancel := context.WithDeadlineCause(ctx, until, errNoMemory)
	defer cancel()
	defer context.AfterFunc(f.openFailed, cancel)()
	if waited, err = f.ValueMemory.Acquire(waitCtx, size); err != nil {
		return waited, context.Cause(waitCtx)
	}
	return waited, nil
}

// longValue is the long value of a write request while it arrives.
type longValue struct {
	conn       *conn
	req        *relay.Request
	length     int    // bytes of the value
	remaining  int    // bytes of the value that have not been read yet
	terminator string // the part of the line end behind the value that has not been read yet
	badEnd     bool   // something else came in place of the line end

	content   *buffer.Chain // what has been read; nil if the value is discarded
	begun     time.Time     // when the first byte was waited for
	endsFirst time.Time     // the earliest time at which the last byte can have arrived, as far as is known
}

// newLongValue returns the value of c.longWrite, of which nothing has been read.
func (c *conn) newLongValue() *longValue {
	v := &longValue{conn: c, req: c.longWrite, length: c.longWriteLen, remaining: c.longWriteLen, terminator: "\r\n",
		content: &buffer.Chain{}}
	c.longWrite = nil
	v.endsFirst = c.reader.EarliestArrival(v.length + len(v.terminator))
	return v
}

// acquireMemory acquires memory for the whole value, since requests that each held a part of their memory could deadlock. While
// it waits, nothing is read, so the client has to wait as well. The whole value may have arrived unread, or may wait in the
// client's system, and then the time of the request is running. So the wait ends in time to reject the request.
func (v *longValue) acquireMemory(ctx context.Context) error {
	limit := v.endsFirst.Add(time.Duration(memoryWaitFraction * float64(v.req.Timeout)))
	waited, err := v.conn.front.acquireMemory(ctx, int64(v.length), limit)
	if waited >= minLoggedWait {
		slog.Info("long value waited for memory", "request", string(v.req.ID), "length", v.length,
			"waited", waited.Round(time.Millisecond), "acquired", err == nil)
	}
	return err
}

// free frees the memory of the value.
func (v *longValue) free() {
	if v.content != nil {
		v.content.Free()
		v.conn.front.ValueMemory.Release(int64(v.length))
	}
}

// read reads the rest of the value and the line end behind it.
func (v *longValue) read() error {
	c := v.conn
	c.reader.LargeReads = true
	v.begun = time.Now()
	for next := c.reader.Redeliver; v.remaining > 0 || v.terminator != ""; next = c.reader.Next {
		c.mu.Lock()
		c.pieceDeadline = nextPieceDeadline(v.begun, time.Now(), v.length-v.remaining)
		c.updateReadDeadline()
		c.mu.Unlock()
		if err := next(v.take); err != nil {
			return err
		}
		if v.badEnd {
			return errBadTerminator
		}
	}
	if c.reader.PeerClosed() {
		return io.EOF
	}
	return nil
}

// take takes what belongs to the value from the start of b and returns its length.
func (v *longValue) take(b []byte) (used int) {
	used = min(v.remaining, len(b))
	if v.content != nil {
		v.content.Append(b[:used])
	}
	if v.remaining -= used; v.remaining > 0 {
		return used
	}
	n := min(len(v.terminator), len(b)-used)
	v.badEnd = string(b[used:used+n]) != v.terminator[:n]
	v.terminator = v.terminator[n:]
	used += n
	if v.terminator == "" {
		v.req.Arrived = v.conn.reader.EarliestArrival(used)
	}
	return used
}

// readLongValue reads the value of c.longWrite. It starts the request when the value is complete. If there is no memory for the
// value, it reads and discards the value, and rejects the request. stopReading reports that the connection must not be read any
// further.
func (c *conn) readLongValue(ctx context.Context) (stopReading bool, err error) {
	value := c.newLongValue()
	// The command counts as open from now on, so that the connection is not evicted.
	c.mu.Lock()
	c.openCommands++
	c.updateState()
	c.mu.Unlock()
	defer func() {
		c.reader.LargeReads = false
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hasPartialCommand, c.pieceDeadline = false, time.Time{}
		c.commandAnswered()
	}()
	releaseID := func() { c.front.releaseID(string(value.req.ID)) }
	if err = value.acquireMemory(ctx); err != nil {
		value.content = nil
	}
	if err == nil || errors.Is(err, errNoMemory) {
		err = value.read()
	}
	switch {
	case err == nil && value.content == nil:
		releaseID()
		c.rejectRequest(value.req)
		return false, nil
	case err == nil:
		value.req.LongValue = value.content
		c.startRequest(ctx, value.req, value.free)
		return false, nil
	}
	value.free()
	releaseID()
	switch {
	case errors.Is(err, errBadTerminator):
		c.answerInvalid(meta.ErrBadChunk.Error())
		return true, nil
	case errors.Is(err, context.Canceled) && c.front.hasFailedOpenRequests():
		c.enqueue(pendingAnswer{line: string(meta.AppendFailed(nil))})
		return true, nil
	}
	return false, err
}
