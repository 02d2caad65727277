package main

import (
	"hoptiller"
	"hoptiller/internal/front"
	"hoptiller/internal/metrics"
	"hoptiller/internal/upstream"
)

// reasons counts why connections ended and how attempts did.
type reasons struct {
	attempts, clients, servers *metrics.Reasons
}

func newReasons() *reasons {
	return &reasons{
		attempts: metrics.NewReasons(hoptiller.StatusNames()),
		clients:  metrics.NewReasons(front.CloseReasons()),
		servers:  metrics.NewReasons(upstream.CloseReasons()),
	}
}

func (r *reasons) attemptEnded(status hoptiller.Status)     { r.attempts.Add(int(status)) }
func (r *reasons) clientClosed(reason front.CloseReason)    { r.clients.Add(int(reason)) }
func (r *reasons) serverClosed(reason upstream.CloseReason) { r.servers.Add(int(reason)) }

// reasonCounts are the reasons as operators read them.
type reasonCounts struct {
	Attempts map[string]int64 `json:"attempts_ended,omitempty"`            // by status
	Clients  map[string]int64 `json:"client_connections_closed,omitempty"` // by reason
	Servers  map[string]int64 `json:"server_connections_closed,omitempty"` // by reason
}

func (r *reasons) counts() reasonCounts {
	return reasonCounts{Attempts: r.attempts.Counts(), Clients: r.clients.Counts(), Servers: r.servers.Counts()}
}
