// Package scale runs fleets of up to a thousand routers on one machine and measures what the control of such a fleet costs and
// how long it takes to agree. Most routers of a run are hollow: they share one process, run the deciding packages and the adapters
// of the program (the view, permits, notes, the directory's client and the decision module) on loopback sockets, and have no
// clients. Beside them run a few processes of the router's program, on which the cost is measured.
//
// A run binds to loopback addresses alone and ends every process that it started.
package scale
