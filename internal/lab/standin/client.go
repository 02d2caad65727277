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

	"hoptiller/internal/lab/invariants"
	"hoptiller/internal/lab/model"
)

// routerTier is the routers as seen by the model's clients. Engine.mu must be held during its calls.
type routerTier Engine

// clientConn is a connection of a client to a router. It carries one request at a time.
type clientConn struct {
	socket net.Conn
	reader *bufio.Reader
}

// Deliver implements model.RouterTier.
func (t *routerTier) Deliver(try *model.Try) bool {
	e := (*Engine)(t)
	node := e.nodes[try.Router]
	request := e.newRequest(try)
	request.incarnation = node.incarnation
	e.Scorer.RequestTaken(e.World.Now())
	if !try.Op.Write {
		e.requestedLoad.add(e.World.Now(), try.Op.Work)
	}
	e.Checker.RequestTaken(e.World.Now(), node.index, request.number, try.Op.Class, try.SentAt+try.Remaining)
	var conn *clientConn
	if lastIdle := len(node.idleClients) - 1; lastIdle >= 0 {
		conn, node.idleClients = node.idleClients[lastIdle], node.idleClients[:lastIdle]
	}
	request.deadline = try.SentAt + try.Remaining
	e.runUntilEnd(func() { node.sendRequest(request, conn) })
	return true
}

// ClientDisconnected implements model.RouterTier. A client whose time has run out still accepts an answer within the grace.
func (t *routerTier) ClientDisconnected(try *model.Try) {
	e := (*Engine)(t)
	request := t.requestByTry[try]
	if request == nil {
		return
	}
	e.World.At(request.deadline+e.grace(), func() { e.expire(request) })
}

// grace returns how long after its deadline a request may be answered.
func (e *Engine) grace() time.Duration { return e.day.Invariants.Grace.Std() + slack }

// expire ends a request without an answer. It waits longer if the machine lags or the request's router was
// paused. Engine.mu must be held.
func (e *Engine) expire(request *clientRequest) {
	if e.requests[request.id] != request {
		return // it has been answered, or lost
	}
	node := e.nodes[request.try.Router]
	paused := min(e.Checker.PausedFor(e.World.Now(), node.index, request.number), invariants.MaxPause)
	if latest := request.deadline + e.grace() + min(node.recentLag(), maxLagAllowance) + paused; e.World.Now() < latest {
		e.World.At(latest, func() { e.expire(request) })
		return
	}
	e.recordFailure(request, model.FinalLost)
	e.Checker.RequestUnanswered(e.World.Now(), node.index, request.number)
	if request.client != nil {
		request.client.socket.Close()
	}
	e.finishRequest(request, true)
}

// sendRequest sends a request to the router and processes its answer.
func (n *routerNode) sendRequest(request *clientRequest, conn *clientConn) {
	answer, retryAfter, err := n.exchangeWithRetry(request, conn)
	e := n.engine
	e.do(func() {
		if e.requests[request.id] != request { // the client has disconnected
			if request.client != nil {
				request.client.socket.Close()
				delete(e.closers, request.client.socket)
			}
			return
		}
		e.finishRequest(request, err != nil)
		if err != nil {
			answer = model.FinalLost
			if errors.Is(err, errNoRouter) {
				answer = model.FinalNoRouter
				e.Checker.ClientDisconnected(n.index, request.number)
			}
		}
		if answer != model.FinalNoRouter {
			e.recordFailure(request, answer)
		}
		if answer == model.FinalLost && e.options.RequestLost != nil {
			e.options.RequestLost(n.index, n.describeLost(request, err))
		}
		if err != nil {
			if errors.Is(err, errTruncated) && !n.wasKilled(request) {
				e.Checker.AnswerTruncated(e.World.Now(), n.index, request.number, request.valueLink != nil && request.valueLink.isBroken())
			}
			if errors.Is(err, errNoAnswer) && !n.wasKilled(request) && request.callCount > 0 {
				e.Checker.ConnectionDropped(e.World.Now(), n.index, request.number)
			}
			// The checker has already forgotten the requests of a killed process.
			e.Checker.RequestUnanswered(e.World.Now(), n.index, request.number)
			if request.client != nil {
				request.client.socket.Close()
				delete(e.closers, request.client.socket)
			}
		} else {
			if e.World.Now() > request.deadline+e.grace() { // an answer this late is excused by the lag of the machine
				e.Checker.ClientDisconnected(n.index, request.number)
			} else if !n.wasKilled(request) { // if the process was killed since, the checker has forgotten its requests
				e.Checker.FinalAnswer(e.World.Now(), n.index, request.number, finalSteps[answer])
			}
			n.idleClients = append(n.idleClients, request.client)
		}
		e.Scorer.FinalAnswer(e.World.Now(), answer)
		e.World.Reply(request.try, answer, retryAfter)
	})
}

