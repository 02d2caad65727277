package front

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
	"hoptiller/internal/valuemem"
)

const (
	pieceTimeout = 6 * time.Second // for the next piece of a long value to arrive
	minRate      = 64 << 10        // bytes a second that clients must send or read on average of a value that holds memory
)

var (
	errNoMemory      = errors.New("no memory for a long value within the time of its request")
	errBadTerminator = errors.New("a long value is not followed by a line end")
)

// nextPieceDeadline returns the time by which a client must have sent or read the next piece of a value, of which it has sent or read
// transferred bytes since begun. Each piece extends the deadline by timeout, but only as far as minRate allows, apart from the first
// timeout: a client that sends or reads a single byte now and then would otherwise hold its memory for hours and block all requests
// that wait for memory.
func nextPieceDeadline(begun, now time.Time, transferred int, timeout time.Duration) time.Time {
	latest := begun.Add(timeout + time.Duration(transferred)*time.Second/minRate)
	if deadline := now.Add(timeout); deadline.Before(latest) {
		return deadline
	}
	return latest
}

// longValue is the long value of a write request while it arrives.
type longValue struct {
	conn       *conn
	req        *relay.Request
	length     int    // bytes of the value
	received   int    // of these, bytes that have been read
	terminator string // the part of the line end behind the value that has not been read yet
	badEnd     bool   // something else came in place of the line end
	extended   bool   // the time for the value was extended

	content *buffer.Chain   // what has been read; nil if the value is discarded
	memory  *valuemem.Claim // of content
	begun   time.Time       // when the first byte was waited for; later by as long as the value has waited for memory since
}

// newLongValue returns the value of c.longWrite, of which nothing has been read.
func (c *conn) newLongValue() *longValue {
	req, length := c.longWrite, c.longWriteLen
	c.longWrite = nil
	return &longValue{conn: c, req: req, length: length, terminator: "\r\n", content: &buffer.Chain{},
		memory: c.front.ValueMemory.NewClaim(string(req.ID), buffer.ChainSize(length)), begun: time.Now()}
}

// remaining returns how many bytes of the value have not been read yet.
func (v *longValue) remaining() int { return v.length - v.received }

// room returns how many more bytes the acquired memory can hold.
func (v *longValue) room() int { return int(v.memory.Held()) - v.content.Len() }

// acquireRoom acquires memory for the bytes that the next read may bring. If there is none in time, it discards the value.
func (v *longValue) acquireRoom(ctx context.Context) error {
	if v.content == nil || v.room() >= min(v.remaining(), buffer.Size) || v.memory.TryAcquire(buffer.Size) {
		return nil
	}
	err := v.awaitMemory(ctx)
	if errors.Is(err, errNoMemory) {
		v.free()
		return nil
	}
	return err
}

// awaitMemory waits for the memory of one more buffer. It fails with errNoMemory when the request's time runs short, and also when
// ctx is done or when a shutdown answers all open requests as failed. While it waits, nothing is read, so the client has to wait
// as well. The rest of the value may have arrived unread, or may wait in the client's system, and then the time of the request is
// running.
func (v *longValue) awaitMemory(ctx context.Context) error {
	mayHaveEnded := v.conn.reader.EarliestArrival(v.remaining() + len(v.terminator))
	ctx, cancel := context.WithDeadlineCause(ctx, mayHaveEnded.Add(hoptiller.MaxWait(v.req.Timeout)), errNoMemory)
	defer cancel()
	defer context.AfterFunc(v.conn.front.openFailed, cancel)()
	waited, err := v.memory.Acquire(ctx, buffer.Size)
	v.begun = v.begun.Add(waited)
	if err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// free frees the memory of the value. What is still to be read is discarded.
func (v *longValue) free() {
	if v.content != nil {
		v.content.Free()
		v.content = nil
	}
	v.memory.Release()
}

// read reads the value and the line end behind it.
func (v *longValue) read(ctx context.Context) error {
	c := v.conn
	c.reader.LargeReads = true
	for v.remaining() > 0 || v.terminator != "" {
		if err := v.acquireRoom(ctx); err != nil {
			return err
		}
		next := c.reader.Next
		if c.reader.Unconsumed() > 0 {
			next = c.reader.Redeliver
		}
		v.setReadDeadline()
		err := next(v.take)
		if c.recordRead(); errors.Is(err, os.ErrDeadlineExceeded) && c.reader.MoreArrived() && !v.extended {
			v.extended = true // the rest may have arrived while the process was paused
			continue
		} else if err != nil {
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

// setReadDeadline sets how long the next read may take. A short value has to arrive within the time of its command.
func (v *longValue) setReadDeadline() {
	c := v.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.isLong() {
		c.pieceDeadline = nextPieceDeadline(v.begun, time.Now(), v.received, pieceTimeout)
	} else {
		c.waitingSince = v.begun
	}
	c.updateReadDeadline()
	if v.extended {
		c.SetReadDeadline(time.Now().Add(closeTimeout))
	}
}

// isLong reports whether the value is longer than those that clients usually send.
func (v *longValue) isLong() bool { return v.length > meta.MaxShortValue }

// take takes what belongs to the value from the start of b, as far as there is room for it, and returns its length.
func (v *longValue) take(b []byte) (used int) {
	used = min(v.remaining(), len(b))
	if v.content != nil {
		used = min(used, v.room())
		v.content.Append(b[:used])
	}
	if v.received += used; v.remaining() > 0 {
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

// beginValue prepares the connection for reading a value. The command of a long one counts as open from now on, so that the
// connection is not evicted.
func (c *conn) beginValue(value *longValue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if value.isLong() {
		c.openCommands++
	} else {
		c.hasPartialCommand, c.waitingSince = true, value.begun
	}
	c.updateState()
}

// endValue is called when nothing more is read of a value.
func (c *conn) endValue(value *longValue) {
	c.reader.LargeReads = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasPartialCommand, c.pieceDeadline = false, time.Time{}
	if value.isLong() {
		c.commandsAnswered(1)
	} else {
		c.updateReadDeadline()
	}
}

// readLongValue reads the value of c.longWrite. It starts the request when the value is complete. If there is no memory for the
// value, it reads and discards the value, and rejects the request. stopReading reports that the connection must not be read any
// further.
func (c *conn) readLongValue(ctx context.Context) (stopReading bool, err error) {
	value := c.newLongValue()
	c.beginValue(value)
	defer c.endValue(value)
	releaseID := func() { c.front.releaseID(value.req, false) }
	err = value.read(ctx)
	switch {
	case err == nil && value.content == nil:
		releaseID()
		c.answerWithoutMemory(value.req)
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
