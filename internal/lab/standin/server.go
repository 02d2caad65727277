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

// listenServer opens the address at which a router finds a server.
func (n *node) listenServer(server int) error {
	n.e.mu.Lock()
	defer n.e.mu.Unlock()
	return n.listenServerLocked(server)
}

func (n *node) listenServerLocked(server int) error {
	l, err := loopback.Listen(loopback.Parties, n.index)
	if err != nil {
		return err
	}
	arrival.KeepTimes(l)
	party := Cache
	if server == 0 {
		party = Origin
	}
	if n.told[server], err = n.way(party, l); err != nil {
		return err
	}
	n.servers[server] = l
	n.e.closers[l] = true
	n.e.goes(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.e.goes(func() { n.serve(server, c) })
		}
	})
	return nil
}

// link is a connection of a router to a server: a socket on one side, the model's on the other.
type link struct {
	n       *node
	server  int
	c       net.Conn
	arrived *arrivals
	source  *arrival.Log // of the router's own connection: that to the relay, where there is one
	out     chan []byte
	opened  chan struct{}
	once    sync.Once

	conn  *model.Conn // guarded by e.mu, as is the rest
	calls map[*model.Call]*request
	last  *model.Call // the latest

	gone  map[*model.Call]int // after it, those whose requests are over: they too are answered in their turn
	ended bool
	lost  bool // the server has broken it

	accepted time.Duration
}

const mostOut = 256 // answers that wait to be written; a router that reads none is not waited for

func (n *node) serve(server int, c net.Conn) {
	e := n.e
	arrived := newArrivals(c, e.ctx.Done(), e.goes) // before anything that may wait
	if !e.keep(c) {
		return
	}
	defer e.forget(c)
	l := &link{n: n, server: server, c: c, arrived: arrived, out: make(chan []byte, mostOut), opened: make(chan struct{}),
		calls: map[*model.Call]*request{}, gone: map[*model.Call]int{}, accepted: time.Since(n.e.begun)}
	e.goes(func() {
		for b := range l.out {
			l.send(b)
		}
	})
	e.do(func() { l.conn = e.World.Dial(n.index, server, l) })
	l.read()
	c.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	l.ended = true
	close(l.out)
	if e.closing || l.conn == nil {
		return
	}
	e.step()
	l.end(hoptiller.Cancelled)
	l.conn.Close()
}

// writeTime is for how long a router may read nothing of what is written to it.
const writeTime = 5 * time.Second

// endOfAnswers in the place of an answer ends them.
var endOfAnswers = []byte{}

// send writes an answer, or ends the stand-in's side of the connection.
func (l *link) send(answer []byte) {
	if tcp, ok := l.c.(*net.TCPConn); ok && len(answer) == 0 {
		tcp.CloseWrite()
		return
	}
	l.c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := l.c.Write(answer); err != nil {
		l.c.Close()
	}
}

// read takes calls until the connection ends.
func (l *link) read() {
	a := l.arrived
	r := bufio.NewReader(a)
	if _, err := r.Peek(1); err != nil {
		return
	}
	l.source = l.sourceLog()
	select {
	case <-l.opened: // nothing is read before the handshake is over
	case <-l.n.e.ctx.Done(): // and none is, once the day has ended
		return
	}
	if l.server == 0 {
		l.readOrigin(r, a)
		return
	}
	l.readCache(r)
}

// sourceLog finds what is known of when the router's bytes came.
func (l *link) sourceLog() *arrival.Log {
	if arrivals := l.n.e.opt.Arrivals; arrivals != nil {
		if log := arrivals(l.n.index, l.c.RemoteAddr().String(), l.c.LocalAddr().String()); log != nil {
			return log
		}
	}
	return l.arrived.log
}

// attempt is what a server reads of one attempt.
type attempt struct {
	id, key string
	facts   string
	write   bool
	at      time.Time // when its first byte came from the router
}

func (l *link) readCache(r io.Reader) {
	var b []byte
	var offset int64 // of b
	buf := make([]byte, 16<<10)
	for {
		for {
			c, used, err := meta.ParseCommand(b)
			if err != nil || used == 0 && len(b) > 1<<20 {
				l.say("CLIENT_ERROR bad command\r\n")
				return
			}
			if used == 0 {
				break
			}
			l.call(attempt{id: string(c.ID), key: string(c.Key), facts: string(c.Facts), write: c.Verb == meta.Set, at: l.source.At(offset)})
			b, offset = b[used:], offset+int64(used)
		}
		k, err := r.Read(buf)
		if b = append(b, buf[:k]...); err != nil {
			return
		}
	}
}

