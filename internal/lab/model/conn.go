package model

import (
	"slices"
	"time"
)

// Answer is what a server says to a call.
type Answer uint8

// The answers. Busy and Stale tell that the call never ran, as Missed does.
const (
	Served Answer = iota
	Missed        // not kept there; no effect
	Failed        // may have run
	Busy          // turned away unseen
	Stale         // waited too long, and was never begun
)

// Call is one call of a router to a server.
type Call struct {
	Try     *Try
	Attempt int // by number, from 0
	Conn    *Conn

	job    job
	answer Answer
	done   bool // the answer is there, though one before it on the connection may not be
}

// Holder is the router's side of a connection. Nothing is called while the holder calls the Conn.
type Holder interface {
	Opened(c *Conn)
	Refused(c *Conn)               // none came up; a machine that has vanished does not even refuse
	Answered(call *Call, a Answer) // in the order of the calls
	Lost(c *Conn)                  // by the other side or the network; calls that are out get no answer
}

// Conn is one connection from a router to a server. Calls on it are answered in
// order. It costs the server work to open.
type Conn struct {
	Router int
	Server int // by index

	w      *World
	host   *host
	holder Holder
	calls  []*Call // that have come to the server and are not answered, in order

	up, down time.Duration // arrivals at either end so far: segments do not overtake each other
	opened   bool          // at the server
	closed   bool          // by the router
	over     bool          // at the server
	silent   bool          // nothing passes any more, and nobody is told
}

// host is what all servers have in common: a process with connections.
type host struct {
	w     *World
	index int
	zone  int
	up    bool
	mute  bool // the machine has vanished: nothing passes
	most  int  // connections accepted
	conns []*Conn
	serve func(*Call)
	drop  func(*Call)      // nobody waits for it any more
	greet func(router int) // work of a new connection
}

// Dial opens a connection from a router; holder hears what becomes of it. It
// takes two round trips, as with TLS.
func (w *World) Dial(router, server int, holder Holder) *Conn {
	h := w.hosts[server]
	if server > 0 { // a router that has not heard yet reaches whoever has taken over the address
		h = w.occupants[w.Caches[server-1].Addr]
	}
	c := &Conn{Router: router, Server: server, w: w, host: h, holder: holder}
	w.Handshakes++
	c.toServer(func() {
		h := c.host
		switch {
		case c.closed:
		case !h.up || len(h.conns) >= h.most:
			c.toRouter(func() { c.refused() })
		default:
			h.conns = append(h.conns, c)
			c.opened = true
			if h.greet != nil {
				h.greet(c.Router)
			}
			c.toRouter(func() {
				c.toServer(func() { c.toRouter(c.ready) })
			})
		}
	})
	return c
}

func (c *Conn) refused() {
	if !c.closed {
		c.closed = true
		c.holder.Refused(c)
	}
}

func (c *Conn) ready() {
	if !c.closed {
		c.holder.Opened(c)
	}
}

// Send writes a call to an open connection.
func (c *Conn) Send(call *Call) {
	call.Conn = c
	c.toServer(func() {
		h := c.host
		if c.over || !h.up {
			if !c.over {
				c.hangUp()
			}
			return
		}
		c.calls = append(c.calls, call)
		h.serve(call)
	})
}

// Close ends a connection from the router's side. The server hears of it a little
// later, and then stops what it does for it.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.toServer(c.hangUp)
}

// hangUp ends the server's side.
func (c *Conn) hangUp() {
	if c.over {
		return
	}
	c.over = true
	h := c.host
	if i := slices.Index(h.conns, c); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
	for _, call := range c.calls {
		if !call.done {
			h.drop(call)
		}
	}
	c.calls = nil
}

// Break ends a connection on both sides, as the end of a process does.
func (c *Conn) Break() {
	c.hangUp()
	c.toRouter(func() {
		if !c.closed {
			c.closed = true
			c.holder.Lost(c)
		}
	})
}

// Silence lets nothing pass any more, in either direction, and tells nobody.
func (c *Conn) Silence() { c.silent = true }

// toServer has something arrive at the server, unless the connection or the way there is silent.
func (c *Conn) toServer(run func()) {
	c.up = max(c.up, c.w.arrival(c.w.routerZone(c.Router), c.host.zone, c.Router))
	c.w.At(c.up, func() {
		if !c.silent && !c.host.mute {
			run()
		}
	})
}

func (c *Conn) toRouter(run func()) {
	c.down = max(c.down, c.w.arrival(c.host.zone, c.w.routerZone(c.Router), c.Router))
	c.w.At(c.down, func() {
		if !c.silent && !c.host.mute {
			run()
		}
	})
}

// finish has the answer of a call ready, and sends all answers that nothing is before any more.
func (c *Conn) finish(call *Call, a Answer) {
	call.done, call.answer = true, a
	if c.over {
		return
	}
	n := 0
	for n < len(c.calls) && c.calls[n].done {
		first := c.calls[n]
		n++
		c.toRouter(func() {
			if !c.closed {
				c.holder.Answered(first, first.answer)
			}
		})
	}
	c.calls = c.calls[n:]
}

// stop ends the process: connections are reset, and new ones refused.
func (h *host) stop() {
	h.up = false
	for _, c := range slices.Clone(h.conns) {
		c.Break()
	}
	h.conns = nil
}
