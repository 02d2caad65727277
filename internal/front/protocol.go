package front

import (
	"context"
	"net"
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
)

const (
	readAhead    = 16               // commands of one connection that are begun before the first is answered
	mostFaults   = 8                // commands of one connection that make no sense before it is ended
	writeTimeout = 10 * time.Second // for a client that does not read its answers
)

// pendingAnswer is the place of one answer.
type pendingAnswer struct {
	line   string // an answer that was known at once
	id     string
	class  int
	write  bool
	answer chan relay.Answer
	over   context.CancelFunc // ends the request: no attempt begins for it any more
	at     time.Time          // when it came
}

// taken is what became of a command that may stand at the start of what was read.
type taken uint8

const (
	takenPart  taken = iota // it has not come whole
	takenOne                // it is taken, and the next may be
	takenLast               // it is the last: nothing behind it is read
	takenLater              // it must wait until another one is answered
)

// command takes the command that begins in b at an offset, if it is whole.
func (c *conn) command(ctx context.Context, b []byte, offset int) (used int, what taken) {
	if c.full(readAhead) || c.front.rest() > 0 && c.full(1) {
		return 0, takenLater
	}
	cmd, n, err := meta.ParseCommand(b[offset:])
	switch {
	case err != nil && meta.Fatal(err):
		c.fault(err.Error())
		return n, takenLast
	case err != nil:
		c.fault(err.Error())
		return n, c.afterFault()
	case n == 0:
		return 0, takenPart
	}
	switch cmd.Verb {
	case meta.Noop:
		c.put(pendingAnswer{line: c.front.here()})
	case meta.Version:
		c.put(pendingAnswer{line: "VERSION hoptiller\r\n"})
	case meta.Quit:
		return n, takenLast
	case meta.Unknown:
		c.fault("ERROR")
	default:
		if c.front.crowded() && c.full(1) {
			return 0, takenLater
		}
		req, fault := c.request(&cmd)
		switch {
		case fault != "" && cmd.Long > 0: // what follows is a value
			c.fault(fault)
			return n, takenLast
		case fault != "":
			c.fault(fault)
		case cmd.Long > 0:
			c.long, c.longLen = req, cmd.Long
			return n, takenOne
		default:
			req.Arrived = c.reader.Arrived(offset + n)
			c.invoke(ctx, req, func() {})
		}
	}
	return n, c.afterFault()
}

// afterFault tells whether commands are taken from a client that has sent some that make no sense.
func (c *conn) afterFault() taken {
	if c.faults >= mostFaults {
		return takenLast
	}
	return takenOne
}

// here answers whoever asks whether this router wants clients.
func (f *Front) here() string {
	if !f.Life.Phase().Wanted() {
		return "SERVER_ERROR draining\r\n"
	}
	return "MN\r\n"
}

// fault answers what makes no sense. A client that goes on with it is ended.
func (c *conn) fault(line string) {
	c.faults++
	c.put(pendingAnswer{line: line + "\r\n"})
}

func (c *conn) put(s pendingAnswer) {
	c.mu.Lock()
	c.out++
	c.asked = true
	c.track()
	c.mu.Unlock()
	c.pending <- s // has room: see command
}

// request makes one of a command, or tells what is wrong with it.
func (c *conn) request(cmd *meta.Command) (req *relay.Request, fault string) {
	req = &relay.Request{Write: cmd.Verb == meta.Set, Client: c.client, Gone: c.reader.Gone}
	if fault := c.front.facts(req, cmd.Facts); fault != "" {
		return nil, "CLIENT_ERROR " + fault
	}
	if !c.front.begin(string(cmd.ID)) {
		return nil, "CLIENT_ERROR request id is in use"
	}
	// The command must outlive the buffer that it was read into, at its own size: most are short.
	b := make([]byte, 0, len(cmd.Key)+len(cmd.ID)+len(cmd.Facts)+len(cmd.Value))
	keep := func(s []byte) []byte {
		from := len(b)
		b = append(b, s...)
		return b[from:len(b):len(b)]
	}
	req.Key, req.ID, req.Facts, req.Value = keep(cmd.Key), keep(cmd.ID), keep(cmd.Facts), keep(cmd.Value)
	return req, ""
}

// invoke starts a request; free is called once nothing is out for it.
func (c *conn) invoke(ctx context.Context, req *relay.Request, free func()) {
	c.front.Counts.Accepted()
	if c.front.over() || c.refused {
		free()
		c.front.ended(string(req.ID))
		c.answerUnserved(req)
		return
	}
	ctx, over := context.WithCancel(ctx)
	s := pendingAnswer{id: string(req.ID), class: req.Class, write: req.Write, answer: make(chan relay.Answer), over: over, at: time.Now()}
	go func() {
		a := c.front.Server.Serve(ctx, req)
		free()
		c.front.ended(s.id)
		select {
		case s.answer <- a:
		case <-ctx.Done(): // the client has left, and its connection does not wait for what is still out
			if a.Body != nil {
				a.Body.Close()
			}
		}
	}()
	c.put(s)
}

