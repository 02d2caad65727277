package upstream

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"hoptiller"
	"hoptiller/internal/relay"
)

// CloseReason is why a connection to a server was closed.
type CloseReason uint8

// The reasons for which a connection to a server is closed.
const (
	CloseServerEnded    CloseReason = iota // the server closed or reset it
	CloseServerMoved                       // the list told the server with another address or start
	CloseServerLeaving                     // the server is draining or gone, and nothing is out on the connection
	CloseIdleLimit                         // it was idle for nearly as long as servers keep idle connections
	CloseIdleSurplus                       // it was idle, and one of more than the router keeps
	CloseIdleSuspect                       // it was idle, and idle connections were found dead
	CloseMadeRoom                          // it was idle, and its place was needed
	CloseNotAtRest                         // it ended, or said something unasked, before a call was written
	CloseUnreadable                        // something came on it that can't be read, or an answer stopped in its middle
	CloseLastAnswer                        // the server said that this was its last answer
	CloseWithdrawn                         // its last call was given up
	CloseOverdue                           // one of its calls was given up for another attempt
	CloseWriteFailed                       // a call could not be written
	CloseValueFailed                       // a long value stopped, could not be read, or broke
	CloseValueAbandoned                    // a long value was given up by the client's side
	CloseShutdown                          // the router ends
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"server_ended", "server_moved", "server_leaving", "idle_limit", "idle_surplus", "idle_suspect", "made_room", "not_at_rest",
	"unreadable", "last_answer", "withdrawn", "overdue", "write_failed", "value_failed", "value_abandoned", "shutdown",
}

// String returns the reason as it is written in the log and the metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseReasons returns the names of all reasons, in their order.
func CloseReasons() []string { return slices.Clone(closeReasonNames[:]) }

// mostLoggedIDs bounds the request ids that one log line names.
const mostLoggedIDs = 8

// closeConn closes a connection; what is out on it ends with a status. p.mu is held.
func (p *Pool) closeConn(c *conn, status hoptiller.Status, reason CloseReason) {
	if c.dead {
		return
	}
	c.dead = true
	p.tellClosed(c, reason)
	c.Close()
	p.total--
	s := c.server
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	for _, out := range c.calls {
		out.done <- relay.Result{Status: status}
	}
	c.calls = nil
}

// tellClosed counts the end of a connection and logs it where requests hang on it. p.mu is held.
func (p *Pool) tellClosed(c *conn, reason CloseReason) {
	if p.set.Closed != nil {
		p.set.Closed(reason)
	}
	value := c.valueID()
	waiting := c.waitingIDs()
	if value == "" && len(waiting) == 0 {
		return
	}
	args := []any{"server", c.host, "reason", reason.String(), "waiting", strings.Join(waiting, ",")}
	if value != "" {
		args = append(args, "value_of", value, "value_for", time.Since(c.body.out.sent).Round(time.Millisecond))
	}
	slog.Info("server connection closed", args...)
}

// valueID names the request whose long value is on its way; empty: none is, or nobody waits for it.
func (c *conn) valueID() string {
	if c.body == nil || c.body.out.abandoned {
		return ""
	}
	return string(c.body.out.req.ID)
}

// waitingIDs names the requests that wait for their answers on the connection, the first few of them.
func (c *conn) waitingIDs() (ids []string) {
	for _, out := range c.calls {
		if !out.abandoned && len(ids) < mostLoggedIDs {
			ids = append(ids, string(out.req.ID))
		}
	}
	return ids
}
