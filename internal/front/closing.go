package front

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"slices"
)

// CloseReason is why a client connection ended.
type CloseReason uint8

// The reasons for which a client connection ends.
const (
	CloseUnknown       CloseReason = iota // none was noted: the program ends
	CloseClientLeft                       // the client closed its side
	CloseClientBroke                      // reading from it failed
	CloseQuit                             // the client asked for the end
	CloseFaults                           // it sent too much that makes no sense
	CloseIdle                             // it was idle, never asked anything, or stopped in a command
	CloseMadeRoom                         // its place was needed
	CloseDrained                          // the router is drained or ends
	CloseUnwritable                       // an answer could not be written
	CloseValueFailed                      // a long answer did not come whole
	CloseRequestBroken                    // a long value that it sent did not come whole
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"unknown", "client_left", "client_broke", "quit", "faults", "idle", "made_room", "drained", "unwritable", "value_failed",
	"request_broken",
}

// String returns the reason as it is written in the log and the metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons, in their order.
func CloseReasons() []string { return slices.Clone(closeReasonNames[:]) }

// closing notes why the connection ends, unless that is known already.
func (c *conn) closing(reason CloseReason, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == CloseUnknown {
		c.closeReason, c.closeError = reason, err
	}
}

// readFailed notes the end of a connection by an error of its reads.
func (c *conn) readFailed(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closing(CloseIdle, nil)
	case errors.Is(err, io.EOF):
		c.closing(CloseClientLeft, nil)
	default:
		c.closing(CloseClientBroke, err)
	}
}

// tellClosed counts the end of the connection, and logs it where answers were owed on it.
func (c *conn) tellClosed() {
	c.mu.Lock()
	reason, err, unanswered := c.closeReason, c.closeError, c.unanswered
	c.mu.Unlock()
	if c.front.Closed != nil {
		c.front.Closed(reason)
	}
	if unanswered == 0 {
		return
	}
	args := []any{"client", c.client, "reason", reason.String(), "unanswered", unanswered, "last", c.lastUnanswered}
	if err != nil {
		args = append(args, "err", err)
	}
	slog.Info("client connection ended unanswered", args...)
}

// leftUnanswered notes a request of which the answer was not written whole.
func (c *conn) leftUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered++
	c.lastUnanswered = id
}

// valueCut logs a long answer that a client got in part, and whose end it was.
func (c *conn) valueCut(id string, given, length int, err error, unwritable bool) {
	reason := CloseValueFailed
	if unwritable {
		reason = CloseUnwritable
	}
	c.closing(reason, err)
	slog.Info("long answer cut off", "request", id, "given", given, "length", length, "reason", reason.String(), "err", err)
}

// whyLast tells why a connection takes no further commands, where that was not noted.
func (c *conn) whyLast() CloseReason {
	if c.faults > 0 {
		return CloseFaults
	}
	return CloseQuit
}
