package upstream

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// answerStall is how long an answer that has begun may stop before its end.
const answerStall = 150 * time.Millisecond

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
		if errors.Is(err, os.ErrDeadlineExceeded) && c.goesOn() {
			err = nil
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
	p.drop(c, CloseServerEnded)
}

// goesOn tells whether more of an answer has come just as the time for it was over, as it has where the program stood still
// meanwhile.
func (c *conn) goesOn() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return !c.dead && c.reader.Waiting()
}

// answers hands out the whole answers in b and tells how many bytes they took up, which long value follows
// those if one does, and whether the connection can be read on.
func (c *conn) answers(b []byte) (used int, long *body, ok bool) {
	p := c.pool
	p.mu.Lock() // also keeps a call from being given up while its answer is read
	defer p.mu.Unlock()
	defer func() {
		if ok && used == len(b) && long == nil {
			c.reader.Handled()
		}
	}()
	for used < len(b) && !c.dead {
		// An answer that nothing asked for must not reach the next call, nor one that was read before that call was sent.
		if len(c.calls) == 0 || c.calls[0].sent.After(c.reader.At) {
			return used, nil, false
		}
		out := c.calls[0]
		reply, err := p.proto.Parse(b[used:], out.req)
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
			p.drop(c, CloseLastAnswer)
		}
		out.done <- r
	}
	return used, nil, !c.dead
}
