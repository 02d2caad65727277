// Package front is where clients connect. It alone knows their protocol, the
// meta commands of the memcache text protocol.
package front

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
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
	readAhead    = 16                      // commands of one connection that are begun before the first is answered
	mostFaults   = 8                       // commands of one connection that make no sense before it is ended
	firstTime    = 2500 * time.Millisecond // for a new client to ask something
	commandTime  = 2500 * time.Millisecond // for the rest of a command that has begun
	idleTime     = 2500 * time.Millisecond // without an open command; the client asks again on a new connection
	settled      = 100 * time.Millisecond  // without a first command after which a connection may make room for another
	atOnce       = 16                      // connections that make room together
	writeTimeout = 10 * time.Second        // for a client that does not read its answers
	closeTimeout = 500 * time.Millisecond  // for a client to close its side
	mostUnread   = 256 << 10               // bytes of a client that was told off, skipped while it closes
	longest      = time.Hour               // that a client can be taken to wait
)

// Server carries an invocation to its final answer, as *relay.Relay does.
type Server interface {
	Serve(ctx context.Context, inv *relay.Invocation) relay.Answer
}

// Front serves the clients of a router, who may come by several listeners.
type Front struct {
	Classes   []string        // names, by number
	Deadlines []time.Duration // for an invocation that states none, by class
	MostConns int             // client connections at once
	MostKept  int             // of those that have asked, beyond which idle ones are ended as others come; 0: no limit
	MostOpen  int             // invocations at once beyond the first of each connection
	Linger    time.Duration   // for which connections are still accepted after a stop
	Keep      time.Duration   // for which those that are open are served after it, while there are any
	Server    Server

	mu       sync.Mutex
	conns    map[*conn]bool
	open     map[string]bool // the ids of invocations that are not answered
	left     chan struct{}   // told when a connection has ended
	draining bool
}

// Serve accepts clients until stop ends, and Linger longer, and serves those it
// has until Keep is over; then it finishes what was taken and returns. When ctx ends, it drops everything.
func (f *Front) Serve(ctx, stop context.Context, listeners ...net.Listener) error {
	f.conns, f.open, f.left = map[*conn]bool{}, map[string]bool{}, make(chan struct{}, 1)
	g, ctx := errgroup.WithContext(ctx)
	places := make(chan struct{}, max(1, f.MostConns))
	var accepting sync.WaitGroup
	accept := func(l net.Listener) {
		for {
			f.makeRoom(places)
			nc, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				<-places
				return
			}
			if err != nil { // out of descriptors, or the client has left again: not the end of the listener
				<-places
				slog.Warn("accept failed", "err", err)
				time.Sleep(5 * time.Millisecond)
				continue
			}
			reader, err := buffer.NewReader(nc)
			if err != nil {
				<-places
				nc.Close()
				continue
			}
			c := &conn{Conn: nc, front: f, reader: reader, slots: make(chan slot, readAhead), freed: make(chan struct{}, 1),
				since: time.Now()}
			if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
				c.client = a.AddrPort().Addr().Unmap()
			}
			f.mu.Lock()
			f.conns[c] = true
			f.mu.Unlock()
			f.thin(time.Now())
			g.Go(func() error {
				defer func() { <-places }()
				c.serve(ctx)
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
				select {
				case f.left <- struct{}{}:
				default:
				}
				return nil
			})
		}
	}
	for _, l := range listeners {
		accepting.Go(func() { accept(l) })
	}
	select {
	case <-ctx.Done():
	case <-stop.Done():
	}
	stopped := time.Now()
	f.wait(ctx, stopped.Add(f.Linger), false) // clients still come until the front layer has noticed
	for _, l := range listeners {
		l.Close()
	}
	accepting.Wait()
	// Clients use the connections that they have for as long as they can; another router may be down just now.
	f.wait(ctx, stopped.Add(f.Keep), true)
	f.endIdle()
	return g.Wait()
}

// wait waits until a time, or if it may until no client is left.
func (f *Front) wait(ctx context.Context, until time.Time, orNone bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		f.mu.Lock()
		none := orNone && len(f.conns) == 0
		f.mu.Unlock()
		if none {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.left:
		}
	}
}

// makeRoom waits for a place. Clients that connect and say nothing, or half a command, must not keep the
// others out, so where there is no place the connection goes that has been without a command longest: those
// that never had one first, then those that may ask again on a new one.
func (f *Front) makeRoom(places chan struct{}) {
	for {
		select {
		case places <- struct{}{}:
			return
		default:
		}
		f.evict(time.Now())
		select {
		case places <- struct{}{}:
			return
		case <-time.After(settled / 10):
		}
	}
}

