package relay

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"hoptiller"
)

// requestTrace records the attempts at one request, so that the log can show how an unserved request ended.
type requestTrace struct {
	started  time.Time
	attempts []attemptResult
}

// attemptResult is how one attempt at a request ended.
type attemptResult struct {
	server uint32
	status hoptiller.Status
	took   time.Duration
}

// addAttempt records the end of an attempt.
func (t *requestTrace) addAttempt(req *Request, server uint32, status hoptiller.Status, took time.Duration) {
	t.attempts = append(t.attempts, attemptResult{server, status, took})
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slog.Debug("attempt ended", "request", string(req.ID), "attempt", len(t.attempts)-1, "server", fmt.Sprintf("%08x", server),
		"status", status, "took", took.Round(time.Millisecond))
}

// mayHaveRun reports whether a server may have run the request.
func (t *requestTrace) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attemptResult) bool { return a.status.MayHaveRun() })
}

// String lists the attempts in their order, each as SERVER:STATUS@MILLISECONDS.
func (t *requestTrace) String() string {
	texts := make([]string, len(t.attempts))
	for i, a := range t.attempts {
		texts[i] = fmt.Sprintf("%08x:%s@%d", a.server, a.status, a.took.Milliseconds())
	}
	return strings.Join(texts, ",")
}

// logRetried logs a served request that took another attempt after one that did not end in a miss.
func (t *requestTrace) logRetried(req *Request) {
	for _, a := range t.attempts[:len(t.attempts)-1] {
		if a.status != hoptiller.Miss {
			slog.Info("request retried", "request", string(req.ID), "class", req.Class, "attempts", t)
			return
		}
	}
}

// logUnserved logs the end of a request that was not served.
func (t *requestTrace) logUnserved(req *Request, kind hoptiller.StepKind) {
	message := "request failed"
	if kind == hoptiller.StepReject {
		message = "request refused"
	}
	slog.Info(message, "request", string(req.ID), "class", req.Class, "waits", req.Timeout.Round(time.Millisecond),
		"after", time.Since(t.started).Round(time.Millisecond), "attempts", t)
}
