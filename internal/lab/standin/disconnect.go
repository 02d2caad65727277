package standin

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/lab/invariants"
)

// endedRequest is a request that has ended. It is kept to recognise attempts that begin after the end.
type endedRequest struct {
	router int
	number uint32
	end    invariants.RequestEnd
}

// finishRequest records the end of a request for its client. Engine.mu must be held.
func (e *Engine) finishRequest(request *clientRequest, disconnected bool) {
	router := request.try.Router
	e.endedRequests[request.id] = endedRequest{router, request.number,
		e.Checker.RequestEnded(time.Since(e.startedAt), router, disconnected)}
	e.forgetRequest(request)
}

// checkAttemptAfterEnd checks an attempt whose request has already ended. Engine.mu must be held.
func (l *link) checkAttemptAfterEnd(a attempt) {
	e := l.node.engine
	past, known := e.endedRequests[a.id]
	if !known || past.router != l.node.index {
		return
	}
	// The lag of the router itself is no excuse: it must check again when it resumes.
	e.Checker.Lag = 2 * e.lag.max(time.Since(e.startedAt))
	e.Checker.AttemptAfterEnd(a.at.Sub(e.startedAt), past.router, past.number, l.server, past.end)
}

// maxDisconnectDelay is the longest time that a client which disconnects early waits before that. Most answers
// arrive sooner.
const maxDisconnectDelay = 250 * time.Millisecond

// drawDisconnect decides at random whether the client of a request disconnects before it has an answer, and
// how long after sending the request.
func (e *Engine) drawDisconnect(request *clientRequest, remaining time.Duration) (after time.Duration, disconnects bool) {
	random := rand.New(rand.NewPCG(e.day.Seed, xxhash.Sum64String(request.id)))
	if random.Float64() >= e.day.Clients.DisconnectShare {
		return 0, false
	}
	return time.Duration(random.Float64() * float64(min(remaining, maxDisconnectDelay))), true
}

// disconnectClient closes a client's connection during its request, which then needs no answer.
func (n *routerNode) disconnectClient(request *clientRequest) {
	e := n.engine
	e.do(func() {
		if e.requests[request.id] != request || request.client == nil {
			return
		}
		request.client.socket.Close()
		request.try.Op.Disconnected = true
		e.Checker.ClientDisconnected(n.index, request.number)
		e.finishRequest(request, true)
	})
}
