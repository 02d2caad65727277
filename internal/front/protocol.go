package front

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"time"

	"hoptiller"
	"hoptiller/internal/meta"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
)

const (
	maxOpenCommands    = 16               // open commands of one connection
	maxInvalidCommands = 8                // invalid commands after which a connection ends
	writeTimeout       = 10 * time.Second // for a client to read an answer, or a piece of a long one
)

// pendingAnswer is an answer that is still to be written.
type pendingAnswer struct {
	line      string // the answer itself if it was known at once; answer is nil then
	count     int    // number of commands in a row that line answers
	id        string
	class     int
	write     bool
	answer    chan relay.Answer
	memory    *answerClaim       // of the answer
	cancel    context.CancelFunc // cancels the request: no further attempt is started for it
	startedAt time.Time          // when the request was started
}

// commandOutcome says what became of the command at the start of the data that was read.
type commandOutcome uint8

const (
	outcomeIncomplete commandOutcome = iota // the command has not arrived completely
	outcomeTaken                            // the command is taken; the next one may be taken too
	outcomeLast                             // the command is the last one: nothing after it is read
	outcomeMustWait                         // the command must wait until an earlier one is answered
)

// takeCommand takes the command that begins at an offset in b, if it is complete. It returns the number of bytes used.
func (c *conn) takeCommand(ctx context.Context, b []byte, offset int) (used int, outcome commandOutcome) {
	if c.openCommandsReach(maxOpenCommands) || c.front.grace() > 0 && c.openCommandsReach(1) {
		return 0, outcomeMustWait
	}
	cmd, n, err := meta.ParseArrivingCommand(b[offset:])
	switch {
	case err != nil && meta.IsFatal(err):
		c.answerInvalid(err.Error())
		return n, outcomeLast
	case err != nil:
		return n, c.rejectCommand(&cmd, err.Error())
	case n == 0:
		return 0, outcomeIncomplete
	}
	switch cmd.Verb {
	case meta.Noop, meta.Version:
		c.enqueue(pendingAnswer{line: c.statusAnswer(cmd.Verb)})
	case meta.Quit:
		return n, outcomeLast
	case meta.Unknown:
		c.answerInvalid("ERROR")
	default:
		if c.openCommandsReach(1) && (c.front.hasMaxOpen() || !c.front.answerMemory.hasRoom()) {
			return 0, outcomeMustWait
		}
		req, fault := c.newRequest(&cmd)
		switch {
		case fault != "":
			return n, c.rejectCommand(&cmd, fault)
		case cmd.LongValueLen > 0:
			c.longWrite, c.longWriteLen = req, cmd.LongValueLen
			return n, outcomeTaken
		default:
			req.Arrived = c.reader.EarliestArrival(offset + n)
			c.startRequest(ctx, req, func() {})
		}
	}
	return n, c.outcomeAfterInvalid()
}

// rejectCommand answers an invalid command. The value that follows it, if any, can't be read as commands: it is discarded, or the
// connection ends if the value is long.
func (c *conn) rejectCommand(cmd *meta.Command, fault string) commandOutcome {
	c.answerInvalid(fault)
	if cmd.LongValueLen > meta.MaxShortValue {
		return outcomeLast
	}
	c.discardValue(cmd)
	return c.outcomeAfterInvalid()
}

// outcomeAfterInvalid returns outcomeLast if the client has sent too many invalid commands, else outcomeTaken.
func (c *conn) outcomeAfterInvalid() commandOutcome {
	if c.invalidCommands >= maxInvalidCommands {
		return outcomeLast
	}
	return outcomeTaken
}

// statusAnswer returns the answer to a command that asks for the state or the version of the router.
func (c *conn) statusAnswer(verb meta.Verb) string {
	if verb == meta.Version {
		return "VERSION hoptiller\r\n"
	}
	return c.front.noopAnswer()
}

// noopAnswer returns the answer to a no-op, by which clients ask whether this router is to serve them.
func (f *Front) noopAnswer() string {
	if !f.Lifecycle.Phase().WantsClients() {
		return "SERVER_ERROR draining\r\n"
	}
	return "MN\r\n"
}

// answerInvalid answers an invalid command and counts it.
func (c *conn) answerInvalid(line string) {
	c.invalidCommands++
	c.enqueue(pendingAnswer{line: line + "\r\n"})
}

// enqueue adds the answer to a command to those that are to be written.
func (c *conn) enqueue(pending pendingAnswer) {
	pending.count = 1
	c.mu.Lock()
	c.openCommands++
	c.receivedCommand = true
	c.updateState()
	c.mu.Unlock()
	c.answers.add(pending)
}

