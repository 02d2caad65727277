package load

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	dialTimeout  = 2 * time.Second
	attemptBits  = 4 // number of low bits of a request's ID on the wire that hold the number of the attempt
	lineEndBytes = 2 // length of "\r\n"
)

// conn is one connection to a router.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// pool holds the connections of a run. Their number is bounded.
type pool struct {
	addrs []string
	idle  chan *conn
	open  chan struct{} // one element for each open connection
}

// newPool returns a pool of at most size connections.
func newPool(addrs []string, size int) *pool {
	return &pool{addrs: addrs, idle: make(chan *conn, size), open: make(chan struct{}, size)}
}

// get returns an idle connection, or opens one. If all are in use it waits for one. It returns nil if it can't open a
// connection. The ID of the request selects the address of a new connection. reused reports whether the connection is
// not new.
func (p *pool) get(id uint64) (c *conn, reused bool) {
	select {
	case c = <-p.idle:
		return c, true
	default:
	}
	select {
	case c = <-p.idle:
		return c, true
	case p.open <- struct{}{}:
		return p.dial(id), false
	}
}

// dial opens a connection that has already been counted in open. If that fails, dial removes it from the count.
func (p *pool) dial(id uint64) *conn {
	c, err := net.DialTimeout("tcp", p.addrs[id%uint64(len(p.addrs))], dialTimeout)
	if err != nil {
		<-p.open
		return nil
	}
	return &conn{c, bufio.NewReader(c)}
}

// replace closes a connection and opens another one instead. It returns nil if the other one can't be opened.
func (p *pool) replace(c *conn, id uint64) *conn {
	c.Close()
	return p.dial(id)
}

// put returns a connection that can be reused to the pool.
func (p *pool) put(c *conn) { p.idle <- c }

// drop closes a connection that can't be reused.
func (p *pool) drop(c *conn) {
	c.Close()
	<-p.open
}

// close closes all idle connections. The pool must not be used after it.
func (p *pool) close() {
	close(p.idle)
	for c := range p.idle {
		c.Close()
	}
}

// exchange writes a request and reads its response. retryAfter is how long the client of a refused request shall wait
// before a retry. usable reports whether the connection can be reused.
func (r *run) exchange(c *conn, q request, attempt int, deadline time.Time) (
	result outcome, retryAfter time.Duration, usable bool,
) {
	c.SetDeadline(deadline)
	if err := r.write(c, q, attempt, deadline); err != nil {
		return lost, 0, false
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return lost, 0, false
	}
	switch words := strings.Fields(line); {
	case len(words) >= 2 && words[0] == "VA":
		return c.discardValue(words[1])
	case len(words) >= 1 && words[0] == "HD":
		return served, 0, true
	case len(words) >= 2 && words[0] == "SERVER_ERROR" && words[1] == "busy":
		if len(words) > 2 {
			ms, _ := strconv.Atoi(words[2])
			retryAfter = time.Duration(ms) * time.Millisecond
		}
		return refused, retryAfter, true
	}
	return failed, 0, true
}

// write writes a request as a command of the meta protocol.
func (r *run) write(c *conn, q request, attempt int, deadline time.Time) error {
	class := &r.plan.Classes[q.class]
	remaining := max(1, time.Until(deadline).Milliseconds())
	id := strconv.FormatUint(q.id<<attemptBits+uint64(attempt), 16)
	if class.Write {
		value := strings.Repeat("v", r.plan.ValueSize)
		_, err := fmt.Fprintf(c, "ms %016x %d O%s Pc=%s,d=%d,k=%x\r\n%s\r\n", q.key, len(value), id, class.Name, remaining, q.id, value)
		return err
	}
	_, err := fmt.Fprintf(c, "mg %016x v O%s Pc=%s,d=%d\r\n", q.key, id, class.Name, remaining)
	return err
}

// discardValue reads and discards the value of a response.
func (c *conn) discardValue(length string) (result outcome, retryAfter time.Duration, usable bool) {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 {
		return failed, 0, false
	}
	if _, err := io.CopyN(io.Discard, c.reader, int64(size)+lineEndBytes); err != nil {
		return lost, 0, false
	}
	return served, 0, true
}
