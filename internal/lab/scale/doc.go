// Package scale runs fleets of up to a thousand routers on one machine. It measures what the control of such a fleet costs and
// how long the routers take to agree on its state. Most routers of a run are hollow: they share one process, have no clients,
// and run the program's decision packages and adapters (the view, permits, leases, the discovery client and the decision
// module) on loopback sockets. A few processes of the router's program run beside them, and the cost is measured on these.
//
// A run binds to loopback addresses alone and ends every process that it started.
package scale
