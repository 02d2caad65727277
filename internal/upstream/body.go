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
	pieceTime  = 6 * time.Second  // that the next piece of a long value may take
	longLately = 10 * time.Second // after a long value calls share no connection for so long
)

var errAbandoned = errors.New("value given up")

// body is a long value that is still coming. Until it has ended, the connection is its reader's alone. It is a
// relay.Body.
type body struct {
	conn    *conn
	out     *call
	reader  *buffer.Reader
	decoder Decoder
	length  int  // -1: it shows at the end
	keep    bool // the connection can be used after it
	ended   chan struct{}
}

// Len implements relay.Body.
func (b *body) Len() int { return b.length }

// Copy implements relay.Body. The connection is read no faster than write takes the pieces.
func (b *body) Copy(write func(piece []byte) error) (err error) {
	defer func() { b.end(err) }()
	defer func() { b.reader.Long = false }()
	next := b.reader.Again // what has come with the head
	for done := false; !done; {
		var failed error
		b.conn.SetReadDeadline(time.Now().Add(pieceTime))
		err := next(func(p []byte) (used int) {
			for n := -1; n != 0 && !done && failed == nil && used < len(p); used += n {
				var part []byte
				if part, n, done, failed = b.decoder.Take(p[used:]); len(part) > 0 {
					failed = write(part)
				}
			}
			return used
		})
		if _, toEnd := b.decoder.(ToEnd); toEnd && failed == nil && err == io.EOF { // a reset is no end
			return nil
		}
		if err = errors.Join(failed, err); err != nil {
			return err
		}
		b.reader.Long, next = true, b.reader.Next
	}
	return nil
}

// Close implements relay.Body.
func (b *body) Close() {
	b.end(errAbandoned)
}

// end gives the connection back, or ends it where the value did not come whole.
func (b *body) end(err error) {
	c := b.conn
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.body != b {
		return
	}
	c.body = nil
	if err != nil {
		p.closeConn(c, hoptiller.Cancelled, valueCloseReason(err)) // what waits behind it is no fault of the server's
	} else {
		b.came()
	}
	close(b.ended)
}

// came gives the connection back when the value has come whole. The pool's mu is held.
func (b *body) came() {
	if b.reader.Unread() == 0 {
		b.reader.Handled()
	}
	b.conn.leave()
	if !b.keep {
		b.conn.pool.drop(b.conn, CloseLastAnswer)
	}
}

// valueCloseReason tells why a long value did not come whole.
func valueCloseReason(err error) CloseReason {
	if errors.Is(err, errAbandoned) {
		return CloseValueAbandoned
	}
	return CloseValueFailed
}

// hand gives the body to whoever waits for the answer, if anybody still does, and waits for its end. It tells
// whether the connection can be read on.
func (b *body) hand() bool {
	p := b.conn.pool
	p.mu.Lock()
	if b.out.abandoned || b.conn.dead {
		b.conn.body = nil
		if !b.out.abandoned {
			b.out.done <- relay.Result{Status: hoptiller.Cancelled}
		}
		p.closeConn(b.conn, hoptiller.Cancelled, CloseWithdrawn)
		p.mu.Unlock()
		return false
	}
	b.out.done <- relay.Result{Status: hoptiller.OK, Body: b}
	p.mu.Unlock()
	<-b.ended
	p.mu.Lock()
	defer p.mu.Unlock()
	return !b.conn.dead
}
