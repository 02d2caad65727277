package upstream

import (
	"context"
	"time"

	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

// leastLeft is the shortest time that a server can be told, which PROTOCOL counts in whole milliseconds. An attempt with less
// does not begin.
const leastLeft = time.Millisecond

// Attempt is one attempt at a request, as its server is to be told of it. A Protocol gets nothing else, so that none can pass
// on what the client said of its time, which is less by now.
type Attempt struct {
	Key    []byte
	ID     []byte // as the client named the request
	Facts  []byte // the names and values that came with it; d is the time that is left
	Host   string // the server's name
	Write  bool
	Length int // of the value of a write, in bytes
}

// newAttempt makes an attempt that tells how much time is left. The facts go to the start of buf, and what is behind them is
// free.
func newAttempt(buf []byte, req *relay.Request, host string, left time.Duration) (a *Attempt, free []byte) {
	facts := meta.AppendFacts(buf[:0], req.Facts, left)
	a = &Attempt{Key: req.Key, ID: req.ID, Facts: facts[:len(facts):len(facts)], Host: host, Write: req.Write, Length: req.Length()}
	return a, facts[len(facts):]
}

// timeLeft is how much of an attempt's time is left, which ends with ctx: with the client's time at the latest. Where ctx has no
// end nothing is known of it, and it is the least that can be told.
func timeLeft(ctx context.Context) time.Duration {
	end, known := ctx.Deadline()
	if !known {
		return leastLeft
	}
	return time.Until(end)
}
