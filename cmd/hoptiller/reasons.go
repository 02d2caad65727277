package main

import (
	"hoptiller"
	"hoptiller/internal/front"
	"hoptiller/internal/metrics"
	"hoptiller/internal/upstream"
)

// endReasons counts why attempts, client connections and server connections ended.
type endReasons struct {
	attempts, clients, servers *metrics.Reasons
}

// newEndReasons returns counters for all known reasons.
func newEndReasons() *endReasons {
	return &endReasons{
		attempts: metrics.NewReasons(hoptiller.StatusNames()),
		clients:  metrics.NewReasons(front.CloseReasons()),
		servers:  metrics.NewReasons(upstream.CloseReasons()),
	}
}

func (r *endReasons) attemptEnded(status hoptiller.Status)     { r.attempts.Add(int(status)) }
func (r *endReasons) clientClosed(reason front.CloseReason)    { r.clients.Add(int(reason)) }
func (r *endReasons) serverClosed(reason upstream.CloseReason) { r.servers.Add(int(reason)) }

// reasonCounts holds the counts as /v1/metrics shows them.
type reasonCounts struct {
	Attempts map[string]int64 `json:"attempts_ended,omitempty"`            // by status
	Clients  map[string]int64 `json:"client_connections_closed,omitempty"` // by reason
	Servers  map[string]int64 `json:"server_connections_closed,omitempty"` // by reason
}

// counts returns the present counts.
func (r *endReasons) counts() reasonCounts {
	return reasonCounts{Attempts: r.attempts.Counts(), Clients: r.clients.Counts(), Servers: r.servers.Counts()}
}
