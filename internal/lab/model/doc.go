// Package model is the world round a tier of routers: slot caches, the origin,
// the directory, the network, the clients, and what goes wrong with them on a
// day. It has no sockets, no clock and no goroutines; all it does is ask a Queue
// for later steps. Whoever takes those steps decides whether the day is played
// in virtual time (package sim) or on real sockets (package standin).
//
// The world knows nothing of how routers decide. It must not import the
// decision module or a policy, and a router learns from it only what it would
// learn on a real network.
//
// A day is drawn from one seed. The same Day gives the same course to the last
// bit, as long as its routers do the same.
package model
