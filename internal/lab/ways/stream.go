package ways

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Streams is what goes wrong on a TCP way. The zero value is a good way.
type Streams struct {
	Stall  bool          // nothing passes in either direction, and nobody is told; connections still come up
	Refuse bool          // those that are open are reset, and new ones are as soon as they come
	Cut    int           // bytes after which each connection is reset, counted both ways from now on; 0: none is
	Delay  time.Duration // of each piece
	Rate   int           // bytes a second in each direction; 0: no bound
}

// piece is how much is passed on at once.
const piece = 4 << 10

// Way relays the TCP connections to one address.
type Way struct {
	l      net.Listener
	target string
	done   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	faults  Streams
	changed chan struct{} // closed with the next change
	passed  int64
	open    map[*pair]bool
}

// pair is one connection, on both sides.
type pair struct {
	near, far net.Conn
	left      int // bytes until it is cut; of a way that cuts none nobody looks
}

// NewWay opens a relay on a free port of a loopback address, for connections to another one.
func NewWay(host, target string) (*Way, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil || !to.Addr().IsLoopback() {
		return nil, errors.New(target + " is no loopback address")
	}
	if from, err := netip.ParseAddr(host); err != nil || !from.IsLoopback() {
		return nil, errors.New(host + " is no loopback address")
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &Way{l: l, target: target, changed: make(chan struct{}), open: map[*pair]bool{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.done.Go(w.accept)
	return w, nil
}

// Addr is where the way begins.
func (w *Way) Addr() string { return w.l.Addr().String() }

// Set says what goes wrong from now on.
func (w *Way) Set(f Streams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	close(w.changed)
	w.changed = make(chan struct{})
	for p := range w.open {
		if p.left = f.Cut; f.Refuse {
			p.reset()
		}
	}
}

// Passed tells how many bytes have passed, both ways, and how many connections are open.
func (w *Way) Passed() (bytes int64, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.passed, len(w.open)
}

func (w *Way) accept() {
	for {
		near, err := w.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.done.Go(func() { w.carry(near) })
	}
}

// carry relays one connection until either side ends.
func (w *Way) carry(near net.Conn) {
	w.mu.Lock()
	refuse := w.faults.Refuse || w.ctx.Err() != nil
	w.mu.Unlock()
	if refuse {
		(&pair{near: near}).reset()
		return
	}
	far, err := (&net.Dialer{}).DialContext(w.ctx, "tcp", w.target)
	if err != nil { // nobody is there: so it is for whoever came
		(&pair{near: near}).reset()
		return
	}
	p := &pair{near: near, far: far}
	w.mu.Lock()
	p.left = w.faults.Cut
	if w.open[p] = true; w.faults.Refuse || w.ctx.Err() != nil { // since it was looked at
		p.reset()
	}
	w.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { w.copy(p, far, near) })
	both.Go(func() { w.copy(p, near, far) })
	both.Wait()
	near.Close()
	far.Close()
	w.mu.Lock()
	delete(w.open, p)
	w.mu.Unlock()
}

// copy passes on what comes from one side until that ends, and tells the other side so.
func (w *Way) copy(p *pair, to, from net.Conn) {
	b := make([]byte, piece)
	for {
		n, err := from.Read(b)
		if n > 0 && !w.pass(p, to, b[:n]) {
			return
		}
		if err != nil {
			if w.wait(0); errors.Is(err, net.ErrClosed) {
				return
			}
			if half, ok := to.(*net.TCPConn); ok {
				half.CloseWrite()
			}
			return
		}
	}
}

// pass passes a piece on as the way lets it, and tells whether the connection goes on.
func (w *Way) pass(p *pair, to net.Conn, b []byte) bool {
	f := w.wait(len(b))
	w.mu.Lock()
	cut := f.Cut > 0 && p.left <= len(b)
	if cut {
		b = b[:max(p.left, 0)]
	}
	p.left -= len(b)
	w.passed += int64(len(b))
	w.mu.Unlock()
	if _, err := to.Write(b); err != nil {
		return false
	}
	if cut {
		p.reset()
	}
	return !cut
}

// wait waits for as long as a piece takes, and while the way is stalled.
func (w *Way) wait(n int) Streams {
	slept := false
	for {
		w.mu.Lock()
		f, changed := w.faults, w.changed
		w.mu.Unlock()
		if !f.Stall || w.ctx.Err() != nil {
			took := f.Delay
			if f.Rate > 0 {
				took += time.Duration(float64(n) / float64(f.Rate) * float64(time.Second))
			}
			if took <= 0 || slept || w.ctx.Err() != nil {
				return f
			}
			slept = true
			timer := time.NewTimer(took)
			select {
			case <-timer.C:
			case <-w.ctx.Done():
			}
			timer.Stop()
			continue // it may have been stalled meanwhile
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
		}
	}
}

// reset ends both sides as the end of a process does.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// Close ends the way and all that is open on it.
func (w *Way) Close() {
	w.cancel()
	w.l.Close()
	w.mu.Lock()
	for p := range w.open {
		p.reset()
	}
	w.mu.Unlock()
	w.done.Wait()
}
