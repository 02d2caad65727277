// Package front is where clients connect. It alone knows their protocol, the
// meta commands of the memcache text protocol.
package front

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"hoptiller/internal/lifecycle"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
)

// Server carries a request to its final answer, as *relay.Relay does.
type Server interface {
	Serve(ctx context.Context, req *relay.Request) relay.Answer
}

// Front serves the clients of a router, who may come by several listeners.
type Front struct {
	Classes   []string            // names, by number
	AnyClass  bool                // whatever class a request names, it is of the first
	Tenants   []string            // names, by number; none: all clients are one customer
	Deadlines []time.Duration     // for a request that states none, by class
	Aims      []time.Duration     // after which an answer counts as late, by class; 0 or none: never
	MostConns int                 // client connections at once
	MostKept  int                 // of those that have asked, beyond which idle ones are ended as others come; 0: no limit
	MostHeld  int                 // of those that have asked or begun to; 0: no limit
	MostOpen  int                 // requests at once beyond the first of each connection
	Linger    time.Duration       // for which connections are still accepted after a stop
	Keep      time.Duration       // for which those that are open are served after it, while there are any
	Rest      time.Duration       // which commands that have begun have after that to come whole
	Last      time.Duration       // after a stop, when whatever is still open is answered as failed; 0: it has its time
	Room      *semaphore.Weighted // bytes of long values that are held at once, of the longest at least
	Life      *lifecycle.State
	Counts    *metrics.Counters
	Server    Server
	Closed    func(CloseReason) // told why each client connection ended; nil: nobody is

	accepting atomic.Bool
	closing   atomic.Int64 // if set, connections end once nothing is out on them, and what has begun has so long to come

	conns connTable
	ahead atomic.Int64 // bytes of clients that wait behind their commands

	// answered ends when a shutdown answers all that is open, and answerOpen ends it.
	answered   context.Context
	answerOpen context.CancelFunc

	left chan struct{} // told when a connection has ended

	mu   sync.Mutex
	open map[string]bool // the ids of requests that are not answered
}

// Ready tells whether new clients are taken and wanted.
func (f *Front) Ready() bool { return f.accepting.Load() && f.Life.Phase() == lifecycle.Serving }

// Serve accepts clients and follows the router's life: once that stops it accepts for Linger, serves those it
// has until Keep is over, finishes what was taken and returns. When ctx ends, it drops everything.
func (f *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	f.left = make(chan struct{}, 1)
	f.answered, f.answerOpen = context.WithCancel(context.Background())
	defer f.answerOpen()
	f.mu.Lock()
	f.open = map[string]bool{}
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	places := make(chan struct{}, max(1, f.MostConns))
	stop := make(chan struct{})
	var accepting sync.WaitGroup
	for _, l := range listeners {
		accepting.Go(func() { f.accept(ctx, g, l, places, stop) })
	}
	f.accepting.Store(true)
	f.follow(ctx)
	stopped := time.Now()
	if f.Last > 0 {
		defer time.AfterFunc(f.Last, f.answerAll).Stop()
	}
	f.wait(ctx, stopped.Add(f.Linger), false) // clients still come until the front layer has noticed
	close(stop)
	for _, l := range listeners {
		stopAccepting(l)
	}
	accepting.Wait()
	// Clients use the connections that they have for as long as they can; another router may be down just now.
	f.wait(ctx, stopped.Add(f.Keep), true)
	f.endIdle(max(f.Rest, 1))
	err := g.Wait()
	slog.Info("clients served", "after", time.Since(stopped).Round(time.Millisecond))
	return err
}

// over tells whether all that is open has been answered, and whatever comes now is answered at once.
func (f *Front) over() bool { return f.answered.Err() != nil }

// answerAll has all open requests answered, since the process is about to be killed.
func (f *Front) answerAll() {
	f.mu.Lock()
	open := len(f.open)
	f.mu.Unlock()
	slog.Info("answering what is open as failed", "open", open)
	f.answerOpen()
}

// follow sends clients away while the router is drained, until it stops.
func (f *Front) follow(ctx context.Context) {
	for {
		phase, changed := f.Life.Watch()
		var due <-chan time.Time
		switch {
		case phase.Stops():
			return
		case phase == lifecycle.Serving:
			f.closing.Store(0)
		case f.closing.Load() == 0:
			due = time.After(noticeTime) // until then they leave by themselves
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			f.endIdle(headTime)
		case <-changed:
		}
	}
}

// wait waits until a time, or if it may until no client is left.
func (f *Front) wait(ctx context.Context, until time.Time, orNone bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		if orNone && len(f.conns.all()) == 0 {
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

// endIdle closes the connections that are idle, and from now on each when its answers are out. Commands that have
// begun, or may be on their way on a connection that had none yet, have a while to come whole.
func (f *Front) endIdle(rest time.Duration) {
	f.closing.Store(int64(rest))
	for _, c := range f.conns.all() {
		c.endIfIdle(rest, CloseDrained)
	}
}

// rest is how long what has begun has to come whole if connections end once nothing is out on them, and 0 if they
// don't. A router that was called back serves from that moment on, however late follow hears of it.
func (f *Front) rest() time.Duration {
	rest := f.closing.Load()
	if rest > 0 && f.Life.Phase() == lifecycle.Serving {
		return 0
	}
	return time.Duration(rest)
}

// crowded tells that a connection may have only one more request open, so that those which send
// hundreds ahead take no places of those which wait for their answers.
func (f *Front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) >= f.MostOpen
}

// begin takes an id. The answers of two requests with one id could not be told apart, at a server
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

// ended gives an id back.
func (f *Front) ended(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}
