package front

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

const (
	firstTime    = 2500 * time.Millisecond // for a new client to ask something
	commandTime  = 2500 * time.Millisecond // for the rest of a command that has begun
	idleTime     = 2500 * time.Millisecond // without an open command; the client asks again on a new connection
	headTime     = 2100 * time.Millisecond // that a client may need for a command
	noticeTime   = 800 * time.Millisecond  // for clients to notice that the router is drained
	closeTimeout = 500 * time.Millisecond  // for a client to close its side
	mostAhead    = 2 << 20                 // bytes of all clients together that wait behind their commands
	mostAheadOne = 64 << 10                // and of one
)

// conn is one client connection.
type conn struct {
	net.Conn
	front   *Front
	reader  *buffer.Reader
	pending chan pendingAnswer // answers to come, in the order of the commands
	freed   chan struct{}      // told when one has been written
	faults  int                // commands that made no sense
	client  netip.Addr
	refused bool // it has no place: whatever it asks is refused

	long    *relay.Request // a write of which the value is still to come
	longLen int

	mu    sync.Mutex
	out   int       // commands taken and not answered
	asked bool      // a whole command has come
	part  bool      // a command has come in part
	since time.Time // when the part came, or else since when nothing is out
	end   bool      // once nothing is out
	ahead bool      // what is read now has to wait, since too much is out
	woken bool      // and need not any more

	pieceBy time.Time // when a long value is coming: until when there must be more of it
	restBy  time.Time // when end is set: until when the rest of a command may come

	closeReason    CloseReason // why it ends, if that is known
	closeError     error       // what reading or writing failed with; nil: nothing did
	unanswered     int         // requests of which the answer was not written whole
	lastUnanswered string      // the id of the last of them

	// Guarded by the front's conns.
	entry      *list.Element
	state      connState
	stateSince time.Time
}

// track tells the others what this connection is to them. c.mu is held.
func (c *conn) track() {
	to := silent
	switch {
	case c.out > 0:
		to = busy
	case c.end && (c.asked && !c.part || !c.restBy.After(time.Now())):
		to = going
	case c.part:
		to = halfway
	case c.asked:
		to = idle
	}
	c.front.conns.move(c, to)
}

// endIfIdle ends a connection if nothing is out on it. A command that has begun, or may be on its way where there was none
// yet, has a while to come whole; that may be cut short later, when its place is needed.
func (c *conn) endIfIdle(rest time.Duration, reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if by := time.Now().Add(rest); c.out == 0 && (!c.end || by.Before(c.restBy)) {
		c.end, c.restBy = true, by
		if c.closeReason == CloseUnknown {
			c.closeReason = reason
		}
		c.arm()
	}
}

// arm sets how long the next read may take: a client that says nothing, or never the rest of a command,
// must hold neither a place nor, after SIGTERM, the program. c.mu is held.
func (c *conn) arm() {
	c.track()
	var by time.Time
	switch {
	case c.woken:
		by = time.Unix(1, 0)
	case !c.pieceBy.IsZero():
		by = c.pieceBy
	case c.part:
		by = c.since.Add(commandTime)
	case c.out > 0:
	case c.end && c.asked:
		by = time.Unix(1, 0)
	case c.asked:
		by = c.since.Add(idleTime)
	default:
		by = c.since.Add(firstTime)
	}
	if c.pieceBy.IsZero() && c.end && by.After(c.restBy) {
		by = c.restBy
	}
	c.SetReadDeadline(by)
}

func (c *conn) serve(ctx context.Context) {
	defer c.tellClosed()
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
	own, unread := c.readCommands(ctx)
	if !own {
		cancel() // the client has left: nothing that it asked for is wanted any more
	}
	close(c.pending)
	<-done
	if tcp, ok := c.Conn.(*net.TCPConn); ok && (unread || c.answeredLately()) && ctx.Err() == nil {
		// To close with something unread, or before something comes that is on its way, resets the connection, and the last
		// answer may be lost with it. Where there was none the place is needed: a client that says nothing does not close its
		// side either.
		// A request that crosses the end must not be read: its client may ask again elsewhere only because it was not.
		tcp.CloseWrite()
		c.SetReadDeadline(time.Now().Add(closeTimeout))
		c.reader.AwaitEnd()
	}
}

// answeredLately tells whether a client may not have read its last answer yet.
func (c *conn) answeredLately() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked && time.Since(c.since) < closeTimeout
}

