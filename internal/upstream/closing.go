package upstream

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// CloseReason is the reason for which a connection to a server was closed.
type CloseReason uint8

// The reasons for which a connection to a server is closed.
const (
	CloseServerEnded    CloseReason = iota // the server closed or reset the connection
	CloseServerMoved                       // the server is listed with another address or start time
	CloseServerLeaving                     // the server is draining or removed, and no call is in flight on the connection
	CloseIdleLimit                         // it was idle for nearly as long as servers keep idle connections
	CloseIdleSurplus                       // it was idle, and the router had more idle connections than it keeps
	CloseIdleSuspect                       // it was idle, and other idle connections were found dead
	CloseEvicted                           // it was idle, and was closed to allow a new connection
	CloseNotQuiet                          // it ended, or unsolicited bytes arrived on it, before a call was written
	CloseUnsolicited                       // bytes arrived on it that answer none of its calls
	CloseUnreadable                        // unreadable bytes arrived on it, or an answer stopped before its end
	CloseUnconfirmed                       // an answer that names no request arrived on it, and may be surplus
	CloseLastAnswer                        // the server announced that this was its last answer on the connection
	CloseCancelled                         // the last call on it was cancelled
	CloseOverdue                           // a call on it was cancelled in favour of another attempt
	CloseWriteFailed                       // a call could not be written
	CloseValueFailed                       // a long value stopped, was unreadable, or its connection broke
	CloseValueAbandoned                    // the client's side abandoned a long value
	CloseShutdown                          // the router shuts down
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"server_ended", "server_moved", "server_leaving", "idle_limit", "idle_surplus", "idle_suspect", "made_room", "not_at_rest",
	"unsolicited", "unreadable", "unconfirmed", "last_answer", "withdrawn", "overdue", "write_failed", "value_failed", "value_abandoned", "shutdown",
}

// String returns the reason as the log and the metrics show it.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons, in the order of their constants.
func CloseReasons() []string { return slices.Clone(closeReasonNames[:]) }

// maxLoggedIDs limits the number of request IDs in one log line.
const maxLoggedIDs = 8

// closeConn closes a connection and ends the calls in flight on it with the given status. The caller holds p.mu.
func (p *Pool) closeConn(c *conn, status hoptiller.Status, reason CloseReason) {
	p.closeConnEnding(c, status, status, reason)
}

// closeConnEnding closes a connection and ends the first call in flight on it with one status and the others with
// another. The connection is closed first because its calls count as in flight while it is open. The caller holds p.mu.
func (p *Pool) closeConnEnding(c *conn, first, others hoptiller.Status, reason CloseReason) {
	if c.closed {
		return
	}
	c.closed = true
	p.reportClosed(c, reason)
	c.Close()
	p.connCount--
	s := c.server
	s.conns = slices.DeleteFunc(s.conns, func(other *conn) bool { return other == c })
	for i, call := range c.pending {
		status := others
		if i == 0 {
			status = first
		}
		call.result <- relay.Result{Status: status}
	}
	c.pending = nil
}

// reportClosed counts a closed connection, and logs it if requests depend on it. The caller holds p.mu.
func (p *Pool) reportClosed(c *conn, reason CloseReason) {
	if p.settings.ConnClosed != nil {
		p.settings.ConnClosed(reason)
	}
	streamedID := c.streamedRequestID()
	waitingIDs := c.waitingRequestIDs()
	if streamedID == "" && len(waitingIDs) == 0 && reason != CloseUnsolicited {
		return
	}
	args := []any{"server", c.host, "local", c.LocalAddr(), "reason", reason.String(), "waiting", strings.Join(waitingIDs, ",")}
	if len(c.pending) > 0 {
		args = append(args, "first_sent_age", time.Since(c.pending[0].sentAt).Round(10*time.Microsecond))
	}
	args = append(args, c.lastAnswer.logArgs()...)
	if c.rejected != "" {
		args = append(args, "got", c.rejected)
	}
	if streamedID != "" {
		args = append(args, "value_of", streamedID, "value_for", time.Since(c.stream.call.sentAt).Round(time.Millisecond))
	}
	slog.Info("server connection closed", args...)
}

// streamedRequestID returns the ID of the request whose long value is arriving on the connection. It is empty if
// there is none, or if nobody waits for the value any more.
func (c *conn) streamedRequestID() string {
	if c.stream == nil || c.stream.call.abandoned {
		return ""
	}
	return string(c.stream.call.req.ID)
}

// waitingRequestIDs returns the IDs of the first requests, at most maxLoggedIDs, that wait for their answers on the
// connection.
func (c *conn) waitingRequestIDs() (ids []string) {
	for _, call := range c.pending {
		if !call.abandoned && len(ids) < maxLoggedIDs {
			ids = append(ids, string(call.req.ID))
		}
	}
	return ids
}
