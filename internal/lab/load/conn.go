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
	attemptBits  = 4 // low bits of a request's id on the wire, which hold the number of the attempt
	lineEndBytes = 2
)

// conn is one connection to a router.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// pool holds the connections of a run.
type pool struct {
	addrs []string
	idle  chan *conn
	open  chan struct{} // one element for each open connection
}

func newPool(addrs []string, size int) *pool {
	return &pool{addrs: addrs, idle: make(chan *conn, size), open: make(chan struct{}, size)}
}

// get returns an idle connection, or opens one, or waits for one if all are in use. It returns nil
// if no connection could be opened. The id of the request chooses the address.
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

// dial opens a connection that has been counted as open. If that fails it is no longer counted.
func (p *pool) dial(id uint64) *conn {
	c, err := net.DialTimeout("tcp", p.addrs[id%uint64(len(p.addrs))], dialTimeout)
	if err != nil {
		<-p.open
		return nil
	}
	return &conn{c, bufio.NewReader(c)}
}

// replace closes a connection and opens another one in its place. It returns nil if that fails.
func (p *pool) replace(c *conn, id uint64) *conn {
	c.Close()
	return p.dial(id)
}

// put gives back a connection that can be used again.
func (p *pool) put(c *conn) { p.idle <- c }

// drop closes a connection.
func (p *pool) drop(c *conn) {
	c.Close()
	<-p.open
}

// close closes all idle connections. The pool must not be used any more.
func (p *pool) close() {
	close(p.idle)
	for c := range p.idle {
		c.Close()
	}
}

// exchange writes a request and reads its response. usable tells that the connection can be used
// again.
func (r *run) exchange(c *conn, q request, attempt int, deadline time.Time) (result outcome, after time.Duration, usable bool) {
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
			after = time.Duration(ms) * time.Millisecond
		}
		return refused, after, true
	}
	return failed, 0, true
}

// write writes a request as a meta command.
func (r *run) write(c *conn, q request, attempt int, deadline time.Time) error {
	class := &r.plan.Classes[q.class]
	left := max(1, time.Until(deadline).Milliseconds())
	id := strconv.FormatUint(q.id<<attemptBits+uint64(attempt), 16)
	if class.Write {
		value := strings.Repeat("v", r.plan.Value)
		_, err := fmt.Fprintf(c, "ms %016x %d O%s Pc=%s,d=%d,k=%x\r\n%s\r\n", q.key, len(value), id, class.Name, left, q.id, value)
		return err
	}
	_, err := fmt.Fprintf(c, "mg %016x v O%s Pc=%s,d=%d\r\n", q.key, id, class.Name, left)
	return err
}

// discardValue reads the value of a response.
func (c *conn) discardValue(length string) (result outcome, after time.Duration, usable bool) {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 {
		return failed, 0, false
	}
	if _, err := io.CopyN(io.Discard, c.reader, int64(size)+lineEndBytes); err != nil {
		return lost, 0, false
	}
	return served, 0, true
}
