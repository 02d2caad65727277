package front

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

const (
	firstCommandTimeout = 2500 * time.Millisecond // for the first command of a new client
	commandTimeout      = 2500 * time.Millisecond // for the rest of a command of which a part has arrived
	idleTimeout         = 2500 * time.Millisecond // without an open command; the client opens a new connection for its next one
	maxCommandTime      = 2100 * time.Millisecond // that a client may need to send a complete command
	drainNoticeTime     = 800 * time.Millisecond  // for clients to notice that the router drains and to disconnect
	closeTimeout        = 500 * time.Millisecond  // for a client to close its side of the connection
)

// conn is one client connection.
type conn struct {
	net.Conn
	front           *Front
	reader          *buffer.Reader
	answers         *answerQueue  // the answers still to be written
	answerWritten   chan struct{} // receives a value after each answer that is written
	invalidCommands int           // number of invalid commands
	client          netip.Addr
	rejectsRequests bool // the client has no connection slot: all its requests are rejected

	longWrite    *relay.Request // a write request whose long value has not been read yet
	longWriteLen int            // length of that value in bytes
	discarded    int            // number of bytes that follow and belong to a refused command
	pacer        pacer

	mu                sync.Mutex
	openCommands      int       // number of commands taken and not answered yet
	receivedCommand   bool      // at least one complete command has arrived
	hasPartialCommand bool      // the first part of a command has arrived
	waitingSince      time.Time // when that part arrived, or since when no command is open
	endWhenIdle       bool      // the connection ends as soon as no command is open
	readingAhead      bool      // what is read now has to wait, since too many commands are open
	readAheadDone     bool      // a command was answered meanwhile: the wait is over
	readAheadFull     time.Time // since when, without an answer, the commands that wait fill their memory
	received          progress  // what has been read so far
	visible           progress  // what had been read when the end of the client would have been seen for the last time
	readEnded         bool      // nothing is read any more: there is no read deadline

	pieceDeadline time.Time // while a long value is read: the time by which more of it must arrive
	restDeadline  time.Time // with endWhenIdle: the time by which the rest of a command must arrive

	closeReason      CloseReason // why the connection ends, if that is known
	closeError       error       // the error of a read or write; nil if none failed
	unansweredCount  int         // number of requests whose answer was not written completely
	lastUnansweredID string      // the id of the last such request

	// The following fields are guarded by the lock of the front's connTable.
	listEntry  *list.Element
	state      connState
	stateSince time.Time
}

// updateState moves the connection to its current state in the connTable. c.mu is held.
func (c *conn) updateState() {
	state := silent
	switch {
	case c.openCommands > 0:
		state = busy
	case c.endWhenIdle && (c.receivedCommand && !c.hasPartialCommand || !c.restDeadline.After(time.Now())):
		state = ending
	case c.hasPartialCommand:
		state = midCommand
	case c.receivedCommand:
		state = idle
	}
	c.front.conns.setState(c, state)
}

// endIfIdle ends a connection if no command is open on it. A command that has arrived in part, or a first command that may
// be on its way, has the time grace to arrive completely. A later call with a shorter grace, made when the connection slot
// is needed, shortens that time.
func (c *conn) endIfIdle(grace time.Duration, reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline := time.Now().Add(grace); c.openCommands == 0 && (!c.endWhenIdle || deadline.Before(c.restDeadline)) {
		c.endWhenIdle, c.restDeadline = true, deadline
		if c.closeReason == CloseUnknown {
			c.closeReason = reason
		}
		c.updateReadDeadline()
	}
}

