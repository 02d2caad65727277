// Package front accepts client connections, reads requests from them and writes the answers.
// It is the only package that implements the client protocol, the meta commands of the
// memcache text protocol.
package front

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hoptiller"
	"hoptiller/internal/lifecycle"
	"hoptiller/internal/metrics"
	"hoptiller/internal/relay"
	"hoptiller/internal/requestid"
	"hoptiller/internal/valuemem"
)

// Server serves a request and returns its final answer, as *relay.Relay does.
type Server interface {
	Serve(ctx context.Context, req *relay.Request) relay.Answer
}

// Front serves the clients of a router. They may connect to several listeners.
type Front struct {
	Classes         []string           // names of the classes, by index
	AnyClass        bool               // every request belongs to the first class, whatever class it names
	Tenants         []string           // names of the tenants, by index; if empty, all clients are one tenant
	Deadlines       []time.Duration    // deadline of a request that states none, by class
	Effects         []hoptiller.Effect // what a repetition of a request can do, by class; nil: no harm
	UsedIDs         *requestid.Table   // ids of requests that must not run twice; nil if there are none
	Aims            []time.Duration    // target latency, after which an answer counts as late, by class; 0 or a nil slice: never
	RetryAfter      []time.Duration    // after which the client of a request that is rejected here may retry, by class; nil: not stated
	MaxConns        int                // client connections at the same time
	MaxUsedConns    int                // connections that sent a command; surplus idle ones end as others connect; 0: no limit
	MaxStartedConns int                // connections that have sent at least a part of a command; 0: no limit
	MaxOpenRequests int                // open requests at which a connection may have only one command open
	ReadAheadWait   time.Duration      // without an answer, until commands that find no place among those that wait are refused
	AcceptDuration  time.Duration      // after a stop: for how long connections are still accepted
	ServeDuration   time.Duration      // after a stop: for how long open connections are served at most
	CommandGrace    time.Duration      // after ServeDuration: for how long the rest of a command may arrive
	FailOpenAfter   time.Duration      // after a stop: when all requests still open are answered as failed; 0: never
	AnswerMemory    int64              // bytes of answers that wait to be written, from which on reads are refused; 0: no limit
	ValueMemory     *valuemem.Budget   // memory for long values, at least the size of the longest value
	Lifecycle       *lifecycle.State   // the router's lifecycle, e.g. serving, draining or stopping
	Counts          *metrics.Counters
	Server          Server            // serves the requests
	OnClosed        func(CloseReason) // called with the reason when a client connection ends; may be nil

	accepting atomic.Bool
	// endGrace is a duration in nanoseconds. If it is not 0, connections end once no command is open on them, and the rest of
	// a partial command has this long to arrive.
	endGrace atomic.Int64

	conns          connTable
	answerMemory   answerMemory
	readAheadBytes atomic.Int64 // bytes that are read from clients but wait for earlier commands

	// openFailed is the context that is done once a shutdown answers all open requests as failed. failOpen cancels it.
	openFailed context.Context
	failOpen   context.CancelFunc

	connEnded chan struct{} // receives a value after a connection has ended

	mu      sync.Mutex
	openIDs map[string]bool // the ids of the open requests
}

// Ready reports whether the router accepts clients and is to serve new ones.
func (f *Front) Ready() bool { return f.accepting.Load() && f.Lifecycle.Phase() == lifecycle.Serving }

// Serve accepts and serves clients until Lifecycle stops. After the stop it accepts connections for AcceptDuration more and
// serves the open connections for ServeDuration at most, both counted from the stop. Then it finishes the open requests and
// returns. When ctx is done, it drops all connections.
func (f *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	f.connEnded = make(chan struct{}, 1)
	f.openFailed, f.failOpen = context.WithCancel(context.Background())
	defer f.failOpen()
	f.answerMemory.limit = f.AnswerMemory
	f.mu.Lock()
	f.openIDs = map[string]bool{}
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	slots := make(chan struct{}, max(1, f.MaxConns))
	stop := make(chan struct{})
	var accepting sync.WaitGroup
	for _, l := range listeners {
		accepting.Go(func() { f.accept(ctx, g, l, slots, stop) })
	}
	f.accepting.Store(true)
	f.followLifecycle(ctx)
	stopped := time.Now()
	if f.FailOpenAfter > 0 {
		defer time.AfterFunc(f.FailOpenAfter, f.failOpenRequests).Stop()
	}
	f.waitUntil(ctx, stopped.Add(f.AcceptDuration), false) // the layer in front still sends clients until it notices the stop
	close(stop)
	for _, l := range listeners {
		stopAccepting(l)
	}
	accepting.Wait()
	// Clients use their connections for as long as they can, since another router may be down at this time.
	f.waitUntil(ctx, stopped.Add(f.ServeDuration), true)
	f.endIdleConns(max(f.CommandGrace, 1))
	err := g.Wait()
	slog.Info("clients served", "after", time.Since(stopped).Round(time.Millisecond))
	return err
}

// hasFailedOpenRequests reports whether all open requests have been answered as failed. New requests are then answered the
// same way at once.
func (f *Front) hasFailedOpenRequests() bool { return f.openFailed.Err() != nil }

// failOpenRequests answers all open requests as failed, since the process is about to be killed.
func (f *Front) failOpenRequests() {
	f.mu.Lock()
	openCount := len(f.openIDs)
	f.mu.Unlock()
	slog.Info("answering what is open as failed", "open", openCount)
	f.failOpen()
}

// followLifecycle ends client connections while the router drains. It returns when the router stops.
func (f *Front) followLifecycle(ctx context.Context) {
	for {
		phase, changed := f.Lifecycle.Watch()
		var due <-chan time.Time
		switch {
		case phase.IsEnding():
			return
		case phase == lifecycle.Serving:
			f.endGrace.Store(0)
		case f.endGrace.Load() == 0:
			due = time.After(drainNoticeTime) // until then clients disconnect by themselves
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			f.endIdleConns(maxCommandTime)
		case <-changed:
		}
	}
}

// waitUntil waits until a time or until ctx is done. With untilNoClients it returns earlier if no client is connected.
func (f *Front) waitUntil(ctx context.Context, until time.Time, untilNoClients bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		if untilNoClients && len(f.conns.all()) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.connEnded:
		}
	}
}

// endIdleConns ends the connections without an open command, and from now on each other connection once its answers are
// written. Commands that have arrived in part, and first commands that may be on their way, have the time grace to arrive
// completely.
func (f *Front) endIdleConns(grace time.Duration) {
	f.endGrace.Store(int64(grace))
	for _, c := range f.conns.all() {
		c.endIfIdle(grace, CloseDrained)
	}
}

// grace returns how long a partial command may take to arrive if connections end once no command is open on them, and 0 if
// they do not end. A router that was activated again serves from that moment on, even if followLifecycle has not been
// notified yet.
func (f *Front) grace() time.Duration {
	grace := f.endGrace.Load()
	if grace > 0 && f.Lifecycle.Phase() == lifecycle.Serving {
		return 0
	}
	return time.Duration(grace)
}

// hasMaxOpen reports whether MaxOpenRequests requests are open. A connection may then have only one command open, so that clients
// that send hundreds of commands at once don't crowd out clients that wait for each answer.
func (f *Front) hasMaxOpen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.openIDs) >= f.MaxOpenRequests
}
