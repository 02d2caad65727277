package standin

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/lab/rules"
)

// endedRequest is a request that is over, kept so that an attempt which begins after its end is known for what it is.
type endedRequest struct {
	router int
	number uint32
	ending rules.RequestEnd
}

// ends notes the end of a request for its client. e.mu is held.
func (e *Engine) ends(r *request, left bool) {
	router := r.try.Router
	e.ended[r.id] = endedRequest{router, r.number, e.Check.RequestEnded(time.Since(e.begun), router, left)}
	e.over(r)
}

// begunAfterEnd holds an attempt at a request that is over to when it ended. e.mu is held.
func (l *link) begunAfterEnd(a attempt) {
	e := l.n.e
	past, known := e.ended[a.id]
	if !known || past.router != l.n.index {
		return
	}
	e.Check.Lag = 2 * e.lag.most(time.Since(e.begun)) // the router's own is no excuse: it is to look again when it goes on
	e.Check.AttemptAfterEnd(a.at.Sub(e.begun), past.router, past.number, l.server, past.ending)
}

// mostPatience is how long a client that leaves early has waited at the most. Most answers come sooner.
const mostPatience = 250 * time.Millisecond

// leavesAfter draws whether the client of a request closes its connection before it has an answer, and how long after it has asked.
func (e *Engine) leavesAfter(r *request, left time.Duration) (after time.Duration, leaves bool) {
	draw := rand.New(rand.NewPCG(e.day.Seed, xxhash.Sum64String(r.id)))
	if draw.Float64() >= e.day.Clients.Leave {
		return 0, false
	}
	return time.Duration(draw.Float64() * float64(min(left, mostPatience))), true
}

// leave closes a client's connection under its request. Nothing is owed any more.
func (n *node) leave(r *request) {
	e := n.e
	e.do(func() {
		if e.tries[r.id] != r || r.conn == nil {
			return
		}
		r.conn.c.Close()
		r.try.Op.Disconnected = true
		e.Check.Left(n.index, r.number)
		e.ends(r, true)
	})
}
