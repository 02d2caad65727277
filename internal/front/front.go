// Package front is where clients connect. It alone knows their protocol, the
// meta commands of the memcache text protocol.
package front

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/buffer"
	"hoptiller/internal/meta"
	"hoptiller/internal/relay"
)

const (
	readAhead    = 64                     // commands of one connection that are begun before the first is answered
	writeTimeout = 10 * time.Second       // for a client that does not read its answers
	closeTimeout = 500 * time.Millisecond // for a client to close its side
	longest      = time.Hour              // that a client can be taken to wait
)

// Server carries an invocation to its final answer, as *relay.Relay does.
type Server interface {
	Serve(ctx context.Context, inv *relay.Invocation) relay.Answer
}

// Front serves the clients of one listener.
type Front struct {
	Classes   []string        // names, by number
	Deadlines []time.Duration // for an invocation that states none, by class
	MostConns int             // client connections at once
	MostOpen  int             // invocations at once; each may hold two buffers
	Linger    time.Duration   // for which connections are still accepted after a stop
	Server    Server

	open     chan struct{} // a place for each open invocation
	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
}

// Serve accepts clients until stop ends, and Linger longer; then it finishes
// what was taken and returns. When ctx ends, it drops everything.
func (f *Front) Serve(ctx, stop context.Context, l net.Listener) error {
	f.conns, f.open = map[*conn]bool{}, make(chan struct{}, max(1, f.MostOpen))
	g, ctx := errgroup.WithContext(ctx)
	places := make(chan struct{}, max(1, f.MostConns))
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			places <- struct{}{}
			nc, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, or the client has left again: not the end of the listener
				<-places
				log.Printf("accept: %v", err)
				time.Sleep(5 * time.Millisecond)
				continue
			}
			c := &conn{Conn: nc, front: f, slots: make(chan slot, readAhead)}
			f.mu.Lock()
			f.conns[c] = true
			f.mu.Unlock()
			g.Go(func() error {
				defer func() { <-places }()
				c.serve(ctx)
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
				return nil
			})
		}
	}()
	select {
	case <-ctx.Done():
	case <-stop.Done():
		f.drain(ctx)
	}
	l.Close()
	<-accepted
	f.endIdle(true)
	return g.Wait()
}

// drain goes on accepting for a while, since clients still come until the front layer has noticed,
// but keeps no connection longer than its answers take.
func (f *Front) drain(ctx context.Context) {
	f.endIdle(false)
	timer := time.NewTimer(f.Linger)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// endIdle closes connections between requests: now those that are idle, and from now on each when its
// answers are out. While clients still come they may use the connections that they have.
func (f *Front) endIdle(now bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		if now {
			c.endIfIdle()
		}
	}
}

func (f *Front) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// conn is one client connection.
type conn struct {
	net.Conn
	front *Front
	slots chan slot // answers to come, in the order of the commands

	mu   sync.Mutex
	out  int  // commands taken and not answered
	part bool // a command has come in part
	end  bool
}

// slot is the place of one answer.
type slot struct {
	line   string // an answer that was known at once
	id     []byte
	write  bool
	answer chan relay.Answer
	buf    *buffer.Buffer // holds the command
}

func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out > 0 {
		return
	}
	c.end = true
	if c.part { // its rest may be on the way, but a client that never sends it must not keep the program
		c.SetReadDeadline(time.Now().Add(closeTimeout))
	} else {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) serve(ctx context.Context) {
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeAnswers(cancel)
	}()
	own := c.readCommands(ctx)
	if !own {
		cancel() // the client has left: nothing that it asked for is wanted any more
	}
	close(c.slots)
	<-done
	if tcp, ok := c.Conn.(*net.TCPConn); ok && own && ctx.Err() == nil {
		// To close with something unread resets the connection, and the last answer may be lost with it.
		tcp.CloseWrite()
		c.SetReadDeadline(time.Now().Add(closeTimeout))
		io.Copy(io.Discard, c)
	}
}

// readCommands reads until the connection ends. It returns true if it ended it itself, so that the
// answers to what came before are still to be written.
func (c *conn) readCommands(ctx context.Context) bool {
	buf := buffer.Get()
	defer buffer.Put(buf)
	have := 0
	for {
		n, err := c.Read(buf[have:])
		have += n
		for have > 0 {
			used, last := c.command(ctx, buf[:have])
			if last {
				return true
			}
			if used == 0 {
				break
			}
			copy(buf[:], buf[used:have])
			have -= used
		}
		c.mu.Lock()
		c.part = have > 0
		end := c.end
		c.mu.Unlock()
		if err != nil {
			return end
		}
	}
}