// readCommands reads until the connection ends. It tells whether it ended it itself, so that the answers
// to what came before are still to be written, and whether there may be more that is not read.
func (c *conn) readCommands(ctx context.Context) (own, unread bool) {
	c.mu.Lock()
	c.arm()
	c.mu.Unlock()
	for next := c.reader.Next; ; {
		var gone bool
		var got int
		what := takenPart
		err := next(func(b []byte) (used int) {
			if gone = c.reader.Gone(); !gone { // else it came and has left: nothing that it asked for is wanted
				used, what = c.commands(ctx, b)
			}
			got = used
			return used
		})
		last, later := what == takenLast, what == takenLater
		next = c.reader.Next
		if gone {
			c.closing(CloseClientLeft, nil)
			return false, false
		}
		if c.long != nil && err == nil {
			if last, err = c.gather(ctx); err != nil {
				c.closing(CloseRequestBroken, err)
				return errors.Is(err, os.ErrDeadlineExceeded), false
			}
			if !last {
				next = c.reader.Again
				continue
			}
		}
		// One that is to go and was not silent for that is ended behind what it has asked by now.
		last = last || got > 0 && !later && c.front.rest() > 0 && c.ending() && c.reader.Unread() == 0
		c.mu.Lock()
		if part := c.reader.Unread() > 0 && !later; part != c.part || part && got > 0 { // another command has begun, or none is left
			c.part, c.since = part, time.Now()
		}
		if c.arm(); errors.Is(err, os.ErrDeadlineExceeded) && (c.out == 0 || c.part) && c.reader.Waiting() {
			// A command that has come by now, or the rest of one, is not to be lost. The last look is just before the close: a program with a
			// part of a core may stand still for a while anywhere, and all that came in that time would be reset.
			err = nil
			c.SetReadDeadline(time.Now().Add(closeTimeout))
		}
		c.mu.Unlock()
		switch {
		case last:
			c.closing(c.whyLast(), nil)
			return true, true
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
			c.readFailed(err)
			return true, false
		case err != nil:
			c.readFailed(err)
			return false, false
		case later:
			if err := c.awaitAnswer(ctx); err != nil {
				c.readFailed(err)
				return false, false
			}
			next = c.reader.Again
		}
	}
}

// commands takes the commands at the start of b, and tells what became of the last of them. A long value ends them: it is gathered first.
func (c *conn) commands(ctx context.Context, b []byte) (used int, what taken) {
	for what = takenOne; what == takenOne && c.long == nil && used < len(b); {
		var n int
		n, what = c.command(ctx, b, used)
		used += n
	}
	return used, what
}

// awaitAnswer waits until one of a client's commands is answered. Where the connection ends behind them nothing more is read: whatever is
// has to be answered.
func (c *conn) awaitAnswer(ctx context.Context) error {
	if c.front.rest() == 0 || !c.ending() && !c.front.over() {
		return c.readAhead(ctx)
	}
	select {
	case <-c.freed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readAhead waits until one of a client's commands is answered, as whoever sends much ahead must. It reads on meanwhile, so that
// a client which goes is seen to be gone; but only so much is kept that is not yet taken, of one and of all.
func (c *conn) readAhead(ctx context.Context) (err error) {
	c.mu.Lock()
	c.ahead = true
	c.arm()
	c.mu.Unlock()
	c.front.ahead.Add(int64(c.reader.Unread()))
	defer func() {
		c.front.ahead.Add(-int64(c.reader.Unread()))
		c.mu.Lock()
		c.ahead, c.woken = false, false
		c.arm()
		c.mu.Unlock()
	}()
	for {
		select { // before ahead was set
		case <-c.freed:
			return nil
		default:
		}
		before := c.reader.Unread()
		if c.front.ahead.Load() < mostAhead && before < mostAheadOne {
			err = c.reader.Next(func([]byte) int { return 0 })
			c.front.ahead.Add(int64(c.reader.Unread() - before))
		} else {
			select {
			case <-c.freed:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// ending tells whether the connection goes once nothing is out on it.
func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

func (c *conn) full(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out >= most
}

// settle takes one off what is out. c.mu is held.
func (c *conn) settle() {
	if c.out--; c.out > 0 {
		return
	}
	if rest := c.front.rest(); rest > 0 && !c.end {
		c.end, c.restBy = true, time.Now().Add(rest)
		if c.closeReason == CloseUnknown {
			c.closeReason = CloseDrained
		}
	}
	if !c.part {
		c.since = time.Now()
	}
	c.arm()
}

// writeAnswers writes the answers in the order of their commands.
func (c *conn) writeAnswers(ctx context.Context, cancel context.CancelFunc) {
	broken := false
	for s := range c.pending {
		broken = !c.writeAnswer(ctx, &s, broken) || broken
		if broken {
			cancel() // ends the reading
		}
		c.mu.Lock()
		c.settle()
		c.mu.Unlock()
		select {
		case c.freed <- struct{}{}:
		default:
		}
		c.mu.Lock()
		if c.ahead {
			c.woken = true
			c.arm()
		}
		c.mu.Unlock()
	}
}
