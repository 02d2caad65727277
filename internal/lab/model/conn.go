package model

import (
	"slices"
	"time"
)

// CallResult is the result of a call to a server.
type CallResult uint8

// The results of a call. ResultBusy and ResultStale mean that the call was never executed, as ResultMissed
// does.
const (
	ResultServed CallResult = iota
	ResultMissed            // the server does not hold the object; no effect
	ResultFailed            // the call may have been executed
	ResultBusy              // rejected without being started
	ResultStale             // waited too long in the queue and was never started
)

// Call is one call from a router to a server.
type Call struct {
	Try     *Try
	Attempt int // number of the attempt within its try, from 0
	Conn    *Conn

	job    job
	result CallResult
	ready  bool // the result is known, though an earlier call on the connection may still be unanswered
}

// ConnHandler receives the events of a connection on the router's side. No method is called while the handler
// is inside a method of Conn.
type ConnHandler interface {
	Opened(c *Conn)
	Refused(c *Conn)                   // the connection was not established; a vanished machine does not even refuse
	Answered(call *Call, a CallResult) // in the order of the calls
	Closed(c *Conn)                    // closed by the server or the network; unanswered calls get no result
}

// Conn is one connection from a router to a server. Calls on it are answered in order. Opening a connection
// costs the server work.
type Conn struct {
	Router int
	Server int // index of the server

	w          *World
	host       *host
	handler    ConnHandler
	unanswered []*Call // calls that have reached the server and are not answered, in order

	toServerAt, toRouterAt time.Duration // latest arrival time in each direction: segments do not overtake each other
	opened                 bool          // the server has accepted the connection
	closedByRouter         bool
	closedByServer         bool
	blocked                bool // drops everything in both directions and reports no error
}

// host is the part that all servers have in common: a process with connections.
type host struct {
	w        *World
	index    int
	zone     int
	running  bool
	vanished bool // the machine has vanished: it neither receives nor sends anything
	maxConns int  // connections that the host accepts
	conns    []*Conn
	serve    func(*Call)
	cancel   func(*Call)      // stops a call whose result nobody waits for
	accept   func(router int) // does the work of a new connection
}

// Dial opens a connection from a router; handler receives its events. Opening takes two round trips, as with
// TLS.
func (w *World) Dial(router, server int, handler ConnHandler) *Conn {
	h := w.hosts[server]
	if server > 0 { // the address may have a new owner of which this router does not know yet
		h = w.occupants[w.Caches[server-1].Addr]
	}
	c := &Conn{Router: router, Server: server, w: w, host: h, handler: handler}
	w.Handshakes++
	c.toServer(func() {
		h := c.host
		switch {
		case c.closedByRouter:
		case !h.running || len(h.conns) >= h.maxConns:
			c.toRouter(func() { c.reportRefused() })
		default:
			h.conns = append(h.conns, c)
			c.opened = true
			if h.accept != nil {
				h.accept(c.Router)
			}
			c.toRouter(func() {
				c.toServer(func() { c.toRouter(c.reportOpened) })
			})
		}
	})
	return c
}

func (c *Conn) reportRefused() {
	if !c.closedByRouter {
		c.closedByRouter = true
		c.handler.Refused(c)
	}
}

func (c *Conn) reportOpened() {
	if !c.closedByRouter {
		c.handler.Opened(c)
	}
}

// Send writes a call to an open connection.
func (c *Conn) Send(call *Call) {
	call.Conn = c
	c.toServer(func() {
		h := c.host
		if c.closedByServer || !h.running {
			if !c.closedByServer {
				c.closeServerSide()
			}
			return
		}
		c.unanswered = append(c.unanswered, call)
		h.serve(call)
	})
}

// Close closes the connection from the router's side. The server learns of this after the network delay and
// then stops its work for the connection.
func (c *Conn) Close() {
	if c.closedByRouter {
		return
	}
	c.closedByRouter = true
	c.toServer(c.closeServerSide)
}

// closeServerSide closes the server's side and cancels its unfinished calls.
func (c *Conn) closeServerSide() {
	if c.closedByServer {
		return
	}
	c.closedByServer = true
	h := c.host
	if i := slices.Index(h.conns, c); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
	for _, call := range c.unanswered {
		if !call.ready {
			h.cancel(call)
		}
	}
	c.unanswered = nil
}

// Reset closes the connection on both sides, as happens when a process ends.
func (c *Conn) Reset() {
	c.closeServerSide()
	c.toRouter(func() {
		if !c.closedByRouter {
			c.closedByRouter = true
			c.handler.Closed(c)
		}
	})
}

// Blackhole makes the connection drop everything in both directions without an error on either side.
func (c *Conn) Blackhole() { c.blocked = true }

// toServer runs a function when a segment sent now reaches the server, unless the connection or the server's
// machine drops it.
func (c *Conn) toServer(run func()) {
	c.toServerAt = max(c.toServerAt, c.w.arrivalTime(c.w.routerZone(c.Router), c.host.zone, c.Router))
	c.w.At(c.toServerAt, func() {
		if !c.blocked && !c.host.vanished {
			run()
		}
	})
}

func (c *Conn) toRouter(run func()) {
	c.toRouterAt = max(c.toRouterAt, c.w.arrivalTime(c.host.zone, c.w.routerZone(c.Router), c.Router))
	c.w.At(c.toRouterAt, func() {
		if !c.blocked && !c.host.vanished {
			run()
		}
	})
}

// holdBack lets what is sent to the router from now on arrive a delay after what was sent before, or after now.
func (c *Conn) holdBack(delay time.Duration) { c.toRouterAt = max(c.toRouterAt, c.w.Now()) + delay }

// finish stores the result of a call and sends all results that no longer wait for an earlier call.
func (c *Conn) finish(call *Call, result CallResult) {
	call.ready, call.result = true, result
	if c.closedByServer {
		return
	}
	ready := 0
	for ready < len(c.unanswered) && c.unanswered[ready].ready {
		first := c.unanswered[ready]
		ready++
		c.toRouter(func() {
			if !c.closedByRouter {
				c.handler.Answered(first, first.result)
			}
		})
	}
	c.unanswered = c.unanswered[ready:]
	if ready > 0 {
		c.repeatLastAnswer()
	}
}

// stop ends the process: connections are reset and new ones are refused.
func (h *host) stop() {
	h.running = false
	for _, c := range slices.Clone(h.conns) {
		c.Reset()
	}
	h.conns = nil
}