// describeLost describes a request whose connection ended without a complete answer. Engine.mu must be held.
func (n *routerNode) describeLost(request *clientRequest, err error) string {
	answer := "no server gave its value"
	if request.valueLink != nil {
		answer = fmt.Sprintf("the connection of its value is broken %v", request.valueLink.isBroken())
	}
	return fmt.Sprintf("request %s is lost after %v, its time ends in %v: %v; %d calls, %s; its process is told to end %v, or is another one by now %v",
		request.id, n.engine.World.Now()-request.try.SentAt, request.deadline-n.engine.World.Now(), err, request.callCount, answer,
		n.expectedToEnd.Load(), request.incarnation != n.incarnation)
}

// exchangeWithRetry sends a request on an idle connection, and again on a new one if the router has just
// closed the idle one. A process that was killed, or that has sent the request to a server, may have accepted
// it. Then the request is lost and is not reported as unroutable, which would let a client retry a write that
// must not run twice.
func (n *routerNode) exchangeWithRetry(request *clientRequest, conn *clientConn) (answer model.FinalAnswer, retryAfter time.Duration,
	err error) {
	answer, retryAfter, err = n.exchange(request, conn)
	if err == nil || conn == nil {
		return answer, retryAfter, err
	}
	n.engine.mu.Lock()
	killed, sentOn := n.wasKilled(request), request.callCount > 0
	n.engine.mu.Unlock()
	if killed || sentOn { // the process had accepted a request that a server has received, whatever became of the connection
		return answer, retryAfter, err
	}
	return n.exchange(request, nil)
}

var (
	errNoRouter  = errors.New("no router is reachable")
	errNoAnswer  = errors.New("the connection ended without an answer")
	errTruncated = errors.New("the connection ended within an answer")
)

// exchange writes a request and reads its answer, on an idle connection or a new one.
func (n *routerNode) exchange(request *clientRequest, conn *clientConn) (answer model.FinalAnswer, retryAfter time.Duration,
	err error) {
	isNew := conn == nil
	if isNew {
		socket, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err != nil {
			return 0, 0, errNoRouter
		}
		if !n.engine.closeAtEnd(socket) {
			return 0, 0, errNoRouter
		}
		conn = &clientConn{socket, bufio.NewReader(socket)}
	}
	n.engine.mu.Lock()
	request.client = conn
	ended := n.engine.requests[request.id] != request
	// The earlier process had not accepted the request.
	if isNew && request.incarnation != n.incarnation && request.callCount == 0 && !ended {
		request.incarnation = n.incarnation
		n.engine.Checker.RequestTaken(n.engine.World.Now(), n.index, request.number, request.try.Op.Class, request.deadline)
	}
	measuredAt := time.Now()
	// Measured just before the write; on a busy machine an older value would overstate the time left.
	remaining := request.deadline - measuredAt.Sub(n.engine.startedAt)
	n.engine.mu.Unlock()
	if ended {
		return 0, 0, net.ErrClosed
	}
	op := request.try.Op
	facts := fmt.Sprintf("Pc=%s,d=%d", n.engine.day.Classes[op.Class].Name, max(1, remaining.Milliseconds()))
	if n.engine.day.Classes[op.Class].Effect == "keyed" {
		facts += fmt.Sprintf(",k=%016x", op.ID)
	}
	command := fmt.Sprintf("mg %s v O%s %s\r\n", formatKey(op.Key), request.id, facts)
	if op.Write {
		value := n.engine.writtenValue(op)
		command = fmt.Sprintf("ms %s %d O%s %s\r\n%s\r\n", formatKey(op.Key), len(value), request.id, facts, value)
	}
	if _, err := io.WriteString(conn.socket, command); err != nil {
		return 0, 0, err
	}
	if after, disconnects := n.engine.drawDisconnect(request, remaining); disconnects {
		defer time.AfterFunc(after, func() { n.disconnectClient(request) }).Stop()
	}
	n.engine.mu.Lock()
	n.engine.Checker.RequestWrittenLate(n.index, request.number, time.Since(measuredAt))
	n.engine.mu.Unlock()
	line, err := conn.reader.ReadString('\n')
	if err != nil && line == "" {
		return 0, 0, errors.Join(errNoAnswer, err)
	}
	if err != nil {
		return 0, 0, err
	}
	words := strings.Fields(line)
	switch {
	case len(words) >= 3 && words[0] == "VA" && !op.Write:
		size, err := strconv.Atoi(words[1])
		if err != nil || size < 0 || size > 1<<20 {
			return 0, 0, fmt.Errorf("unexpected answer %q", line)
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(conn.reader, body); err != nil {
			return 0, 0, errors.Join(errTruncated, err)
		}
		if string(body[:size]) != valueFor(request.id, n.engine.day.Load.Bytes, op.Size) {
			return 0, 0, errors.New("the value belongs to another request")
		}
		return model.FinalValue, 0, nil
	case len(words) >= 3 && words[0] == "HD" && op.Write && words[2] == "cr"+request.id:
		return model.FinalValue, 0, nil
	case len(words) >= 2 && words[0] == "SERVER_ERROR" && words[1] == "busy":
		if len(words) > 2 {
			ms, _ := strconv.Atoi(words[2])
			retryAfter = time.Duration(ms) * time.Millisecond
		}
		return model.FinalRefused, retryAfter, nil
	}
	return model.FinalFailed, 0, nil
}
