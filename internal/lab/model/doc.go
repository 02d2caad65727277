// Package model simulates what surrounds the routers: slot caches, the origin, server discovery, the network,
// the clients, and the faults of a day. It has no sockets, no clock and no goroutines; it only schedules steps
// in a Queue. The driver that runs these steps decides whether a day is played in virtual time (package sim)
// or on real sockets (package standin).
//
// The model knows nothing of how routers decide. It must not import the decision module or a policy, and a
// router learns from the model only what it would learn on a real network.
//
// All random choices of a day come from one seed. The same Day gives the same trace to the last bit, as long
// as its routers do the same.
package model
