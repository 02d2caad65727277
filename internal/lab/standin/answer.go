package standin

import (
	"fmt"
	"math/rand/v2"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// Answered implements model.Holder.
func (l *link) Answered(call *model.Call, a model.Answer) {
	status := [...]hoptiller.Status{model.Served: hoptiller.OK, model.Missed: hoptiller.Miss, model.Failed: hoptiller.ServerError,
		model.Busy: hoptiller.Full, model.Stale: hoptiller.Full}[a]
	r := l.finish(call, status)
	if r == nil {
		return
	}
	text := value(r.id, l.n.e.day.Load.Bytes, call.Try.Op.Size)
	if call.Try.Op.Write {
		text = "r" + r.id
	}
	var cache, origin string
	unsized := false
	switch a {
	case model.Served:
		r.answer = l
		cache = fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(text), r.id, text)
		origin = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if unsized = l.unsized(call); unsized {
			origin = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text
		}
	case model.Missed:
		cache = fmt.Sprintf("EN O%s h0\r\n", r.id)
	case model.Failed:
		cache, origin = "SERVER_ERROR failed\r\n", "HTTP/1.1 500 failed\r\nContent-Length: 0\r\n\r\n"
	case model.Busy:
		cache, origin = "SERVER_ERROR busy\r\n", "HTTP/1.1 503 busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	case model.Stale:
		origin = "HTTP/1.1 504 too late\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	l.write([]byte(cache), []byte(origin))
	if unsized {
		l.write(nil, endOfAnswers)
	}
	for range l.gone[call] {
		l.turnAway()
	}
	delete(l.gone, call)
}

// unsized draws whether the origin gives a value without its length. It ends with its connection, whose only call it is.
func (l *link) unsized(call *model.Call) bool {
	e, r := l.n.e, call.Try.Op
	if l.server != 0 || r.Write || len(l.gone) > 0 {
		return false
	}
	draw := rand.New(rand.NewPCG(e.day.Seed, r.ID))
	return draw.Float64() < e.day.Origin.Unsized
}

// turnAway answers a call whose request is over.
func (l *link) turnAway() {
	l.write([]byte("SERVER_ERROR busy\r\n"), []byte("HTTP/1.1 503 gone\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"))
}
