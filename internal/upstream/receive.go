package upstream

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

const (
	maxAnswerGap     = 150 * time.Millisecond // the longest pause within an answer that has begun
	maxLongAnswerGap = 2 * time.Second        // the same if the answer takes more than one read; servers may write it slowly
)

// readLoop reads the answers on a connection until the connection ends. An answer that has begun continues without
// long pauses, so one that stops is corrupt. Waiting longer would delay all calls behind it until their time is over.
func (c *conn) readLoop() {
	var err error
	r := c.reader
	readable, next := true, r.Next
	for readable && err == nil {
		var stream *streamBody
		err = next(func(b []byte) (used int) {
			used, stream, readable = c.handleAnswers(b)
			return used
		})
		next = r.Next
		if stream != nil {
			if stream.reader = r; !stream.deliver() {
				return
			}
			next = r.Redeliver // what arrived behind the long value
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.moreArrived() {
			err = nil
		}
		if r.Unconsumed() > 0 {
			c.SetReadDeadline(time.Now().Add(c.answerGap()))
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
	if !c.answered && !c.closed {
		p.observe(c.server, false)
	}
	p.closeReset(c, CloseServerEnded)
}

// answerGap returns how long the next bytes of an answer that has begun may take to arrive.
func (c *conn) answerGap() time.Duration {
	if c.reader.Expected() > buffer.Size {
		return maxLongAnswerGap
	}
	return maxAnswerGap
}

// moreArrived reports whether more of an answer arrived just as the time for it ran out, as happens when the process
// was paused meanwhile.
func (c *conn) moreArrived() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return !c.closed && c.reader.MoreArrived()
}

// awaitsAnswer reports whether a call was sent before the latest read, so that the bytes of that read can be its answer.
// The caller holds p.mu.
func (c *conn) awaitsAnswer() bool {
	if len(c.pending) == 0 {
		return false
	}
	first := c.pending[0]
	return first.begun.Load() && !first.sentAt.After(c.reader.LastRead)
}

// handleAnswers passes the complete answers in b to their callers. It returns how many bytes they took up, the long
// value that follows them, if any, and whether the connection can still be read.
func (c *conn) handleAnswers(b []byte) (used int, stream *streamBody, readable bool) {
	p := c.pool
	p.mu.Lock() // also keeps a call from being cancelled while its answer is read
	defer p.mu.Unlock()
	defer func() {
		if readable && used == len(b) && stream == nil {
			c.reader.MarkHandled()
		}
	}()
	for used < len(b) && !c.closed {
		if !c.awaitsAnswer() {
			c.reject(b[used:])
			p.closeReset(c, CloseUnsolicited)
			return used, nil, false
		}
		call := c.pending[0]
		reply, err := p.protocol.ParseReply(b[used:], call.req)
		if err != nil {
			c.reject(b[used:])
			p.failUnreadable(c)
			return used, nil, false
		}
		if reply.Size == 0 {
			c.reader.Expect(reply.FullSize)
			return used, nil, true
		}
		if reply.Unnamed && c.mayBeSurplus(b[used+reply.Size:]) {
			c.reject(b[used:])
			p.failUnconfirmed(c, reply.Status)
			return used, nil, false
		}
		used += reply.Size
		if reply.LoadReport != nil && p.settings.LoadReports != nil {
			p.settings.LoadReports.Record(c.server.ID, reply.LoadReport)
		}
		c.pending, c.answered = c.pending[1:], true
		c.lastAnswer.set(call.req.ID, reply.Status)
		p.observe(c.server, true)
		if s := c.server; call.sentAt.After(s.newestAnswered) {
			s.newestAnswered = call.sentAt
		}
		took := time.Since(call.sentAt)
		c.server.typicalLatency += (took - c.server.typicalLatency) / 16
		if fastest := &c.server.fastestAnswer; *fastest == 0 || took < *fastest {
			*fastest = took
		}
		p.callTimes.Add(took)
		if reply.ValueDecoder != nil {
			p.lastLongValue = time.Now()
			c.stream = &streamBody{conn: c, call: call, decoder: reply.ValueDecoder, length: reply.ValueLen,
				keepConn: reply.KeepConn, ended: make(chan struct{})}
			return used, c.stream, true
		}
		r := relay.Result{Status: reply.Status}
		if reply.Status == hoptiller.OK && !call.abandoned {
			r.Data = bytes.Clone(reply.Data)
		}
		if c.release(); !reply.KeepConn {
			p.closeReset(c, CloseLastAnswer)
		}
		call.result <- r
	}
	return used, nil, !c.closed
}
