package upstream

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

// conn is one connection to a server. The server answers calls in the order in which they were sent.
type conn struct {
	net.Conn
	pool         *Pool
	server       *server
	host         string    // the server's name
	addr         string    // the address to which the connection was opened
	opened       time.Time // when the connection was established
	reader       *buffer.Reader
	lastReleased time.Time // when a call left the connection last

	writeTurn chan struct{} // of capacity 1; holds a value while a call is queued and written

	// The fields below are guarded by pool.mu.
	load            int            // number of calls that use the connection or are about to
	pending         []*pendingCall // calls that wait for their answers, in the order in which they were sent
	stream          *streamBody    // the long value that is arriving; the answers behind it can be read only after its end
	closeWhenUnused bool           // a call was cancelled: the connection is closed when the other calls have their answers
	closed          bool
	answered        bool         // the server has answered a call on the connection
	lastAnswer      answerRecord // the latest answer
	rejected        string       // the beginning of the bytes because of which the connection is closed
}

// pendingCall is one call that waits for its answer.
type pendingCall struct {
	req       *relay.Request
	sentAt    time.Time         // when the call was queued to be written
	begun     atomic.Bool       // its first byte may have been written
	result    chan relay.Result // buffered for the one result
	abandoned bool              // the caller no longer waits
}

// closeReset closes a connection that the server has closed or broken, or that is no longer used. The calls in flight
// on it end as Reset. The caller holds p.mu.
func (p *Pool) closeReset(c *conn, reason CloseReason) { p.closeConn(c, hoptiller.Reset, reason) }

// failUnreadable closes a connection on which unreadable bytes arrived. The server did answer the first call, which
// may have run and ends as ServerError. The caller holds p.mu.
func (p *Pool) failUnreadable(c *conn) { p.failFirst(c, hoptiller.ServerError, CloseUnreadable) }

// failFirst closes a connection and ends the first call on it with the given status. The calls behind it end as
// Cancelled: this router closes their connection, which is not their fault. The caller holds p.mu.
func (p *Pool) failFirst(c *conn, status hoptiller.Status, reason CloseReason) {
	p.closeConnEnding(c, status, hoptiller.Cancelled, reason)
}

// abandon cancels a call, unless its answer has arrived meanwhile. Only the end of the connection notifies the
// server, and that ends all calls on the connection. If there are other calls, the connection therefore stays open,
// takes no more calls, and is closed when the last of them has ended. Until then the cancelled call counts as in
// flight. A router that wants to make another attempt must not wait for that end: it calls the result's Abort.
func (p *Pool) abandon(c *conn, call *pendingCall) (r relay.Result, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r = <-call.result:
		return r, true
	default:
	}
	// The answer may still arrive after the buffer that holds the req has been returned to its pool.
	req := *call.req
	req.ID = bytes.Clone(req.ID)
	call.req, call.abandoned = &req, true
	c.closeWhenUnused = true
	if c.closeIfUnused(); c.closed {
		return r, false
	}
	r.Abort = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.stream != nil { // the client of that value has begun to receive it
			return false
		}
		// This also ends the other calls on the connection, for which the server is not at fault.
		p.closeConn(c, hoptiller.Cancelled, CloseOverdue)
		return true
	}
	return r, false
}

// closeIfUnused closes a connection once nobody waits for anything on it, if a call on it was cancelled or its server
// takes no new calls. The caller holds p.mu.
func (c *conn) closeIfUnused() {
	if c.stream != nil {
		return
	}
	for _, call := range c.pending {
		if !call.abandoned {
			return
		}
	}
	switch {
	case c.closeWhenUnused:
		c.pool.closeReset(c, CloseCancelled)
	case c.server.Phase != hoptiller.Ready:
		c.pool.closeReset(c, CloseServerLeaving)
	}
}