// updateReadDeadline sets how long the next read may take. A client that sends nothing, or never sends the rest of a
// command, must not occupy a connection slot and must not delay the end of the process after SIGTERM. c.mu is held.
func (c *conn) updateReadDeadline() {
	c.updateState()
	if c.readEnded {
		return
	}
	var deadline time.Time
	switch {
	case c.readAheadDone:
		deadline = time.Unix(1, 0)
	case !c.pieceDeadline.IsZero():
		deadline = c.pieceDeadline
	case c.hasPartialCommand:
		deadline = c.waitingSince.Add(commandTimeout)
	case c.readingAhead && time.Since(c.readAheadFull) < c.front.ReadAheadWait:
		deadline = c.readAheadFull.Add(c.front.ReadAheadWait)
	case c.openCommands > 0:
	case c.endWhenIdle && c.receivedCommand:
		deadline = time.Unix(1, 0)
	case c.receivedCommand:
		deadline = c.waitingSince.Add(idleTimeout)
	default:
		deadline = c.waitingSince.Add(firstCommandTimeout)
	}
	if c.pieceDeadline.IsZero() && c.endWhenIdle && deadline.After(c.restDeadline) {
		deadline = c.restDeadline
	}
	c.SetReadDeadline(deadline)
}

// serve reads the commands of the client and writes the answers until the connection ends or ctx is done.
func (c *conn) serve(ctx context.Context) {
	defer c.reportClosed()
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeAnswers(ctx, cancel)
	}()
	endedHere, unread := c.readCommands(ctx)
	if !endedHere {
		cancel() // the client has disconnected: its requests are cancelled
	}
	c.answers.close()
	if endedHere {
		c.awaitPeerClose(done, cancel)
	}
	<-done
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (unread || c.answeredRecently()) && ctx.Err() == nil {
		// Closing a connection while data is unread or still on its way resets the connection, and the client may lose the
		// last answer. If no answer was written, the connection is closed at once, since its slot is needed and a silent
		// client does not close its side either.
		// A request that arrives after CloseWrite must not be read: the client may retry it elsewhere only
		// because it was not read.
		tcp.CloseWrite()
		c.SetReadDeadline(time.Now().Add(closeTimeout))
		c.reader.AwaitPeerClose()
	}
}

// awaitPeerClose waits for the end of a client whose commands are all taken, until its answers are written, and calls cancel at that
// end. Nothing is read any more. A client that has sent quit may end its side at once and still read its answers.
func (c *conn) awaitPeerClose(answersWritten <-chan struct{}, cancel context.CancelFunc) {
	c.mu.Lock()
	c.readEnded = true
	c.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		if c.reader.AwaitPeerClose() == nil && !c.hasQuit() {
			cancel()
		}
	}()
	<-answersWritten
	c.SetReadDeadline(time.Unix(1, 0))
	<-stop
}

// hasQuit reports whether the client has ended the connection with a command.
func (c *conn) hasQuit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason == CloseQuit
}

// loggedPauses is after how many pauses of a connection the log tells that it is paced.
const loggedPauses = 100

// pace lets the reader pause if it has taken many commands in a short time.
func (c *conn) pace(ctx context.Context, taken int) {
	before := c.pacer.pauses
	if c.pacer.pause(ctx, taken); before < loggedPauses && c.pacer.pauses == loggedPauses {
		slog.Info("client paced", "client", c.client, "read", c.reader.TotalRead)
	}
}

// answeredRecently reports whether a client may not have read its last answer yet.
func (c *conn) answeredRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedCommand && time.Since(c.waitingSince) < closeTimeout
}

