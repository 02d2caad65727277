package main

import (
	"hoptiller/internal/config"
	"hoptiller/internal/plan"
)

// resourceLimits holds the share of the descriptors and the memory that each part of the router may use. Every bound that depends
// on the configured limits is computed here.
type resourceLimits struct {
	operatorConns    int // maximum connections of operators
	clientConns      int // maximum connections of clients
	busyClientConns  int // of these, the maximum with a request, complete or partial, at one time
	idleClientConns  int // of these, the maximum that may stay idle
	extraInvocations int // maximum requests in progress beyond the first of each client connection
	longValueBytes   int // maximum bytes of long values that are buffered completely
	answerBytes      int // maximum bytes of short answers that wait to be written to their clients
	cacheConns       int // maximum connections to all slot caches
	connsPerCache    int // maximum connections to one slot cache; four routers share the 70 that it accepts
	originConns      int // maximum connections to the origin
	heapBytes        int // soft memory limit of the Go runtime in bytes; 0 for none
}

// callsPerConn returns how many calls a connection to a slot cache carries before another one is opened. Connections are shared
// if connections or handshakes have a price. If they have none, each call gets a connection of its own while there are enough
// connections. A reset, silent or corrupt connection then fails only one call, and a call that is cancelled can end its
// connection at once, since no other call uses it.
func callsPerConn(c *config.Config) int {
	if c.ConnsPriced {
		return callsPerSharedConn
	}
	return 1
}

// ownDescriptors is the number of descriptors that the program itself needs: for its files, its listeners, calls to discovery and
// the runtime system.
const ownDescriptors = 18

// divideResources divides the descriptors and the memory of a router. Clients get the most descriptors, so that clients that
// are silent or slow leave some for those that send requests. Limits that the operator states take precedence.
func divideResources(c *config.Config, operatorLimits *plan.Limits) resourceLimits {
	sockets, memory := c.Sockets, int(c.MemoryMB)
	if sockets <= 0 {
		sockets = 1024
	}
	if memory <= 0 {
		memory = 192
	}
	s := resourceLimits{busyClientConns: sockets / 3, idleClientConns: sockets / 4}
	if c.SocketFD != "" { // during a replacement the old and the new process run at the same time
		sockets, memory = sockets/2, memory/2
	}
	if c.MemoryMB > 0 {
		s.heapBytes = memory << 20 / 2
	}
	available := sockets - ownDescriptors
	if c.PeerMessagesAllowed && c.PeerListen != "" { // for the socket of the fleet view
		available--
	}
	if c.Admin != "" {
		s.operatorConns = min(32, max(8, sockets/32))
		available -= s.operatorConns + 1
	}
	available = max(available, 8)
	s.clientConns, s.extraInvocations, s.longValueBytes = min(available*11/20, 8*memory), 2*memory, memory<<20/4
	s.answerBytes = memory << 20 / 16
	s.originConns = min(64, available/8)
	for operatorLimit, limit := range map[*int]*int{&operatorLimits.ClientConns: &s.clientConns,
		&operatorLimits.OpenRequests: &s.extraInvocations, &operatorLimits.OriginConns: &s.originConns} {
		if *operatorLimit > 0 {
			*limit = *operatorLimit
		}
	}
	s.cacheConns = max(1, available-s.clientConns-s.originConns)
	if operatorLimits.CacheConns > 0 {
		s.cacheConns = operatorLimits.CacheConns
	}
	s.connsPerCache = min(16, max(4, s.cacheConns/8))
	return s
}