// command takes the command at the start of b, if it is whole. last tells that nothing more is read.
func (c *conn) command(ctx context.Context, b []byte) (used int, last bool) {
	cmd, n, err := meta.ParseCommand(b)
	if err != nil {
		c.put(slot{line: err.Error() + "\r\n"})
		return n, meta.Fatal(err)
	}
	if n == 0 {
		return 0, false
	}
	switch cmd.Verb {
	case meta.Noop:
		c.put(slot{line: "MN\r\n"})
	case meta.Version:
		c.put(slot{line: "VERSION hoptiller\r\n"})
	case meta.Quit:
		return n, true
	case meta.Unknown:
		c.put(slot{line: "ERROR\r\n"})
	default:
		c.invoke(ctx, &cmd)
	}
	return n, false
}

func (c *conn) put(s slot) {
	c.mu.Lock()
	c.out++
	c.mu.Unlock()
	c.slots <- s
}

// invoke starts an invocation.
func (c *conn) invoke(ctx context.Context, cmd *meta.Command) {
	inv := &relay.Invocation{Write: cmd.Verb == meta.Set}
	if fault := c.front.facts(inv, cmd.Facts); fault != "" {
		c.put(slot{line: "CLIENT_ERROR " + fault + "\r\n"})
		return
	}
	select { // clients that send much and read little must not fill the memory with buffers
	case c.front.open <- struct{}{}:
	case <-ctx.Done():
		return
	}
	buf := buffer.Get() // the command must outlive the read buffer
	b := buf[:0]
	keep := func(s []byte) []byte {
		from := len(b)
		b = append(b, s...)
		return b[from:len(b):len(b)]
	}
	inv.Key, inv.ID, inv.Facts, inv.Value = keep(cmd.Key), keep(cmd.ID), keep(cmd.Facts), keep(cmd.Value)
	s := slot{id: inv.ID, write: inv.Write, answer: make(chan relay.Answer, 1), buf: buf}
	go func() { s.answer <- c.front.Server.Serve(ctx, inv) }()
	c.put(s)
}

// facts reads the names and values that come with an invocation and tells what is wrong with them.
func (f *Front) facts(inv *relay.Invocation, facts []byte) (fault string) {
	class, _ := meta.Fact(facts, "c")
	if inv.Class = slices.Index(f.Classes, string(class)); inv.Class < 0 {
		return "unknown class"
	}
	inv.Remaining = f.Deadlines[inv.Class]
	if d, ok := meta.Fact(facts, "d"); ok {
		ms, err := strconv.ParseInt(string(d), 10, 64)
		if err != nil || ms <= 0 || ms > longest.Milliseconds() {
			return "bad deadline"
		}
		inv.Remaining = time.Duration(ms) * time.Millisecond
	}
	retry, _ := meta.Fact(facts, "r")
	inv.Retry = string(retry) == "1"
	return ""
}

// writeAnswers writes the answers in the order of their commands.
func (c *conn) writeAnswers(cancel context.CancelFunc) {
	broken := false
	for s := range c.slots {
		broken = !c.writeAnswer(&s, broken) || broken
		if broken {
			cancel() // ends the reading
		}
		c.mu.Lock()
		c.out--
		c.mu.Unlock()
		if c.front.isDraining() {
			c.endIfIdle()
		}
	}
}

func (c *conn) writeAnswer(s *slot, broken bool) bool {
	defer buffer.Put(s.buf)
	if s.answer == nil {
		return !broken && c.write([]byte(s.line))
	}
	a := <-s.answer
	defer func() {
		buffer.Put(a.Buffer)
		<-c.front.open
	}()
	if broken {
		return false
	}
	buf := buffer.Get()
	defer buffer.Put(buf)
	b := buf[:0]
	switch {
	case a.Kind == hoptiller.StepServed && s.write:
		b = meta.AppendStored(b, s.id, a.Data)
	case a.Kind == hoptiller.StepServed:
		b = meta.AppendValue(b, s.id, a.Data)
	case a.Kind == hoptiller.StepReject:
		b = meta.AppendBusy(b, a.RetryAfter.Milliseconds())
	default:
		b = meta.AppendFailed(b)
	}
	return c.write(b)
}

func (c *conn) write(b []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(b)
	return err == nil
}
