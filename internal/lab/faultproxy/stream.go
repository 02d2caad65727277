package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"hoptiller/internal/lab/arrival"
)

// StreamFaults are the faults of a TCP proxy. The zero value is a network without faults.
type StreamFaults struct {
	Stall          bool          // nothing passes in either direction, without a sign; connections still come up
	Reset          bool          // open connections are reset, and new ones as soon as they come
	ResetAfter     int           // bytes in both directions, from now on, after which a connection is reset; 0: never
	Delay          time.Duration // of each chunk
	BytesPerSecond int           // in each direction; 0: unlimited
}

// DelaysForwarding reports whether the faults delay what is forwarded.
func (f StreamFaults) DelaysForwarding() bool {
	return f.Stall || f.Delay > 0 || f.BytesPerSecond > 0
}

// HasFaults reports whether there are faults.
func (f StreamFaults) HasFaults() bool { return f != StreamFaults{} }

// chunkSize is the largest number of bytes that are forwarded at once.
const chunkSize = 4 << 10

// StreamProxy forwards the TCP connections to one address.
type StreamProxy struct {
	listener    net.Listener
	target      string
	connections sync.WaitGroup
	ctx         context.Context // ends with Close
	cancel      context.CancelFunc

	mu        sync.Mutex
	faults    StreamFaults
	changed   chan struct{} // closed when the faults change
	forwarded int64
	open      map[*connection]bool
}

// connection is one forwarded connection with its two sides.
type connection struct {
	client *arrival.Log
	server net.Conn
	budget int // bytes left until it is reset, if the faults have ResetAfter
}

// NewStreamProxy opens a proxy for target on a free port of host. Both must be loopback addresses.
func NewStreamProxy(host, target string) (*StreamProxy, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil || !to.Addr().IsLoopback() {
		return nil, fmt.Errorf("%s is no loopback address", target)
	}
	if from, err := netip.ParseAddr(host); err != nil || !from.IsLoopback() {
		return nil, fmt.Errorf("%s is no loopback address", host)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	arrival.EnableTimestamps(listener)
	p := &StreamProxy{listener: listener, target: target, changed: make(chan struct{}), open: map[*connection]bool{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.connections.Go(p.accept)
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *StreamProxy) Addr() string { return p.listener.Addr().String() }

// SetFaults sets the faults, from now on.
func (p *StreamProxy) SetFaults(faults StreamFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.open {
		c.budget = faults.ResetAfter
		if faults.Reset {
			c.reset()
		}
	}
}

// Forwarded returns the bytes that have passed, in both directions together, and the number of open
// connections.
func (p *StreamProxy) Forwarded() (bytes int64, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarded, len(p.open)
}

// Arrivals returns the log of when a client's bytes arrived, for the connection whose server side goes from one address to
// another. It returns nil if there is no such connection.
func (p *StreamProxy) Arrivals(from, to string) *arrival.Log {
	if p.target != to { // the same port may lead to several targets
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if c.server.LocalAddr().String() == from {
			return c.client
		}
	}
	return nil
}

func (p *StreamProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.connections.Go(func() { p.serve(client) })
	}
}

// serve forwards one connection until either side ends.
func (p *StreamProxy) serve(client net.Conn) {
	c := &connection{client: arrival.NewLog(client)}
	p.mu.Lock()
	resetNow := p.resetsAll()
	p.mu.Unlock()
	if resetNow {
		c.reset()
		return
	}
	server, err := (&net.Dialer{}).DialContext(p.ctx, "tcp", p.target)
	if err != nil { // nobody listens at the target, so the client gets a reset
		c.reset()
		return
	}
	c.server = server
	p.mu.Lock()
	c.budget = p.faults.ResetAfter
	p.open[c] = true
	if p.resetsAll() { // the faults may have changed since the check above
		c.reset()
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(c, c.server, c.client) })
	directions.Go(func() { p.copy(c, c.client.Conn, c.server) })
	directions.Wait()
	c.client.MarkClosing()
	c.client.Close()
	c.server.Close()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// resetsAll reports whether no connection may stay open. p.mu is held.
func (p *StreamProxy) resetsAll() bool { return p.faults.Reset || p.ctx.Err() != nil }

// copy forwards one direction of a connection until its source ends, and closes the other side's
// direction then.
func (p *StreamProxy) copy(c *connection, to net.Conn, from io.Reader) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(c, to, buffer[:n]) {
			return
		}
		if err == nil {
			continue
		}
		p.wait(0) // a stall holds back the end of a stream as well
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if tcp, ok := to.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		return
	}
}

// forward sends a chunk on as the faults allow, and reports whether the connection is still open.
func (p *StreamProxy) forward(c *connection, to net.Conn, chunk []byte) bool {
	faults := p.wait(len(chunk))
	p.mu.Lock()
	resets := faults.ResetAfter > 0 && c.budget <= len(chunk)
	if resets {
		chunk = chunk[:max(c.budget, 0)]
	}
	c.budget -= len(chunk)
	p.forwarded += int64(len(chunk))
	p.mu.Unlock()
	if _, err := to.Write(chunk); err != nil {
		return false
	}
	if resets {
		c.reset()
	}
	return !resets
}

// wait waits for as long as a chunk of n bytes is delayed, and for as long as the proxy is stalled.
// It returns the faults that are set then.
func (p *StreamProxy) wait(n int) StreamFaults {
	delayed := false
	for {
		p.mu.Lock()
		faults, changed := p.faults, p.changed
		p.mu.Unlock()
		if p.ctx.Err() != nil {
			return faults
		}
		if faults.Stall {
			select {
			case <-changed:
			case <-p.ctx.Done():
			}
			continue
		}
		delay := faults.delayOf(n)
		if delay <= 0 || delayed {
			return faults
		}
		p.sleep(delay)
		delayed = true // the proxy may have been stalled meanwhile
	}
}

// delayOf returns how long a chunk of n bytes is delayed.
func (f StreamFaults) delayOf(n int) time.Duration {
	delay := f.Delay
	if f.BytesPerSecond > 0 {
		delay += time.Duration(float64(n) / float64(f.BytesPerSecond) * float64(time.Second))
	}
	return delay
}

// sleep waits for a time, or until the proxy is closed.
func (p *StreamProxy) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// reset ends both sides with a TCP reset, as when a process is killed.
func (c *connection) reset() {
	c.client.MarkClosing()
	for _, side := range []net.Conn{c.client.Conn, c.server} {
		if tcp, ok := side.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// Close ends the proxy and resets all open connections.
func (p *StreamProxy) Close() {
	p.cancel()
	p.listener.Close()
	p.mu.Lock()
	for c := range p.open {
		c.reset()
	}
	p.mu.Unlock()
	p.connections.Wait()
}
