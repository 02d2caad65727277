package upstream

import (
	"context"
	"time"

	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// minTimeLeft is the shortest remaining time that a server can be given, because the protocol counts it in whole
// milliseconds. An attempt with less time left is not made.
const minTimeLeft = time.Millisecond

// Attempt is what a server is sent for one attempt at a request. A Protocol gets nothing else, so that it cannot pass
// on the timeout that the client stated, of which a part has passed.
type Attempt struct {
	Key      []byte
	ID       []byte // the request ID that the client chose
	Facts    []byte // the name=value pairs of the request, in which d is the time that is left
	Host     string // the server's name
	Write    bool
	ValueLen int // length in bytes of the value of a write
}

// newAttempt returns an attempt whose facts state the time that is left. The facts are written to the start of buf,
// and free is the unused rest of buf.
func newAttempt(buf []byte, req *relay.Request, host string, timeLeft time.Duration) (a *Attempt, free []byte) {
	facts := meta.AppendFacts(buf[:0], req.Facts, timeLeft)
	a = &Attempt{Key: req.Key, ID: req.ID, Facts: facts[:len(facts):len(facts)], Host: host,
		Write: req.Write, ValueLen: req.ValueLen()}
	return a, facts[len(facts):]
}

// remainingTime returns how much time is left for an attempt, which ends with ctx, no later than the client's
// deadline. If ctx has no deadline, the time is unknown and remainingTime returns the least that can be stated.
func remainingTime(ctx context.Context) time.Duration {
	end, known := ctx.Deadline()
	if !known {
		return minTimeLeft
	}
	return time.Until(end)
}
