package upstream

import (
	"bytes"
	"net"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/relay"
)

// conn is one connection. Its calls are answered in order.
type conn struct {
	net.Conn
	pool   *Pool
	server *server
	host   string    // its name
	addr   string    // to which it was opened
	opened time.Time // when it came up
	reader *buffer.Reader
	idleAt time.Time

	write sync.Mutex // held while a call is queued and written

	// Guarded by pool.mu.
	load   int     // calls that are on it or about to be
	calls  []*call // those that wait for their answer
	body   *body   // a long value is on its way: until its end nothing behind it can be
	ending bool    // some call on it was given up: it ends when the others have their answers
	dead   bool
	useful bool // something was answered on it
}

// call is one call that waits for its answer.
type call struct {
	req       *relay.Request
	sent      time.Time
	done      chan relay.Result // has room for the one result
	abandoned bool
}

// drop closes a connection whose other side has ended or broken it: what is out on it is reset.
// p.mu is held.
func (p *Pool) drop(c *conn, reason CloseReason) { p.closeConn(c, hoptiller.Reset, reason) }

// failUnreadable ends a connection on which something has come that can't be read. The server did answer the
// first call, which may have run. Those behind it end by this router's choice and no fault of theirs.
// p.mu is held.
func (p *Pool) failUnreadable(c *conn) {
	calls := c.calls
	if len(calls) > 0 {
		c.calls = calls[1:]
	}
	p.closeConn(c, hoptiller.Cancelled, CloseUnreadable) // first: as long as it is open, a call on it counts as out
	if len(calls) > 0 {
		calls[0].done <- relay.Result{Status: hoptiller.ServerError}
	}
}

// abandon gives a call up, unless its answer has come meanwhile. Only the end of its connection tells the
// server, and that ends all calls on it; so where there are others, the connection only takes no more
// calls, and ends with the last of them. A router that wants to call again must not wait for that: until
// then the call counts as still out.
func (p *Pool) abandon(c *conn, out *call) (r relay.Result, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r = <-out.done:
		return r, true
	default:
	}
	// Its answer may still come, when the request's buffer has gone back to the pool.
	req := *out.req
	req.ID = bytes.Clone(req.ID)
	out.req, out.abandoned = &req, true
	c.ending = true
	if c.dropIfUnused(); c.dead {
		return r, false
	}
	r.End = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.body != nil { // that one's client has begun to get it
			return false
		}
		p.closeConn(c, hoptiller.Cancelled, CloseOverdue) // the neighbours too, by no fault of the server's
		return true
	}
	return r, false
}

// dropIfUnused ends a connection that is to end once nobody waits for anything on it. p.mu is held.
func (c *conn) dropIfUnused() {
	if c.body != nil {
		return
	}
	for _, out := range c.calls {
		if !out.abandoned {
			return
		}
	}
	switch {
	case c.ending:
		c.pool.drop(c, CloseWithdrawn)
	case c.server.Phase != hoptiller.Ready:
		c.pool.drop(c, CloseServerLeaving)
	}
}
