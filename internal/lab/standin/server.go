package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hoptiller"
	"hoptiller/internal/lab/arrival"
	"hoptiller/internal/lab/loopback"
	"hoptiller/internal/lab/model"
	"hoptiller/internal/meta"
)

// listenServer opens the address at which the router finds a server.
func (n *routerNode) listenServer(server int) error {
	n.engine.mu.Lock()
	defer n.engine.mu.Unlock()
	return n.listenServerLocked(server)
}

func (n *routerNode) listenServerLocked(server int) error {
	l, err := loopback.Listen(loopback.StandIns, n.index)
	if err != nil {
		return err
	}
	arrival.EnableTimestamps(l)
	party := Cache
	if server == 0 {
		party = Origin
	}
	if n.advertised[server], err = n.addressFor(party, l); err != nil {
		return err
	}
	n.servers[server] = l
	n.engine.closers[l] = true
	n.engine.runUntilEnd(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.engine.runUntilEnd(func() { n.serve(server, c) })
		}
	})
	return nil
}

// link joins a router's connection to a server with a connection of the model: a socket on one side, a
// model.Conn on the other.
type link struct {
	node       *routerNode
	server     int
	socket     net.Conn
	reader     *timedReader
	sourceLog  *arrival.Log // arrival log of the router's own connection, which leads to the relay if there is one
	outgoing   chan []byte
	opened     chan struct{}
	openedOnce sync.Once

	conn     *model.Conn // this and the following fields are guarded by Engine.mu
	calls    map[*model.Call]*clientRequest
	lastCall *model.Call // the latest call

	// By call: how many later calls, whose requests have ended, are to be rejected after its answer.
	queuedRejections map[*model.Call]int
	closed           bool
	brokenByServer   bool // the server has broken the connection

	acceptedAt time.Duration
	lastAnswer []byte // nil: there is none that may be sent a second time
}

const maxOutgoing = 256 // answers that may wait to be written; the connection to a router that reads more slowly is closed

func (n *routerNode) serve(server int, c net.Conn) {
	e := n.engine
	arrived := newTimedReader(c, e.ctx.Done(), e.runUntilEnd) // started before anything that may block
	if !e.closeAtEnd(c) {
		return
	}
	defer e.unregister(c)
	l := &link{node: n, server: server, socket: c, reader: arrived, outgoing: make(chan []byte, maxOutgoing),
		opened: make(chan struct{}),
		calls:  map[*model.Call]*clientRequest{}, queuedRejections: map[*model.Call]int{}, acceptedAt: time.Since(n.engine.startedAt)}
	e.runUntilEnd(func() {
		for b := range l.outgoing {
			l.send(b)
		}
	})
	e.do(func() { l.conn = e.World.Dial(n.index, server, l) })
	l.read()
	c.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	l.closed = true
	close(l.outgoing)
	if e.closing || l.conn == nil {
		return
	}
	e.step()
	l.finishAll(hoptiller.Cancelled)
	l.conn.Close()
}

// writeTimeout is how long a router may fail to read what is written to it.
const writeTimeout = 5 * time.Second

// closeMarker, sent instead of an answer, closes the sending side of the connection.
var closeMarker = []byte{}

// send writes an answer, or closes the sending side of the connection.
func (l *link) send(answer []byte) {
	if tcp, ok := l.socket.(*net.TCPConn); ok && len(answer) == 0 {
		tcp.CloseWrite()
		return
	}
	l.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := l.socket.Write(answer); err != nil {
		l.socket.Close()
	}
}

// read handles calls until the connection ends.
func (l *link) read() {
	source := l.reader
	r := bufio.NewReader(source)
	if _, err := r.Peek(1); err != nil {
		return
	}
	l.sourceLog = l.findSourceLog()
	select {
	case <-l.opened: // no call is read before the model's handshake is over
	case <-l.node.engine.ctx.Done(): // the day has ended
		return
	}
	if l.server == 0 {
		l.readOrigin(r, source)
		return
	}
	l.readCache(r)
}

// findSourceLog returns the log of when the router's bytes arrived: a relay's log if there is one, else that
// of the connection.
func (l *link) findSourceLog() *arrival.Log {
	if arrivals := l.node.engine.options.Arrivals; arrivals != nil {
		if log := arrivals(l.node.index, l.socket.RemoteAddr().String(), l.socket.LocalAddr().String()); log != nil {
			return log
		}
	}
	return l.reader.log
}

// attempt is what a server reads of one attempt.
type attempt struct {
	id, key string
	facts   string
	write   bool
	at      time.Time // when its first byte arrived from the router
}

func (l *link) readCache(r io.Reader) {
	var pending []byte
	var offset int64 // position of pending[0] in the stream
	buffer := make([]byte, 16<<10)
	for {
		for {
			command, used, err := meta.ParseCommand(pending)
			if err != nil || used == 0 && len(pending) > 1<<20 {
				l.writeNow("CLIENT_ERROR bad command\r\n")
				return
			}
			if used == 0 {
				break
			}
			l.forward(attempt{id: string(command.ID), key: string(command.Key), facts: string(command.Facts),
				write: command.Verb == meta.Set,
				at:    l.sourceLog.ArrivalTime(offset)})
			pending, offset = pending[used:], offset+int64(used)
		}
		n, err := r.Read(buffer)
		if pending = append(pending, buffer[:n]...); err != nil {
			return
		}
	}
}