// readCommands reads commands until the connection ends. endedHere reports that the router ended the connection: the answers
// to the commands taken so far are still to be written. unread reports that there may be data that was not read.
func (c *conn) readCommands(ctx context.Context) (endedHere, unread bool) {
	c.mu.Lock()
	c.updateReadDeadline()
	c.mu.Unlock()
	for next := c.reader.Next; ; {
		var disconnected bool
		var consumed, taken int
		outcome := outcomeIncomplete
		err := next(func(b []byte) (used int) {
			if disconnected = c.reader.PeerClosed(); !disconnected { // a client that has disconnected wants no answer
				used, taken, outcome = c.takeCommands(ctx, b)
			}
			consumed = used
			return used
		})
		c.recordRead()
		last, mustWait := outcome == outcomeLast, outcome == outcomeMustWait
		next = c.reader.Next
		c.pace(ctx, taken)
		if disconnected {
			c.setCloseReason(CloseClientDisconnected, nil)
			return false, false
		}
		if c.longWrite != nil && err == nil {
			if last, err = c.readLongValue(ctx); err != nil {
				c.setCloseReason(CloseRequestBroken, err)
				return errors.Is(err, os.ErrDeadlineExceeded), false
			}
			if !last {
				next = c.reader.Redeliver
				continue
			}
		}
		// If a connection is to end while its client still sends, it ends after the commands that have been taken so far.
		last = last || consumed > 0 && !mustWait && c.front.grace() > 0 && c.endsWhenIdle() && !c.hasUnfinishedCommand()
		c.mu.Lock()
		if partial := c.hasUnfinishedCommand() && !mustWait; partial != c.hasPartialCommand || partial && taken > 0 {
			// Another command has begun, or no partial one is left.
			c.hasPartialCommand, c.waitingSince = partial, time.Now()
		}
		if c.updateReadDeadline(); errors.Is(err, os.ErrDeadlineExceeded) && (c.openCommands == 0 || c.hasPartialCommand) &&
			c.reader.MoreArrived() {
			// A command, or the rest of one, that has already arrived must not be lost. The final check is made right before the
			// close: a process with a fraction of a core may be paused at any point, and the close would reset all that arrived
			// during the pause.
			err = nil
			c.SetReadDeadline(time.Now().Add(closeTimeout))
		}
		c.mu.Unlock()
		switch {
		case last:
			c.setCloseReason(c.lastCommandReason(), nil)
			return true, true
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
			c.setReadError(err)
			return true, false
		case err != nil:
			c.setReadError(err)
			return false, false
		case mustWait:
			if err := c.awaitAnswer(ctx); err != nil {
				c.setReadError(err)
				return false, false
			}
			next = c.reader.Redeliver
		}
	}
}

// takeCommands takes the commands at the start of b. It returns the number of bytes used, the number of commands and the outcome of
// the last one. It stops at a command with a long value, which is read before the next command.
func (c *conn) takeCommands(ctx context.Context, b []byte) (used, taken int, outcome commandOutcome) {
	used = c.discard(b)
	for outcome = outcomeTaken; outcome == outcomeTaken && c.longWrite == nil && used < len(b); {
		var n int
		n, outcome = c.takeCommand(ctx, b, used)
		if used += n; n > 0 {
			taken++
		}
	}
	return used, taken, outcome
}

// hasUnfinishedCommand reports whether a command has arrived in part.
func (c *conn) hasUnfinishedCommand() bool { return c.reader.Unconsumed() > 0 || c.discarded > 0 }

// endsWhenIdle reports whether the connection ends as soon as no command is open on it.
func (c *conn) endsWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endWhenIdle
}

// openCommandsReach reports whether at least limit commands are open.
func (c *conn) openCommandsReach(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCommands >= limit
}

// commandsAnswered records that open commands have been answered. c.mu is held.
func (c *conn) commandsAnswered(count int) {
	if c.openCommands -= count; c.openCommands > 0 {
		return
	}
	if grace := c.front.grace(); grace > 0 && !c.endWhenIdle {
		c.endWhenIdle, c.restDeadline = true, time.Now().Add(grace)
		if c.closeReason == CloseUnknown {
			c.closeReason = CloseDrained
		}
	}
	if !c.hasPartialCommand {
		c.waitingSince = time.Now()
	}
	c.updateReadDeadline()
}

// writeAnswers writes the answers in the order of their commands.
func (c *conn) writeAnswers(ctx context.Context, cancel context.CancelFunc) {
	broken := false
	for {
		pending, ok := c.answers.take()
		if !ok {
			return
		}
		broken = !c.writeAnswer(ctx, &pending, broken) || broken
		if broken {
			cancel() // ends readCommands
		}
		c.mu.Lock()
		c.commandsAnswered(pending.count)
		c.readAheadFull, c.visible = time.Time{}, progress{c.received.bytes, time.Now()}
		c.mu.Unlock()
		select {
		case c.answerWritten <- struct{}{}:
		default:
		}
		c.mu.Lock()
		if c.readingAhead {
			c.readAheadDone = true
			c.updateReadDeadline()
		}
		c.mu.Unlock()
	}
}