// evict has connections make room. Several go at once, for they may come by the hundred; of those that have
// asked only one does.
func (f *Front) evict(now time.Time) {
	type candidate struct {
		*conn
		idle time.Duration
		used bool
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []candidate
	ending := 0
	for c := range f.conns {
		idle, going, used := c.idle(now)
		if going {
			ending++
		} else if idle > 0 {
			candidates = append(candidates, candidate{c, idle, used})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.idle, a.idle) })
	for _, c := range candidates {
		if ending >= atOnce || c.used && ending > 0 {
			return
		}
		c.endIfIdle(0)
		ending++
	}
}

// thin ends the connection that was used longest ago where many are kept: clients hold only so many at once,
// and those that ask once and keep theirs would leave the others none to ask on.
func (f *Front) thin(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *conn
	var most time.Duration
	kept := 0
	for c := range f.conns {
		idle, going, used := c.idle(now)
		if !used || going {
			continue
		}
		if kept++; idle > most {
			oldest, most = c, idle
		}
	}
	if f.MostKept > 0 && kept > f.MostKept && oldest != nil {
		oldest.endIfIdle(0)
	}
}

// endIdle closes the connections that are idle, and from now on each when its answers are out.
func (f *Front) endIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.endIfIdle(closeTimeout)
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
	front  *Front
	reader *buffer.Reader
	slots  chan slot     // answers to come, in the order of the commands
	freed  chan struct{} // told when one has been written
	faults int           // commands that made no sense
	client netip.Addr

	mu    sync.Mutex
	out   int       // commands taken and not answered
	asked bool      // a whole command has come
	part  bool      // a command has come in part
	since time.Time // when the part came, or else since when nothing is out
	end   bool      // once nothing is out

	restBy time.Time // when end is set: until when the rest of a command may come
}

// slot is the place of one answer.
type slot struct {
	line   string // an answer that was known at once
	id     string
	write  bool
	answer chan relay.Answer
}

// idle tells how long a connection has been without a command; one that never had a whole one counts as
// idle for longer than any other, and one whose first may be on its way not at all. ending tells that it
// goes anyway, used that it has had a whole command and no part of another.
func (c *conn) idle(now time.Time) (idle time.Duration, ending, used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used = c.asked && !c.part
	switch idle = now.Sub(c.since); {
	case c.out > 0 || !used && idle <= settled:
		return 0, c.out == 0 && c.end, used
	case !used:
		idle += time.Hour
	}
	return idle, c.end, used
}

// endIfIdle ends a connection if nothing is out on it; the rest of a command that has begun may take a while.
func (c *conn) endIfIdle(rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out == 0 && !c.end {
		c.end, c.restBy = true, time.Now().Add(rest)
		c.arm()
	}
}

// arm sets how long the next read may take: a client that says nothing, or never the rest of a command,
// must hold neither a place nor, after SIGTERM, the program. c.mu is held.
func (c *conn) arm() {
	var by time.Time
	switch {
	case c.part && c.end:
		by = c.restBy
	case c.part:
		by = c.since.Add(commandTime)
	case c.out > 0:
	case c.end:
		by = time.Unix(1, 0)
	case c.asked:
		by = c.since.Add(idleTime)
	default:
		by = c.since.Add(firstTime)
	}
	c.SetReadDeadline(by)
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
	own, unread := c.readCommands(ctx)
	if !own {
		cancel() // the client has left: nothing that it asked for is wanted any more
	}
	close(c.slots)
	<-done
	if tcp, ok := c.Conn.(*net.TCPConn); ok && unread && ctx.Err() == nil {
		// To close with something unread resets the connection, and the last answer may be lost with it.
		// Where nothing is, the place is needed: a client that says nothing does not close its side either.
		tcp.CloseWrite()
		c.SetReadDeadline(time.Now().Add(closeTimeout))
		for skipped := 0; skipped < mostUnread; {
			if c.reader.Next(func(b []byte) int { skipped += len(b); return len(b) }) != nil {
				break
			}
		}
	}
}

// readCommands reads until the connection ends. It tells whether it ended it itself, so that the answers
// to what came before are still to be written, and whether there may be more that is not read.
func (c *conn) readCommands(ctx context.Context) (own, unread bool) {
	c.mu.Lock()
	c.arm()
	c.mu.Unlock()
	for next, looked := c.reader.Next, false; ; {
		var last, full bool
		err := next(func(b []byte) (used int) {
			for n := -1; n != 0 && !last && !full && used < len(b); used += n {
				n, last, full = c.command(ctx, b[used:])
			}
			return used
		})
		next = c.reader.Next
		c.mu.Lock()
		if part := c.reader.Unread() > 0 && !full; part != c.part {
			c.part, c.since = part, time.Now()
		}
		if c.arm(); errors.Is(err, os.ErrDeadlineExceeded) && c.out == 0 && c.asked && !c.part && !looked {
			// One more look: a command that has come by now is not to be lost.
			looked, err = true, nil
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
		}
		c.mu.Unlock()
		switch {
		case last || errors.Is(err, os.ErrDeadlineExceeded):
			return true, last
		case err != nil:
			return false, false
		case full:
			select { // whoever sends much ahead waits for answers of its own
			case <-c.freed:
			case <-ctx.Done():
				return false, false
			}
			next = c.reader.Again
		}
	}
}

