package front

import (
	"context"
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

// acquireMemory waits until the memory budget has size bytes for a long value. It fails when ctx is done or when a shutdown
// answers all open requests as failed.
func (f *Front) acquireMemory(ctx context.Context, size int64) (waited time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.openFailed, cancel)()
	return f.ValueMemory.Acquire(ctx, size)
}

// minLoggedWait is the shortest wait for memory that is logged.
const minLoggedWait = 100 * time.Millisecond

// logMemoryWait logs that a request's long value of some bytes has waited for memory, unless the wait was short.
func logMemoryWait(req *relay.Request, length int, waited time.Duration, err error) {
	if waited < minLoggedWait {
		return
	}
	slog.Info("long value waited for memory", "request", string(req.ID), "length", length, "waited", waited.Round(time.Millisecond),
		"acquired", err == nil)
}

// readLongValue reads the value of c.longWrite and starts the request when the value is complete. It first acquires memory
// for the whole value, since requests that each held a part of their memory could deadlock. While it waits, nothing is read,
// so the client has to wait as well. stopReading reports that the connection must not be read any further.
func (c *conn) readLongValue(ctx context.Context) (stopReading bool, err error) {
	req, length := c.longWrite, c.longWriteLen
	c.longWrite = nil
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
	releaseID := func() { c.front.releaseID(string(req.ID)) }
	size := int64(length)
	waited, err := c.front.acquireMemory(ctx, size)
	logMemoryWait(req, length, waited, err)
	if err != nil {
		releaseID()
		if !c.front.hasFailedOpenRequests() {
			return false, err
		}
		c.enqueue(pendingAnswer{line: string(meta.AppendFailed(nil))})
		return true, nil
	}
	value := &buffer.Chain{}
	release := func() {
		value.Free()
		c.front.ValueMemory.Release(size)
	}
	c.reader.LargeReads = true
	begun := time.Now()
	remaining, terminator := length, "\r\n"
	for next := c.reader.Redeliver; remaining > 0 || terminator != ""; next = c.reader.Next {
		c.mu.Lock()
		c.pieceDeadline = nextPieceDeadline(begun, time.Now(), value.Len())
		c.updateReadDeadline()
		c.mu.Unlock()
		badTerminator := false
		if err := next(func(b []byte) (used int) {
			used = min(remaining, len(b))
			value.Append(b[:used])
			if remaining -= used; remaining == 0 {
				n := min(len(terminator), len(b)-used)
				badTerminator = string(b[used:used+n]) != terminator[:n]
				terminator = terminator[n:]
				used += n
			}
			if remaining == 0 && terminator == "" {
				req.Arrived = c.reader.EarliestArrival(used)
			}
			return used
		}); err != nil {
			release()
			releaseID()
			return false, err
		}
		if badTerminator {
			release()
			releaseID()
			c.answerInvalid(meta.ErrBadChunk.Error())
			return true, nil
		}
	}
	if c.reader.PeerClosed() {
		release()
		releaseID()
		return false, io.EOF
	}
	req.LongValue = value
	c.startRequest(ctx, req, release)
	return false, nil
}
