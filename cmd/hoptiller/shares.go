package main

import (
	"hoptiller/internal/admin"
	"hoptiller/internal/config"
	"hoptiller/internal/plan"
)

// shares is what the limits leave to each side of the router.
type shares struct {
	clients   int // connections
	kept      int // and of them, those that may stay idle: clients hold a third of the descriptors at most
	open      int // invocations beyond the first of each client connection
	long      int // bytes of long values that clients send
	providers int // connections to all slot caches
	provider  int // connections to one of them; four routers share the 70 that it accepts
	origins   int // connections to the origin
}

// divide shares out the descriptors and the memory that a router has. Clients get half of the descriptors:
// those that say nothing must leave room for those that ask. Some are kept for the listener, the
// directory and the program itself. What the operator states goes before that.
func divide(c *config.Config, stated *plan.Limits) shares {
	sockets, memory := c.Sockets, int(c.MemoryMB)
	if sockets <= 0 {
		sockets = 1024
	}
	if memory <= 0 {
		memory = 192
	}
	if c.Admin != "" {
		sockets -= admin.Descriptors
	}
	rest := max(sockets-24, 8)
	s := shares{clients: min(rest/2, 8*memory), kept: sockets / 4, open: 2 * memory, long: memory << 20 / 4, origins: min(64, rest/6)}
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
