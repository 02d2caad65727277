package relay

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"hoptiller"
)

// course is what was tried for one request, so that the log can tell how it came to its end.
type course struct {
	begun    time.Time
	attempts []attemptEnd
}

// attemptEnd is how one attempt of a request ended.
type attemptEnd struct {
	server uint32
	status hoptiller.Status
	took   time.Duration
}

// add notes the end of an attempt.
func (c *course) add(req *Request, server uint32, status hoptiller.Status, took time.Duration) {
	c.attempts = append(c.attempts, attemptEnd{server, status, took})
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slog.Debug("attempt ended", "request", string(req.ID), "attempt", len(c.attempts)-1, "server", fmt.Sprintf("%08x", server),
		"status", status, "took", took.Round(time.Millisecond))
}

// String lists the attempts in their order, as SERVER:STATUS@MILLISECONDS.
func (c *course) String() string {
	texts := make([]string, len(c.attempts))
	for i, a := range c.attempts {
		texts[i] = fmt.Sprintf("%08x:%s@%d", a.server, a.status, a.took.Milliseconds())
	}
	return strings.Join(texts, ",")
}

// unserved logs the end of a request that is not served.
func (c *course) unserved(req *Request, kind hoptiller.StepKind) {
	message := "request failed"
	if kind == hoptiller.StepReject {
		message = "request refused"
	}
	slog.Info(message, "request", string(req.ID), "class", req.Class, "waits", req.Wait.Round(time.Millisecond),
		"after", time.Since(c.begun).Round(time.Millisecond), "attempts", c)
}