// newRequest makes a request from a command. If the command is invalid, fault is the error line to answer with.
func (c *conn) newRequest(cmd *meta.Command) (req *relay.Request, fault string) {
	req = &relay.Request{Write: cmd.Verb == meta.Set, ClientAddr: c.client, Disconnected: c.mayHaveDisconnected}
	if fault := c.front.parseFacts(req, cmd.Facts); fault != "" {
		return nil, "CLIENT_ERROR " + fault
	}
	if !c.front.reserveID(req, string(cmd.ID)) {
		slog.Info("request failed", "request", string(cmd.ID), "class", req.Class, "waits", req.Timeout.Round(time.Millisecond),
			"reason", "id in use")
		return nil, "CLIENT_ERROR request id is in use"
	}
	// The request must outlive the read buffer, so its fields are copied. The copy has exactly their size, since most are short.
	copied := make([]byte, 0, len(cmd.Key)+len(cmd.ID)+len(cmd.Facts)+len(cmd.Value))
	copyBytes := func(s []byte) []byte {
		from := len(copied)
		copied = append(copied, s...)
		return copied[from:len(copied):len(copied)]
	}
	req.Key, req.ID, req.Facts, req.Value = copyBytes(cmd.Key), copyBytes(cmd.ID), copyBytes(cmd.Facts), copyBytes(cmd.Value)
	return req, ""
}

// noAnswerMemory is the reason for which a read is refused whose answer finds no memory while it waits to be written.
const noAnswerMemory = "no memory for its answer"

