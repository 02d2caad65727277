package standin

import (
	"fmt"
	"math/rand/v2"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Answered implements model.ConnHandler.
func (l *link) Answered(call *model.Call, result model.CallResult) {
	status := [...]hoptiller.Status{model.ResultServed: hoptiller.OK, model.ResultMissed: hoptiller.Miss, model.ResultFailed: hoptiller.ServerError,
		model.ResultBusy: hoptiller.TurnedAway, model.ResultStale: hoptiller.TurnedAway}[result]
	request := l.finish(call, status)
	if request == nil {
		return
	}
	text := valueFor(request.id, l.node.engine.day.Load.Bytes, call.Try.Op.Size)
	if call.Try.Op.Write {
		text = "r" + request.id
	}
	var cache, origin string
	unsized := false
	switch result {
	case model.ResultServed:
		request.valueLink = l
		cache = fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(text), request.id, text)
		origin = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if unsized = l.drawUnsized(call); unsized {
			origin = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text
		}
	case model.ResultMissed:
		cache = fmt.Sprintf("EN O%s h0\r\n", request.id)
	case model.ResultFailed:
		cache, origin = "SERVER_ERROR failed\r\n", "HTTP/1.1 500 failed\r\nContent-Length: 0\r\n\r\n"
	case model.ResultBusy:
		cache, origin = "SERVER_ERROR busy\r\n", "HTTP/1.1 503 busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	case model.ResultStale:
		origin = "HTTP/1.1 504 too late\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	l.enqueue([]byte(cache), []byte(origin))
	if unsized {
		l.enqueue(nil, closeMarker)
	}
	for range l.queuedRejections[call] {
		l.writeRejection()
	}
	delete(l.queuedRejections, call)
}

// Repeated implements model.RepetitionHandler.
func (l *link) Repeated(*model.Conn) {
	if len(l.lastAnswer) == 0 {
		return
	}
	if l.server == 0 {
		l.enqueue(nil, l.lastAnswer)
		return
	}
	l.enqueue(l.lastAnswer, nil)
}

// drawUnsized decides at random whether the origin sends a value without its length. The end of such a value
// is the end of its connection, so that no other call may wait on the connection.
func (l *link) drawUnsized(call *model.Call) bool {
	e, op := l.node.engine, call.Try.Op
	if l.server != 0 || op.Write || len(l.queuedRejections) > 0 {
		return false
	}
	random := rand.New(rand.NewPCG(e.day.Seed, op.ID))
	return random.Float64() < e.day.Origin.UnsizedShare
}

// writeRejection rejects a call whose request has ended.
func (l *link) writeRejection() {
	l.enqueue([]byte("SERVER_ERROR busy\r\n"), []byte("HTTP/1.1 503 gone\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"))
}