// command takes the command at the start of b, if it is whole. last tells that nothing more is read, full
// that the command must wait until another one is answered.
func (c *conn) command(ctx context.Context, b []byte) (used int, last, full bool) {
	if c.full(readAhead) {
		return 0, false, true
	}
	cmd, n, err := meta.ParseCommand(b)
	switch {
	case err != nil:
		c.fault(err.Error())
		return n, meta.Fatal(err) || c.faults >= mostFaults, false
	case n == 0:
		return 0, false, false
	}
	switch cmd.Verb {
	case meta.Noop:
		c.put(slot{line: "MN\r\n"})
	case meta.Version:
		c.put(slot{line: "VERSION hoptiller\r\n"})
	case meta.Quit:
		return n, true, false
	case meta.Unknown:
		c.fault("ERROR")
	default:
		if c.front.crowded() && c.full(1) {
			return 0, false, true
		}
		c.invoke(ctx, &cmd)
	}
	return n, c.faults >= mostFaults, false
}

// crowded tells that a connection may have only one more invocation open, so that those which send
// hundreds ahead take no places of those which wait for their answers.
func (f *Front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) >= f.MostOpen
}

func (c *conn) full(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out >= most
}

// fault answers what makes no sense. A client that goes on with it is ended.
func (c *conn) fault(line string) {
	c.faults++
	c.put(slot{line: line + "\r\n"})
}

func (c *conn) put(s slot) {
	c.mu.Lock()
	c.out++
	c.asked = true
	c.mu.Unlock()
	c.slots <- s // has room: see command
}

// invoke starts an invocation.
func (c *conn) invoke(ctx context.Context, cmd *meta.Command) {
	inv := &relay.Invocation{Write: cmd.Verb == meta.Set, Client: c.client}
	if fault := c.front.facts(inv, cmd.Facts); fault != "" {
		c.fault("CLIENT_ERROR " + fault)
		return
	}
	id := string(cmd.ID)
	if !c.front.begin(id) {
		c.fault("CLIENT_ERROR request id is in use")
		return
	}
	// The command must outlive the buffer that it was read into, at its own size: most are short.
	b := make([]byte, 0, len(cmd.Key)+len(cmd.ID)+len(cmd.Facts)+len(cmd.Value))
	keep := func(s []byte) []byte {
		from := len(b)
		b = append(b, s...)
		return b[from:len(b):len(b)]
	}
	inv.Key, inv.ID, inv.Facts, inv.Value = keep(cmd.Key), keep(cmd.ID), keep(cmd.Facts), keep(cmd.Value)
	s := slot{id: id, write: inv.Write, answer: make(chan relay.Answer, 1)}
	go func() { s.answer <- c.front.Server.Serve(ctx, inv) }()
	c.put(s)
}

// begin takes an id. The answers of two invocations with one id could not be told apart, at a provider
// either, whoever sent them.
func (f *Front) begin(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] {
		return false
	}
	f.open[id] = true
	return true
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
		draining := c.front.isDraining()
		c.mu.Lock()
		if c.out--; c.out == 0 {
			if draining && !c.end {
				c.end, c.restBy = true, time.Now().Add(closeTimeout)
			}
			if !c.part {
				c.since = time.Now()
			}
			c.arm()
		}
		c.mu.Unlock()
		select {
		case c.freed <- struct{}{}:
		default:
		}
	}
}

func (c *conn) writeAnswer(s *slot, broken bool) bool {
	if s.answer == nil {
		return !broken && c.write([]byte(s.line))
	}
	a := <-s.answer
	c.front.mu.Lock()
	delete(c.front.open, s.id)
	c.front.mu.Unlock()
	if broken {
		return false
	}
	var b []byte
	switch {
	case a.Kind == hoptiller.StepServed && s.write:
		b = meta.AppendStored(b, s.id, a.Data)
	case a.Kind == hoptiller.StepServed:
		return c.write(meta.AppendValueHead(b, s.id, len(a.Data)), a.Data, []byte("\r\n"))
	case a.Kind == hoptiller.StepReject:
		b = meta.AppendBusy(b, a.RetryAfter.Milliseconds())
	default:
		b = meta.AppendFailed(b)
	}
	return c.write(b)
}

func (c *conn) write(parts ...[]byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	b := net.Buffers(parts)
	_, err := b.WriteTo(c.Conn)
	return err == nil
}
