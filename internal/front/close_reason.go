package front

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"slices"
)

// CloseReason says why a client connection ended.
type CloseReason uint8

// The reasons for which a client connection ends.
const (
	CloseUnknown            CloseReason = iota // no reason was recorded: the process ends
	CloseClientDisconnected                    // the client closed its side
	CloseReadFailed                            // reading from it failed
	CloseQuit                                  // the client sent the quit command
	CloseInvalidCommands                       // the client sent too many invalid commands
	CloseIdle                                  // the client was idle, sent no command at all, or stopped in the middle of one
	CloseEvicted                               // another client needed the connection slot
	CloseDrained                               // the router drains or stops
	CloseWriteFailed                           // an answer could not be written
	CloseValueFailed                           // a long answer did not arrive completely from its server
	CloseRequestBroken                         // a long value did not arrive completely from the client
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"unknown", "client_left", "client_broke", "quit", "faults", "idle", "made_room", "drained", "unwritable", "value_failed",
	"request_broken",
}

// String returns the name of the reason in the log and the metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons, in the order of the constants.
func CloseReasons() []string { return slices.Clone(closeReasonNames[:]) }

// setCloseReason records why the connection ends, unless a reason is known already.
func (c *conn) setCloseReason(reason CloseReason, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == CloseUnknown {
		c.closeReason, c.closeError = reason, err
	}
}

// setReadError records that the connection ends because a read returned err.
func (c *conn) setReadError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.setCloseReason(CloseIdle, nil)
	case errors.Is(err, io.EOF):
		c.setCloseReason(CloseClientDisconnected, nil)
	default:
		c.setCloseReason(CloseReadFailed, err)
	}
}

// reportClosed reports the end of the connection to Front.OnClosed. It logs the end if requests were left unanswered.
func (c *conn) reportClosed() {
	c.mu.Lock()
	reason, err, unanswered, read := c.closeReason, c.closeError, c.unansweredCount, c.received.bytes
	c.mu.Unlock()
	if c.front.OnClosed != nil {
		c.front.OnClosed(reason)
	}
	if unanswered == 0 {
		return
	}
	args := []any{"client", c.client, "reason", reason.String(), "unanswered", unanswered, "last", c.lastUnansweredID,
		"read", read, "pauses", c.pacer.pauses}
	if err != nil {
		args = append(args, "err", err)
	}
	slog.Info("client connection ended unanswered", args...)
}

// recordUnanswered records a request whose answer was not written completely.
func (c *conn) recordUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredCount++
	c.lastUnansweredID = id
}

// recordTruncatedAnswer logs a long answer that a client received only in part. unwritable reports that writing to the client
// failed; otherwise reading the value failed.
func (c *conn) recordTruncatedAnswer(id string, written, length int, err error, unwritable bool) {
	reason := CloseValueFailed
	if unwritable {
		reason = CloseWriteFailed
	}
	c.setCloseReason(reason, err)
	slog.Info("long answer cut off", "request", id, "given", written, "length", length, "reason", reason.String(), "err", err)
}

// lastCommandReason returns the reason for which a connection takes no further commands, to be used if none was recorded.
func (c *conn) lastCommandReason() CloseReason {
	if c.invalidCommands > 0 {
		return CloseInvalidCommands
	}
	return CloseQuit
}