func (l *link) readOrigin(r *bufio.Reader, a *arrivals) {
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		began := l.source.At(a.handed - int64(r.Buffered()))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		l.call(attempt{id: q.Header.Get("X-Correlation-Id"), key: strings.TrimPrefix(q.URL.Path, "/"),
			facts: strings.Join(q.Header.Values("X-Facts"), ","), write: q.Method == http.MethodPut, at: began})
	}
}

// call passes a call on to the model.
func (l *link) call(a attempt) {
	e := l.n.e
	e.do(func() {
		r := e.tries[a.id]
		if r == nil && e.opt.Router == "" {
			number, err := strconv.ParseUint(a.key, 16, 64)
			if err != nil {
				number = xxhash.Sum64String(a.key)
			}
			class, _ := meta.Fact([]byte(a.facts), "c")
			r = e.stranger(a.id, string(class), number, a.write)
			r.life = l.n.life
			e.Check.Taken(e.World.Now(), l.n.index, r.number, r.try.Op.Class, e.World.Now()+time.Hour)
		}
		if r == nil { // its client has gone, and with it what is known of the request
			l.begunAfterEnd(a)
			if l.calls[l.last] != nil {
				l.gone[l.last]++
			} else {
				l.turnAway()
			}
			return
		}
		call := &model.Call{Try: r.try, Attempt: r.calls}
		r.calls++
		l.calls[call], r.sent[call], l.last = r, min(e.World.Now(), a.at.Sub(e.begun)), call
		server := e.World.Occupant(l.server)
		if r.life == l.n.life && !l.n.lost(r) { // what a former process sent is not held against the next one
			e.Check.Sent(e.World.Now(), l.n.index, r.number, server)
			l.holdToTime(r, a)
			l.alone(r, call, a.at)
		}
		m := e.World.Member(server)
		e.Tally.Called(m.Zone != l.n.index%e.day.Zones)
		l.conn.Send(call)
	})
}

// broken tells whether the server or a relay has broken the connection. e.mu is held.
func (l *link) broken() bool { return l.lost || l.source.Closed() }

// holdToTime holds an attempt to the time that its client has left. What a stranger has told the router is not known here.
func (l *link) holdToTime(r *request, a attempt) {
	e := l.n.e
	if e.opt.Router == "" {
		return
	}
	e.Check.Lag = l.n.recentLag()
	told, err := timeTold(a.facts)
	e.Check.TimeTold(a.at.Sub(e.begun), l.n.index, r.number, told, err)
}

func (l *link) write(cache, origin []byte) {
	if l.ended {
		return
	}
	if l.server == 0 {
		cache = origin
	}
	select {
	case l.out <- cache:
	default:
		l.lost = true
		l.c.Close()
	}
}

func (l *link) say(text string) { l.c.Write([]byte(text)) }

// end ends the calls that are out on the connection.
func (l *link) end(status hoptiller.Status) {
	for call := range l.calls {
		l.finish(call, status)
	}
}

// finish ends one call.
func (l *link) finish(call *model.Call, status hoptiller.Status) *request {
	r := l.calls[call]
	if r == nil {
		return nil
	}
	delete(l.calls, call)
	e := l.n.e
	r.ended[call] = time.Now()
	r.calling.ended(status, e.World.Now()-r.sent[call], e.day.Classes[r.try.Op.Class].Aim.D())
	e.Check.Ended(e.World.Now(), l.n.index, r.number, call.Attempt, status)
	e.Tally.Closed(e.World.Now(), status, e.World.Now()-r.sent[call])
	return r
}

// Opened implements model.Holder.
func (l *link) Opened(*model.Conn) { l.once.Do(func() { close(l.opened) }) }

// Refused implements model.Holder.
func (l *link) Refused(*model.Conn) { l.Lost(nil) }

// Lost implements model.Holder.
func (l *link) Lost(*model.Conn) {
	l.lost = true
	l.end(hoptiller.Reset)
	if tcp, ok := l.c.(*net.TCPConn); ok {
		tcp.SetLinger(0) // as when a process dies
	}
	l.c.Close()
	l.once.Do(func() { close(l.opened) })
}
