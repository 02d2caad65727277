package main

import (
	"hoptiller/internal/config"
	"hoptiller/internal/plan"
)

// shares is what the limits leave to each side of the router. Every bound that hangs on them is made here.
type shares struct {
	operators int // connections of operators
	clients   int // connections of clients
	held      int // and of them, those on which something was asked, or half of it: clients hold no more at once
	kept      int // and of them, those that may stay idle
	open      int // invocations beyond the first of each client connection
	long      int // bytes of long values that are held whole
	providers int // connections to all slot caches
	provider  int // connections to one of them; four routers share the 70 that it accepts
	origins   int // connections to the origin
	heap      int // bytes from which garbage is collected harder; 0: never
}

// sharing is how many calls a connection to a slot cache has before another one is opened. Where connections and handshakes
// have a price they are shared. Where they have none each call has its own, as far as there are any: a reset, a silent or
// a spoilt connection costs one call, and one that is withdrawn ends at once, having no neighbours.
func sharing(c *config.Config) int {
	if c.ConnFees {
		return sharedBy
	}
	return 1
}

// own are the descriptors of the program itself: its files, its listeners, the directory's calls and the system's.
const own = 18

// divide shares out the descriptors and the memory that a router has. Clients get the most descriptors: those
// that say nothing, or take long to say it, must leave room for those that ask. What the operator states goes before that.
func divide(c *config.Config, stated *plan.Limits) shares {
	sockets, memory := c.Sockets, int(c.MemoryMB)
	if sockets <= 0 {
		sockets = 1024
	}
	if memory <= 0 {
		memory = 192
	}
	s := shares{held: sockets / 3, kept: sockets / 4}
	if c.SocketFD != "" { // one that replaces this, or that this replaces, is there at the same time
		sockets, memory = sockets/2, memory/2
	}
	if c.MemoryMB > 0 {
		s.heap = memory << 20 / 2
	}
	rest := sockets - own
	if c.MayTell && c.PeerListen != "" { // the view's socket
		rest--
	}
	if c.Admin != "" {
		s.operators = min(32, max(8, sockets/32))
		rest -= s.operators + 1
	}
	rest = max(rest, 8)
	s.clients, s.open, s.long = min(rest*11/20, 8*memory), 2*memory, memory<<20/4
	s.origins = min(64, rest/8)
	for from, to := range map[*int]*int{&stated.Clients: &s.clients, &stated.Open: &s.open, &stated.Origin: &s.origins} {
		if *from > 0 {
			*to = *from
		}
	}
	s.providers = max(1, rest-s.clients-s.origins)
	if stated.Providers > 0 {
		s.providers = stated.Providers
	}
	s.provider = min(16, max(4, s.providers/8))
	return s
}