// startRequest starts a request. It calls release when no attempt for the request is in flight any more.
func (c *conn) startRequest(ctx context.Context, req *relay.Request, release func()) {
	c.front.Counts.Accepted()
	if c.front.hasFailedOpenRequests() || c.rejectsRequests {
		release()
		c.front.releaseID(req, false)
		c.answerUnserved(req)
		return
	}
	if !req.Write && !c.front.answerMemory.hasRoom() {
		release()
		c.front.releaseID(req, false)
		c.front.Counts.Finished(req.Class, metrics.Rejected)
		c.refuse(req, noAnswerMemory)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	pending := pendingAnswer{id: string(req.ID), class: req.Class, write: req.Write, answer: make(chan relay.Answer),
		memory: c.front.answerMemory.claim(), cancel: cancel, startedAt: time.Now()}
	go func() {
		answer := c.front.Server.Serve(ctx, req)
		if !pending.memory.settle(len(answer.Data)) && !req.Write {
			logUnserved("request refused", req, noAnswerMemory)
			answer = relay.Answer{Kind: hoptiller.StepReject}
		}
		release()
		c.front.releaseID(req, answer.MayHaveRun)
		select {
		case pending.answer <- answer:
		case <-ctx.Done(): // the client has disconnected, and its connection doesn't wait for attempts in flight
			pending.memory.release()
			if answer.Body != nil {
				answer.Body.Close()
			}
		}
	}()
	c.enqueue(pending)
}

// answerWithoutMemory answers a request as rejected that found no memory for its long value.
func (c *conn) answerWithoutMemory(req *relay.Request) {
	c.front.Counts.Accepted()
	c.front.Counts.Finished(req.Class, metrics.Rejected)
	c.refuse(req, "no memory for its value")
}

// refuse answers a request as rejected that finds no room here.
func (c *conn) refuse(req *relay.Request, reason string) {
	logUnserved("request refused", req, reason)
	var retryAfter time.Duration
	if req.Class < len(c.front.RetryAfter) {
		retryAfter = c.front.RetryAfter[req.Class]
	}
	c.enqueue(pendingAnswer{line: string(meta.AppendBusy(nil, retryAfter.Milliseconds()))})
}

// answerUnserved answers a request that was not passed to the Server: as rejected if its client has no slot, else as failed.
func (c *conn) answerUnserved(req *relay.Request) {
	if c.rejectsRequests {
		logUnserved("request refused", req, "no connection slot")
		c.front.Counts.Finished(req.Class, metrics.Rejected)
		c.enqueue(pendingAnswer{line: string(meta.AppendBusy(nil, 0))})
		return
	}
	logUnserved("request failed", req, "shutdown")
	c.front.Counts.Finished(req.Class, metrics.Failed)
	c.enqueue(pendingAnswer{line: string(meta.AppendFailed(nil))})
}

// logUnserved logs the end of a request that was not passed to the Server, which logs how the others end.
func logUnserved(message string, req *relay.Request, reason string) {
	slog.Info(message, "request", string(req.ID), "class", req.Class, "waits", req.Timeout.Round(time.Millisecond), "reason", reason)
}

// parseFacts reads the facts of a request, which are name=value pairs, into req. If they are invalid, fault says why.
func (f *Front) parseFacts(req *relay.Request, facts []byte) (fault string) {
	class, _ := meta.LookupFact(facts, "c")
	if f.AnyClass {
		req.Class = 0
	} else if req.Class = slices.Index(f.Classes, string(class)); req.Class < 0 || len(class) == 0 {
		return "unknown class"
	}
	timeout, stated, err := meta.Deadline(facts)
	if err != nil {
		return err.Error()
	}
	if req.Timeout = timeout; !stated {
		req.Timeout = f.Deadlines[req.Class]
	}
	if len(f.Tenants) > 0 { // an unknown tenant has the number -1 and no share that it could exceed
		tenant, _ := meta.LookupFact(facts, "t")
		if req.Tenant = slices.Index(f.Tenants, string(tenant)); len(tenant) == 0 {
			req.Tenant = -1
		}
	}
	retry, _ := meta.LookupFact(facts, "r")
	req.Retry = string(retry) == "1"
	return ""
}

// writeAnswer waits for an answer and writes it, unless the connection is broken. It counts how the request ended and reports
// whether the answer was written completely.
func (c *conn) writeAnswer(ctx context.Context, pending *pendingAnswer, broken bool) bool {
	if pending.answer == nil {
		return !broken && c.writeLines(pending.line, pending.count)
	}
	defer pending.cancel()
	var answer relay.Answer
	select {
	case answer = <-pending.answer:
		defer pending.memory.release()
	case <-c.front.openFailed.Done():
		// The client must get an answer before the process ends, and no attempt may be sent after that answer.
		pending.cancel()
		answer.Kind = hoptiller.StepFail
	case <-ctx.Done():
		c.recordUnanswered(pending.id)
		c.front.Counts.Finished(pending.class, metrics.Failed)
		return false
	}
	written := !broken && c.writeFinal(ctx, pending, &answer)
	if answer.Body != nil {
		answer.Body.Close()
	}
	if !written {
		c.recordUnanswered(pending.id)
	}
	result := metrics.Failed
	switch {
	case answer.Kind == hoptiller.StepServed && written:
		result = metrics.Completed
		if aim := c.front.Aims; aim != nil && aim[pending.class] > 0 && time.Since(pending.startedAt) > aim[pending.class] {
			c.front.Counts.Late(pending.class)
		}
	case answer.Kind == hoptiller.StepReject:
		result = metrics.Rejected
	}
	c.front.Counts.Finished(pending.class, result)
	return written
}

// writeFinal writes the final answer to a request and reports whether that succeeded.
func (c *conn) writeFinal(ctx context.Context, pending *pendingAnswer, answer *relay.Answer) bool {
	var b []byte
	switch {
	case answer.Kind == hoptiller.StepServed && pending.write:
		b = meta.AppendStored(b, pending.id, answer.Data)
	case answer.Kind == hoptiller.StepServed && answer.Body != nil:
		return c.writeBody(ctx, pending.id, answer.Body)
	case answer.Kind == hoptiller.StepServed:
		return c.write(meta.AppendValueHead(b, pending.id, len(answer.Data)), answer.Data, []byte("\r\n"))
	case answer.Kind == hoptiller.StepReject:
		b = meta.AppendBusy(b, answer.RetryAfter.Milliseconds())
	default:
		b = meta.AppendFailed(b)
	}
	return c.write(b)
}

// writeBody writes a long value to the client piece by piece as it arrives. If the value does not arrive completely, the
// connection ends without the final line end, so that the client sees that the value is incomplete.
func (c *conn) writeBody(ctx context.Context, id string, body relay.Body) bool {
	defer context.AfterFunc(ctx, body.Close)()
	if !c.write(meta.AppendValueHead(nil, id, body.Len())) {
		return false
	}
	begun, written := time.Now(), 0
	var unwritable error
	if err := body.Copy(func(piece []byte) error {
		deadline := time.Now().Add(writeTimeout)
		if body.HoldsMemory() {
			deadline = nextPieceDeadline(begun, time.Now(), written, writeTimeout)
		}
		c.SetWriteDeadline(deadline)
		n, err := c.Write(piece)
		written, unwritable = written+n, err
		return err
	}); err != nil {
		c.recordTruncatedAnswer(id, written, body.Len(), err, unwritable != nil)
		return false
	}
	return c.write([]byte("\r\n"))
}

// writeLines writes a line count times and reports whether that succeeded.
func (c *conn) writeLines(line string, count int) bool {
	const atOnce = 256
	for ; count > 0; count -= atOnce {
		if !c.write([]byte(strings.Repeat(line, min(count, atOnce)))) {
			return false
		}
	}
	return true
}

// write writes parts to the client and reports whether that succeeded.
func (c *conn) write(parts ...[]byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	b := net.Buffers(parts)
	_, err := b.WriteTo(c.Conn)
	if err != nil {
		c.setCloseReason(CloseWriteFailed, err)
	}
	return err == nil
}