func (l *link) readOrigin(r *bufio.Reader, reader *timedReader) {
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		arrivedAt := l.sourceLog.ArrivalTime(reader.delivered - int64(r.Buffered()))
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		l.forward(attempt{id: request.Header.Get("X-Correlation-Id"), key: strings.TrimPrefix(request.URL.Path, "/"),
			facts: strings.Join(request.Header.Values("X-Facts"), ","), write: request.Method == http.MethodPut, at: arrivedAt})
	}
}

// forward passes a call on to the model.
func (l *link) forward(a attempt) {
	e := l.node.engine
	e.do(func() {
		request := e.requests[a.id]
		if request == nil && e.options.Router == "" {
			number, err := strconv.ParseUint(a.key, 16, 64)
			if err != nil {
				number = xxhash.Sum64String(a.key)
			}
			class, _ := meta.LookupFact([]byte(a.facts), "c")
			request = e.newForeignRequest(a.id, string(class), number, a.write)
			request.incarnation = l.node.incarnation
			e.Checker.RequestTaken(e.World.Now(), l.node.index, request.number, request.try.Op.Class, e.World.Now()+time.Hour)
		}
		if request == nil { // the request has ended
			l.checkAttemptAfterEnd(a)
			if l.calls[l.lastCall] != nil {
				l.queuedRejections[l.lastCall]++
			} else {
				l.writeRejection()
			}
			return
		}
		call := &model.Call{Try: request.try, Attempt: request.callCount}
		request.callCount++
		l.calls[call], request.callArrivedAt[call], l.lastCall = request, min(e.World.Now(), a.at.Sub(e.startedAt)), call
		server := e.World.Occupant(l.server)
		// Calls of an earlier process do not count against the current one.
		if request.incarnation == l.node.incarnation && !l.node.wasKilled(request) {
			e.Checker.CallSent(e.World.Now(), l.node.index, request.number, server)
			l.checkTimeLeft(request, a)
			l.checkOverlap(request, call, a.at)
		}
		m := e.World.Member(server)
		e.Scorer.CallSent(m.Zone != l.node.index%e.day.Zones)
		l.conn.Send(call)
	})
}

// isBroken reports whether the server or a relay has broken the connection. Engine.mu must be held.
func (l *link) isBroken() bool { return l.brokenByServer || l.sourceLog.ClosedLocally() }

// checkTimeLeft checks the remaining time that an attempt states. For a request of a foreign client the real
// remaining time is not known here.
func (l *link) checkTimeLeft(request *clientRequest, a attempt) {
	e := l.node.engine
	if e.options.Router == "" {
		return
	}
	e.Checker.Lag = l.node.recentLag()
	stated, err := parseTimeLeft(a.facts)
	e.Checker.TimeLeftReceived(a.at.Sub(e.startedAt), l.node.index, request.number, stated, err)
}

func (l *link) enqueue(cache, origin []byte) {
	if l.closed {
		return
	}
	if l.server == 0 {
		cache = origin
	}
	l.lastAnswer = cache
	select {
	case l.outgoing <- cache:
	default:
		l.brokenByServer = true
		l.socket.Close()
	}
}

func (l *link) writeNow(text string) { l.socket.Write([]byte(text)) }

// finishAll ends the calls in flight on the connection.
func (l *link) finishAll(status hoptiller.Status) {
	for call := range l.calls {
		l.finish(call, status)
	}
}

// finish ends one call.
func (l *link) finish(call *model.Call, status hoptiller.Status) *clientRequest {
	request := l.calls[call]
	if request == nil {
		return nil
	}
	delete(l.calls, call)
	e := l.node.engine
	request.callEndedAt[call] = time.Now()
	request.callSummary.callEnded(status, e.World.Now()-request.callArrivedAt[call], e.day.Classes[request.try.Op.Class].Aim.Std())
	e.Checker.CallEnded(e.World.Now(), l.node.index, request.number, call.Attempt, status)
	e.Scorer.CallEnded(e.World.Now(), status, e.World.Now()-request.callArrivedAt[call])
	return request
}

// Opened implements model.ConnHandler.
func (l *link) Opened(*model.Conn) { l.openedOnce.Do(func() { close(l.opened) }) }

// Refused implements model.ConnHandler.
func (l *link) Refused(*model.Conn) { l.Closed(nil) }

// Closed implements model.ConnHandler.
func (l *link) Closed(*model.Conn) {
	l.brokenByServer = true
	l.finishAll(hoptiller.Reset)
	if tcp, ok := l.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0) // closes with a reset, as when a process dies
	}
	l.socket.Close()
	l.openedOnce.Do(func() { close(l.opened) })
}