// answerUnserved answers a request of which nothing was sent on: as refused where its client has no place, else as failed.
func (c *conn) answerUnserved(req *relay.Request) {
	if c.refused {
		c.front.Counts.Finished(req.Class, metrics.Rejected)
		c.put(pendingAnswer{line: string(meta.AppendBusy(nil, 0))})
		return
	}
	c.front.Counts.Finished(req.Class, metrics.Failed)
	c.put(pendingAnswer{line: string(meta.AppendFailed(nil))})
}

// facts reads the names and values that come with a request and tells what is wrong with them.
func (f *Front) facts(req *relay.Request, facts []byte) (fault string) {
	class, _ := meta.Fact(facts, "c")
	if f.AnyClass {
		req.Class = 0
	} else if req.Class = slices.Index(f.Classes, string(class)); req.Class < 0 || len(class) == 0 {
		return "unknown class"
	}
	wait, stated, err := meta.Deadline(facts)
	if err != nil {
		return err.Error()
	}
	if req.Wait = wait; !stated {
		req.Wait = f.Deadlines[req.Class]
	}
	if len(f.Tenants) > 0 { // one that is not known has no share to go beyond
		tenant, _ := meta.Fact(facts, "t")
		if req.Tenant = slices.Index(f.Tenants, string(tenant)); len(tenant) == 0 {
			req.Tenant = -1
		}
	}
	retry, _ := meta.Fact(facts, "r")
	req.Retry = string(retry) == "1"
	return ""
}

func (c *conn) writeAnswer(ctx context.Context, s *pendingAnswer, broken bool) bool {
	if s.answer == nil {
		return !broken && c.write([]byte(s.line))
	}
	defer s.over()
	var a relay.Answer
	select {
	case a = <-s.answer:
	case <-c.front.answered.Done(): // this process ends: the client must hear so before that, and nothing may be sent on after that
		s.over()
		a.Kind = hoptiller.StepFail
	case <-ctx.Done():
		c.leftUnanswered(s.id)
		c.front.Counts.Finished(s.class, metrics.Failed)
		return false
	}
	written := !broken && c.writeFinal(ctx, s, &a)
	if a.Body != nil {
		a.Body.Close()
	}
	if !written {
		c.leftUnanswered(s.id)
	}
	how := metrics.Failed
	switch {
	case a.Kind == hoptiller.StepServed && written:
		how = metrics.Completed
		if aim := c.front.Aims; aim != nil && aim[s.class] > 0 && time.Since(s.at) > aim[s.class] {
			c.front.Counts.Late(s.class)
		}
	case a.Kind == hoptiller.StepReject:
		how = metrics.Rejected
	}
	c.front.Counts.Finished(s.class, how)
	return written
}

// writeFinal writes the final answer to a request.
func (c *conn) writeFinal(ctx context.Context, s *pendingAnswer, a *relay.Answer) bool {
	var b []byte
	switch {
	case a.Kind == hoptiller.StepServed && s.write:
		b = meta.AppendStored(b, s.id, a.Data)
	case a.Kind == hoptiller.StepServed && a.Body != nil:
		return c.writeBody(ctx, s.id, a.Body)
	case a.Kind == hoptiller.StepServed:
		return c.write(meta.AppendValueHead(b, s.id, len(a.Data)), a.Data, []byte("\r\n"))
	case a.Kind == hoptiller.StepReject:
		b = meta.AppendBusy(b, a.RetryAfter.Milliseconds())
	default:
		b = meta.AppendFailed(b)
	}
	return c.write(b)
}

// writeBody passes a long value on as it comes. One that does not come whole ends the connection before the line's
// end that would make it so.
func (c *conn) writeBody(ctx context.Context, id string, body relay.Body) bool {
	defer context.AfterFunc(ctx, body.Close)()
	if !c.write(meta.AppendValueHead(nil, id, body.Len())) {
		return false
	}
	given := 0
	var unwritable error
	if err := body.Copy(func(piece []byte) error {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Write(piece)
		given, unwritable = given+n, err
		return err
	}); err != nil {
		c.valueCut(id, given, body.Len(), err, unwritable != nil)
		return false
	}
	return c.write([]byte("\r\n"))
}

func (c *conn) write(parts ...[]byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	b := net.Buffers(parts)
	_, err := b.WriteTo(c.Conn)
	if err != nil {
		c.closing(CloseUnwritable, err)
	}
	return err == nil
}
