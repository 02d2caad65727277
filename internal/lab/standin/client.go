package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"hoptiller/internal/lab/model"
	"hoptiller/internal/lab/rules"
)

// tier is the routers as the model's clients see them; e.mu is held.
type tier Engine

// client is one connection of a client to a router. It carries one request at a time.
type client struct {
	c net.Conn
	r *bufio.Reader
}

// Take implements model.Tier.
func (t *tier) Take(try *model.Try) bool {
	e := (*Engine)(t)
	n := e.nodes[try.Router]
	r := e.newRequest(try)
	r.life = n.life
	e.Tally.Taken(e.World.Now())
	if !try.Op.Write {
		e.asked.add(e.World.Now(), try.Op.Work)
	}
	e.Check.Taken(e.World.Now(), n.index, r.number, try.Op.Class, try.At+try.Remaining)
	var c *client
	if last := len(n.idle) - 1; last >= 0 {
		c, n.idle = n.idle[last], n.idle[:last]
	}
	r.end = try.At + try.Remaining
	e.goes(func() { n.ask(r, c) })
	return true
}

// Leave implements model.Tier. A client that has waited to the end still hears an answer within the grace.
func (t *tier) Leave(try *model.Try) {
	e := (*Engine)(t)
	r := t.byTry[try]
	if r == nil {
		return
	}
	e.World.At(r.end+e.grace(), func() { e.expire(r) })
}

// grace is how long after its time a request may be answered.
func (e *Engine) grace() time.Duration { return e.day.Rules.Grace.D() + slack }

// expire ends a request that has no answer: at once, or as much later as the machine is late and its router stood still. e.mu is held.
func (e *Engine) expire(r *request) {
	if e.tries[r.id] != r {
		return // it has been answered, or lost
	}
	n := e.nodes[r.try.Router]
	stoodStill := min(e.Check.PausedFor(e.World.Now(), n.index, r.number), rules.MaxPause)
	if last := r.end + e.grace() + min(n.recentLag(), mostLag) + stoodStill; e.World.Now() < last {
		e.World.At(last, func() { e.expire(r) })
		return
	}
	e.blame(r, model.Lost)
	e.Check.RequestUnanswered(e.World.Now(), n.index, r.number)
	if r.conn != nil {
		r.conn.c.Close()
	}
	e.ends(r, true)
}

// ask carries one request to its end.
func (n *node) ask(r *request, c *client) {
	f, after, err := n.carry(r, c)
	e := n.e
	e.do(func() {
		if e.tries[r.id] != r { // the client has gone
			if r.conn != nil {
				r.conn.c.Close()
				delete(e.closers, r.conn.c)
			}
			return
		}
		e.ends(r, err != nil)
		if err != nil {
			f = model.Lost
			if errors.Is(err, errNoRoute) {
				f = model.FinalNoRouter
				e.Check.Left(n.index, r.number)
			}
		}
		if f != model.FinalNoRouter {
			e.blame(r, f)
		}
		if f == model.Lost && e.opt.Lost != nil {
			e.opt.Lost(n.index, n.describeLost(r, err))
		}
		if err != nil {
			if errors.Is(err, errCutOff) && !n.lost(r) {
				e.Check.AnswerTruncated(e.World.Now(), n.index, r.number, r.answer != nil && r.answer.broken())
			}
			if errors.Is(err, errNoAnswer) && !n.lost(r) && r.calls > 0 {
				e.Check.ConnectionDropped(e.World.Now(), n.index, r.number)
			}
			e.Check.RequestUnanswered(e.World.Now(), n.index, r.number) // what it had taken before it was killed the rules have forgotten
			if r.conn != nil {
				r.conn.c.Close()
				delete(e.closers, r.conn.c)
			}
		} else {
			if e.World.Now() > r.end+e.grace() { // and no later than the machine is
				e.Check.Left(n.index, r.number)
			} else if !n.lost(r) { // else it was killed since: the rules know nothing of what it had taken
				e.Check.Final(e.World.Now(), n.index, r.number, final[f])
			}
			n.idle = append(n.idle, r.conn)
		}
		e.Tally.Answered(e.World.Now(), f)
		e.World.Reply(r.try, f, after)
	})
}

