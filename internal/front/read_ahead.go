package front

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
)

// A client may send more commands than may be open at once, and more than there is memory for. Its end stands behind all that it has
// sent, and requests must not be sent on for a client that has left. An answer that is written to such a client comes back as a
// reset. Where no answer is written, the router must read on to see the end, and refuses what there is no memory for. Until it has
// read everything, no attempt begins.
const (
	maxReadAhead        = 1 << 20  // bytes of all clients together that are read but wait for earlier commands
	maxReadAheadPerConn = 64 << 10 // the same for one client
	minReadAheadPerConn = 4 << 10  // the same for one client while maxReadAhead is reached
	maxRefusedAhead     = 256      // answers that wait behind open commands, where the same line in a row counts once
)

// The end of a client may be held back by its own system, where minWindow bytes or more are unread, or where they are read ahead and the
// client goes on sending with pauses of less than maxPieceGap. The end would be seen after a longer pause, and when an answer is
// written.
const (
	minWindow   = 32 << 10
	maxPieceGap = 20 * time.Millisecond
)

// progress is how much of a connection had been read at a time.
type progress struct {
	bytes int64
	at    time.Time
}

// awaitAnswer waits until one of the client's commands is answered. If the connection is about to end, it reads nothing
// meanwhile, since every command that is read has to be answered.
func (c *conn) awaitAnswer(ctx context.Context) error {
	c.mu.Lock()
	c.readingAhead = true
	c.updateReadDeadline()
	c.mu.Unlock()
	c.front.readAheadBytes.Add(int64(c.reader.Unconsumed()))
	defer func() {
		c.front.readAheadBytes.Add(-int64(c.reader.Unconsumed()))
		c.mu.Lock()
		c.readingAhead, c.readAheadDone = false, false
		c.updateReadDeadline()
		c.mu.Unlock()
	}()
	for {
		select { // an answer may have been written before readingAhead was set
		case <-c.answerWritten:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if c.reader.PeerClosed() {
			return io.EOF
		}
		if err := c.readAhead(ctx); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// readAhead reads what the client has sent, or waits until it sends more, ends, or one of its commands is answered.
func (c *conn) readAhead(ctx context.Context) error {
	if c.front.grace() > 0 && (c.endsWhenIdle() || c.front.hasFailedOpenRequests()) {
		return c.reader.AwaitPeerClose()
	}
	before := c.reader.Unconsumed()
	defer func() { c.front.readAheadBytes.Add(int64(c.reader.Unconsumed() - before)) }()
	full := before >= c.front.readAheadLimit()
	if full && !c.mayRefuseAhead(time.Now()) {
		return c.reader.AwaitPeerClose()
	}
	if full {
		taken := 0
		c.reader.Redeliver(func(b []byte) (used int) {
			used, taken = c.refuseCommands(b)
			return used
		})
		if c.pace(ctx, taken); c.reader.Unconsumed() < before {
			return nil
		}
	}
	if c.answers.len() >= maxRefusedAhead || c.reader.Unconsumed() >= buffer.MaxUnconsumed {
		return c.reader.AwaitPeerClose()
	}
	defer c.recordRead()
	return c.reader.Next(func([]byte) int { return 0 })
}

// recordRead records how much has been read.
func (c *conn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.TotalRead == c.received.bytes {
		return
	}
	if c.reader.LastWait >= maxPieceGap {
		c.visible = progress{c.received.bytes, c.reader.LastRead}
	}
	c.received = progress{c.reader.TotalRead, c.reader.LastRead}
}

// mayHaveDisconnected reports whether the client has disconnected, or its end may be held back behind what it has sent.
func (c *conn) mayHaveDisconnected() bool {
	if c.reader.PeerClosed() {
		return true
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.visible.at) < c.front.ReadAheadWait {
		return false
	}
	unread := c.reader.Unread()
	if !c.readingAhead {
		return unread >= minWindow
	}
	sent := c.received.bytes - c.visible.bytes + int64(unread)
	return sent >= minWindow && (unread > 0 || now.Sub(c.received.at) < maxPieceGap)
}

// mayRefuseAhead is called while the commands that wait fill their memory. It reports whether they are to be refused now, since
// that has lasted for ReadAheadWait without an answer. Otherwise the next wait ends when they are.
func (c *conn) mayRefuseAhead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAheadFull.IsZero() {
		c.readAheadFull = now
	}
	if now.Sub(c.readAheadFull) >= c.front.ReadAheadWait {
		return true
	}
	c.updateReadDeadline()
	return false
}

// readAheadLimit returns how many bytes of one client may wait for earlier commands.
func (f *Front) readAheadLimit() int {
	if f.readAheadBytes.Load() >= maxReadAhead {
		return minReadAheadPerConn
	}
	return maxReadAheadPerConn
}

// refuseCommands refuses the complete commands at the start of b, which find no place among those that wait. It returns the
// number of bytes used and the number of commands.
func (c *conn) refuseCommands(b []byte) (used, count int) {
	for used < len(b) && c.answers.len() < maxRefusedAhead {
		n := c.refuseCommand(b[used:])
		if n == 0 {
			break
		}
		used += n
		count++
	}
	return used, count
}

// refuseCommand answers the command at the start of b without carrying it out, and returns the number of bytes used: 0 if the
// command has not arrived completely.
func (c *conn) refuseCommand(b []byte) (used int) {
	if c.discarded > 0 {
		return c.discard(b)
	}
	cmd, n, err := meta.ParseArrivingCommand(b)
	switch {
	case n == 0 || err != nil && meta.IsFatal(err) || cmd.Verb == meta.Quit:
		return 0 // the connection ends when its turn comes
	case err != nil && cmd.LongValueLen > meta.MaxShortValue:
		return 0
	case err != nil:
		c.rejectCommand(&cmd, err.Error())
		return n
	case cmd.Verb == meta.Noop || cmd.Verb == meta.Version:
		c.enqueue(pendingAnswer{line: c.statusAnswer(cmd.Verb)})
		return n
	case cmd.Verb == meta.Unknown:
		c.answerInvalid("ERROR")
		return n
	}
	req := &relay.Request{ID: cmd.ID}
	fault := c.front.parseFacts(req, cmd.Facts)
	if fault != "" && cmd.LongValueLen > meta.MaxShortValue {
		return 0
	} else if fault != "" {
		c.rejectCommand(&cmd, "CLIENT_ERROR "+fault)
		return n
	}
	c.discardValue(&cmd)
	c.front.Counts.Accepted()
	c.front.Counts.Finished(req.Class, metrics.Rejected)
	c.refuse(req, "too many commands at once")
	return n
}

// discardValue has the value discarded that follows a command, if any does.
func (c *conn) discardValue(cmd *meta.Command) {
	if cmd.LongValueLen > 0 {
		c.discarded = cmd.LongValueLen + len("\r\n")
	}
}

// discard discards what b holds of a value that is not read, and returns the number of bytes used.
func (c *conn) discard(b []byte) (used int) {
	used = min(c.discarded, len(b))
	c.discarded -= used
	return used
}
