package upstream

import (
	"errors"
	"io"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

const (
	pieceTimeout = 30 * time.Second // maximum wait for the next piece of a long value; servers hang for up to 22 s
	unsharedTime = 10 * time.Second // for this long after a long value, calls share no connection
)

var errAbandoned = errors.New("value abandoned by its receiver")

// streamBody is a long value that is still arriving. Until it has ended, nothing else reads from the connection. It
// implements relay.Body.
type streamBody struct {
	conn     *conn
	call     *pendingCall
	reader   *buffer.Reader
	decoder  Decoder
	length   int           // in bytes; -1: known only at the end of the value
	keepConn bool          // the connection is usable after the value
	ended    chan struct{} // closed when the value has ended
}

// Len implements relay.Body.
func (b *streamBody) Len() int { return b.length }

// HoldsMemory implements relay.Body.
func (b *streamBody) HoldsMemory() bool { return false }

// Copy implements relay.Body. It reads from the connection no faster than write accepts the pieces.
func (b *streamBody) Copy(write func(piece []byte) error) (err error) {
	defer func() { b.finish(err) }()
	defer func() { b.reader.LargeReads = false }()
	next := b.reader.Redeliver // what arrived together with the head
	for done := false; !done; {
		var pieceErr error
		b.conn.SetReadDeadline(time.Now().Add(pieceTimeout))
		err := next(func(p []byte) (used int) {
			for n := -1; n != 0 && !done && pieceErr == nil && used < len(p); used += n {
				var part []byte
				if part, n, done, pieceErr = b.decoder.Decode(p[used:]); len(part) > 0 {
					pieceErr = write(part)
				}
			}
			return used
		})
		// A reset is not a valid end.
		if _, untilClose := b.decoder.(UntilCloseDecoder); untilClose && pieceErr == nil && err == io.EOF {
			return nil
		}
		if err = errors.Join(pieceErr, err); err != nil {
			return err
		}
		b.reader.LargeReads, next = true, b.reader.Next
	}
	return nil
}

// Close implements relay.Body.
func (b *streamBody) Close() {
	b.finish(errAbandoned)
}

// finish returns the connection to the pool, or closes it if the value is incomplete.
func (b *streamBody) finish(err error) {
	c := b.conn
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.stream != b {
		return
	}
	c.stream = nil
	if err != nil {
		// The server is not at fault for the calls queued behind the value, so they end as Cancelled.
		p.closeConn(c, hoptiller.Cancelled, valueCloseReason(err))
	} else {
		b.finishComplete()
	}
	close(b.ended)
}

// finishComplete returns the connection to the pool after the complete value has arrived. The caller holds the pool's
// mu.
func (b *streamBody) finishComplete() {
	if b.reader.Unconsumed() == 0 {
		b.reader.MarkHandled()
	}
	b.conn.lastAnswer.at = time.Now()
	b.conn.release()
	if !b.keepConn {
		b.conn.pool.closeReset(b.conn, CloseLastAnswer)
	}
}

// valueCloseReason returns why a connection is closed on which a long value stayed incomplete.
func valueCloseReason(err error) CloseReason {
	if errors.Is(err, errAbandoned) {
		return CloseValueAbandoned
	}
	return CloseValueFailed
}

// deliver passes the body to the caller that waits for the answer, if there still is one, and waits until the value
// has ended. It reports whether the connection can still be read.
func (b *streamBody) deliver() bool {
	p := b.conn.pool
	p.mu.Lock()
	if b.call.abandoned || b.conn.closed {
		b.conn.stream = nil
		if !b.call.abandoned {
			b.call.result <- relay.Result{Status: hoptiller.Cancelled}
		}
		p.closeConn(b.conn, hoptiller.Cancelled, CloseCancelled)
		p.mu.Unlock()
		return false
	}
	b.call.result <- relay.Result{Status: hoptiller.OK, Body: b}
	p.mu.Unlock()
	<-b.ended
	p.mu.Lock()
	defer p.mu.Unlock()
	return !b.conn.closed
}