// describeLost tells what is known of a request whose connection ended without its whole answer. e.mu is held.
func (n *node) describeLost(r *request, err error) string {
	answer := "no server gave its value"
	if r.answer != nil {
		answer = fmt.Sprintf("the connection of its value is broken %v", r.answer.broken())
	}
	return fmt.Sprintf("request %s is lost after %v, its time ends in %v: %v; %d calls, %s; its process is told to end %v, or is another one by now %v",
		r.id, n.e.World.Now()-r.try.At, r.end-n.e.World.Now(), err, r.calls, answer, n.bidden.Load(), r.life != n.life)
}

// carry has a request answered on a kept connection, or on a new one where the router closed that just then. One that was killed
// may have taken what was sent before: then the request is lost, and not without a route, which would let a client ask
// again for what must not run twice.
func (n *node) carry(r *request, c *client) (f model.Final, after time.Duration, err error) {
	f, after, err = n.exchange(r, c)
	if err == nil || c == nil {
		return f, after, err
	}
	n.e.mu.Lock()
	killed, sentOn := n.lost(r), r.calls > 0
	n.e.mu.Unlock()
	if killed || sentOn { // one that a server has seen was taken, whatever became of its connection
		return f, after, err
	}
	return n.exchange(r, nil)
}

var (
	errNoRoute  = errors.New("no router there")
	errNoAnswer = errors.New("the connection ended without an answer")
	errCutOff   = errors.New("the connection ended within an answer")
)

// exchange writes a request and reads its answer, on an open connection or a new one.
func (n *node) exchange(r *request, c *client) (f model.Final, after time.Duration, err error) {
	fresh := c == nil
	if fresh {
		nc, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err != nil {
			return 0, 0, errNoRoute
		}
		if !n.e.keep(nc) {
			return 0, 0, errNoRoute
		}
		c = &client{nc, bufio.NewReader(nc)}
	}
	n.e.mu.Lock()
	r.conn = c
	gone := n.e.tries[r.id] != r
	if fresh && r.life != n.life && r.calls == 0 && !gone { // the process that it was meant for took nothing of it
		r.life = n.life
		n.e.Check.Taken(n.e.World.Now(), n.index, r.number, r.try.Op.Class, r.end)
	}
	counted := time.Now()
	left := r.end - counted.Sub(n.e.begun) // as it writes, or a busy machine would have the router believe in more
	n.e.mu.Unlock()
	if gone {
		return 0, 0, net.ErrClosed
	}
	op := r.try.Op
	facts := fmt.Sprintf("Pc=%s,d=%d", n.e.day.Classes[op.Class].Name, max(1, left.Milliseconds()))
	if n.e.day.Classes[op.Class].Effect == "keyed" {
		facts += fmt.Sprintf(",k=%016x", op.ID)
	}
	command := fmt.Sprintf("mg %s v O%s %s\r\n", key(op.Key), r.id, facts)
	if op.Write {
		command = fmt.Sprintf("ms %s 2 O%s %s\r\nhi\r\n", key(op.Key), r.id, facts)
	}
	if _, err := io.WriteString(c.c, command); err != nil {
		return 0, 0, err
	}
	if after, leaves := n.e.leavesAfter(r, left); leaves {
		defer time.AfterFunc(after, func() { n.leave(r) }).Stop()
	}
	n.e.mu.Lock()
	n.e.Check.RequestWrittenLate(n.index, r.number, time.Since(counted))
	n.e.mu.Unlock()
	line, err := c.r.ReadString('\n')
	if err != nil && line == "" {
		return 0, 0, errors.Join(errNoAnswer, err)
	}
	if err != nil {
		return 0, 0, err
	}
	word := strings.Fields(line)
	switch {
	case len(word) >= 3 && word[0] == "VA" && !op.Write:
		size, err := strconv.Atoi(word[1])
		if err != nil || size < 0 || size > 1<<20 {
			return 0, 0, fmt.Errorf("answer %q", line)
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(c.r, b); err != nil {
			return 0, 0, errors.Join(errCutOff, err)
		}
		if string(b[:size]) != value(r.id, n.e.day.Load.Bytes, op.Size) {
			return 0, 0, errors.New("a value that was not made for this request")
		}
		return model.Value, 0, nil
	case len(word) >= 3 && word[0] == "HD" && op.Write && word[2] == "cr"+r.id:
		return model.Value, 0, nil
	case len(word) >= 2 && word[0] == "SERVER_ERROR" && word[1] == "busy":
		if len(word) > 2 {
			ms, _ := strconv.Atoi(word[2])
			after = time.Duration(ms) * time.Millisecond
		}
		return model.Refused, after, nil
	}
	return model.Failure, 0, nil
}
