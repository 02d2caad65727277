package main

import (
	"log/slog"
	"time"

	"hoptiller/internal/relay"
	"hoptiller/internal/valuemem"
)

// minLoggedWait is the shortest wait for memory that is logged, unless it ended without memory.
const minLoggedWait = 100 * time.Millisecond

// logMemoryWait logs that a long value has waited for memory.
func logMemoryWait(wait valuemem.Wait) {
	if wait.Acquired && wait.Duration < minLoggedWait {
		return
	}
	slog.Info("long value waited for memory", "request", wait.Request, "held", wait.Held, "limit", wait.Limit,
		"waited", wait.Duration.Round(time.Millisecond), "acquired", wait.Acquired)
}

// logLimitHit logs that a limit of the operator's file has rejected a request.
func logLimitHit(req *relay.Request, limit string) {
	slog.Info("limit hit", "limit", limit, "request", string(req.ID))
}
