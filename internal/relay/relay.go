// Package relay carries requests from the client-facing front end to cache servers and the origin, and returns their
// answers. The hoptiller.Facade decides which attempts are made; an Upstream carries out each attempt. The package
// knows neither the clients' protocol nor the servers'.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"hoptiller"
	"hoptiller/internal/buffer"
)

// Request is one client request.
type Request struct {
	Key       []byte           // the cache key
	ID        []byte           // the request ID that the client chose
	Facts     []byte           // name=value pairs that the client sent with the request
	Value     []byte           // the value to write; empty for a read or a long value
	LongValue *buffer.Chain    // the value to write if it is long; must not be used once the final answer is known
	Write     bool             // a write rather than a read
	Class     int              // index of the request's class in the settings
	Effect    hoptiller.Effect // what a repetition of the request can do; set by the Relay
	Tenant    int              // number of the tenant; -1 if unknown
	Retry     bool             // the client marked the request as its own retry
	Arrived   time.Time        // when the last byte of the request arrived
	Timeout   time.Duration    // how long the client waits for the answer, counted from Arrived

	ClientAddr   netip.Addr            // the client's address; invalid if unknown
	Disconnected func() bool           // checks whether the client has disconnected, even if not noticed yet; nil: unknown
	Constraints  hoptiller.Constraints // what an operator forbids for the request; nil: nothing
}

// Deadline returns the time at which the client stops waiting.
func (req *Request) Deadline() time.Time { return req.Arrived.Add(req.Timeout) }

// ClientDisconnected checks whether the client has disconnected. The request's context reports that later, because
// the disconnect must be noticed first.
func (req *Request) ClientDisconnected() bool { return req.Disconnected != nil && req.Disconnected() }

// routerRequest returns the request in the form that the decision module takes.
func (req *Request) routerRequest(id uint32, now time.Time) hoptiller.Request {
	return hoptiller.Request{
		ID: id, Class: req.Class, Tenant: req.Tenant, Key: keyNumber(req.Key), Write: req.Write, IsRetry: req.Retry,
		Remaining: max(0, req.Deadline().Sub(now)), Constraints: req.Constraints,
	}
}

// ValueLen returns the length in bytes of the value to write.
func (req *Request) ValueLen() int {
	if req.LongValue != nil {
		return req.LongValue.Len()
	}
	return len(req.Value)
}

// Result is the outcome of one attempt.
type Result struct {
	Status hoptiller.Status
	Data   []byte // the value of a read or the receipt of a write
	Body   Body   // the value of a read, if it is long
	// If Abort is set, the attempt is still in flight until Abort has returned true. Abort returns false and does
	// nothing if it would cut off another request's long value.
	Abort func() (aborted bool)
}

// Body is a long value that is still arriving. Its receiver must either copy or close it.
type Body interface {
	// Len returns the announced length of the value in bytes.
	Len() int
	// HoldsMemory reports whether the complete value is held in memory until it is copied or closed.
	HoldsMemory() bool
	// Copy passes the value to write in pieces, reading no faster than write accepts them. If it returns an error,
	// the value is incomplete.
	Copy(write func(piece []byte) error) error
	// Close abandons the rest of the value. It may be called while Copy runs, and more than once.
	Close()
}

// Answer is the final answer to a request.
type Answer struct {
	Kind       hoptiller.StepKind // any kind except StepCall
	Data       []byte
	Body       Body          // used instead of Data if the value is long
	RetryAfter time.Duration // StepReject: when the client may retry
	MayHaveRun bool          // the request was sent to a server that may have run it
}

// Upstream makes attempts at one kind of server.
type Upstream interface {
	// Call makes one attempt and returns when the attempt has ended or ctx is done. ctx must not outlast the client's
	// deadline. sendCtx is done no later than ctx. The request is written completely before sendCtx is done, or
	// nothing is sent.
	Call(sendCtx, ctx context.Context, server uint32, req *Request) Result
	// Update records what is known now about a server. moved reports that the server has restarted or has another
	// address, so that connections to the old process are useless.
	Update(s Server, moved bool)
	// Forget drops everything that is known about a server and reports whether it did. It does not while there are
	// connections to the server.
	Forget(server uint32) bool
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server uint32)
}

// Server is one entry of the server list.
type Server struct {
	hoptiller.Server
	Name          string
	Addr          string
	Origin        bool
	EarliestStart time.Time // when its process can have started at the earliest, by the local monotonic clock; set by the Relay
}

// Discovery takes the Relay's requests to service discovery. Its methods return at once.
type Discovery interface {
	Watch(on bool) // starts or ends the subscription to changes of the list
	List()         // requests the complete list
}

// Relay carries the requests of one router.
type Relay struct {
	// AttemptEnded is called with the status of each attempt that has ended. It may be nil, and must be set before
	// the first request.
	AttemptEnded func(hoptiller.Status)

	facade   *hoptiller.Facade
	settings hoptiller.Settings
	caches   Upstream
	origins  Upstream
	created  time.Time
	wake     chan struct{} // signals Run to call Tick of the decision module

	mu          sync.RWMutex
	servers     map[uint32]Server
	listUpdated time.Duration // when the list was received or changed last, in the time of now(); 0: never

	activeMu sync.Mutex
	active   map[uint32]*activeRequest
}

// activeRequest is a request that is being served.
type activeRequest struct {
	cancelledBelow int                // attempts with a lower number are cancelled
	cancel         context.CancelFunc // cancels the newest attempt; nil before the first
}

// New returns a Relay whose decisions follow the given settings.
func New(settings hoptiller.Settings, seed uint64, caches, origins Upstream) *Relay {
	r := &Relay{
		settings: settings, caches: caches, origins: origins, created: time.Now(), wake: make(chan struct{}, 1),
		servers: map[uint32]Server{}, active: map[uint32]*activeRequest{},
	}
	r.facade = hoptiller.NewFacade(r.now(), settings, seed, func() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
	return r
}

// now returns the time since 1970, so that it can be compared with the start times that discovery lists. Unlike the
// wall clock it never goes back.
func (r *Relay) now() time.Duration {
	return time.Duration(r.created.UnixNano()) + time.Since(r.created)
}

// CacheCounts returns how many cache servers are listed, and how many of them the decision module avoids now.
func (r *Relay) CacheCounts() (listed, avoided int) { return r.facade.CacheCounts() }

// Caches returns the listed cache servers as this router sees them.
func (r *Relay) Caches() []hoptiller.CacheState { return r.facade.Caches() }

// Observe passes on that some router observed a cache server to be down or up before the list reported it.
func (r *Relay) Observe(observation hoptiller.Observation) { r.facade.Observe(r.now(), observation) }

// Run carries out the orders of the decision module that belong to no single request, until ctx is done.
func (r *Relay) Run(ctx context.Context, discovery Discovery) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
			if delay := time.Since(due); delay > pauseThreshold {
				slog.Warn("held up", "by", delay.Round(time.Millisecond))
			}
		}
		orders := r.facade.Tick(r.now())
		for _, attempt := range orders.Cancelled {
			r.cancelAttempt(attempt)
		}
		r.closeIdle(orders.CloseIdle)
		if orders.Watch || orders.Unwatch {
			discovery.Watch(orders.Watch)
		}
		if orders.FetchList {
			discovery.List()
		}
		for _, text := range orders.Logs {
			slog.Info("module", "said", text)
		}
		if orders.NextTick > 0 {
			wait := max(0, orders.NextTick-r.now())
			due = time.Now().Add(wait)
			timer.Reset(wait)
		}
	}
}

// cancelAttempt cancels an attempt of an active request, also an attempt that has not begun yet.
func (r *Relay) cancelAttempt(id hoptiller.AttemptID) {
	r.activeMu.Lock()
	defer r.activeMu.Unlock()
	if entry := r.active[id.Request]; entry != nil {
		entry.cancelledBelow = max(entry.cancelledBelow, id.Attempt+1)
		if entry.cancel != nil {
			entry.cancel()
		}
	}
}

// Serve carries one request to its final answer. When ctx is done, the client has disconnected and the answer no
// longer matters. Serve returns once no attempt of the request is in flight.
func (r *Relay) Serve(ctx context.Context, req *Request) Answer {
	req.Effect = r.settings.EffectOf(req.Class)
	id := r.facade.ReserveID()
	active := &activeRequest{}
	r.activeMu.Lock()
	r.active[id] = active
	r.activeMu.Unlock()
	defer func() {
		r.activeMu.Lock()
		delete(r.active, id)
		r.activeMu.Unlock()
	}()

	step := r.facade.Pick(r.now(), req.routerRequest(id, time.Now()))
	defer context.AfterFunc(ctx, func() { r.facade.ClientDisconnected(r.now(), id) })()
	trace := &requestTrace{started: time.Now()}
	for {
		r.closeIdle(step.CloseIdle)
		if step.Kind != hoptiller.StepCall {
			trace.logUnserved(req, step.Kind)
			return Answer{Kind: step.Kind, RetryAfter: step.RetryAfter, MayHaveRun: trace.mayHaveRun()}
		}
		sent := r.now()
		result := r.makeAttempt(ctx, active, req, step)
		now := r.now()
		// Whatever the result is, no other attempt follows.
		if ctx.Err() != nil || result.Status == hoptiller.NotSent && req.ClientDisconnected() {
			r.facade.ClientDisconnected(now, id)
		}
		trace.addAttempt(req, step.Server, result.Status, now-sent)
		if r.AttemptEnded != nil {
			r.AttemptEnded(result.Status)
		}
		attempt := hoptiller.AttemptID{Request: id, Attempt: step.Attempt}
		step = r.facade.Report(now, attempt, step.Server, result.Status, now-sent)
		if step.Kind == hoptiller.StepServed {
			r.closeIdle(step.CloseIdle)
			trace.logRetried(req)
			return Answer{Kind: step.Kind, Data: result.Data, Body: result.Body, MayHaveRun: true}
		}
		if result.Body != nil {
			result.Body.Close()
		}
		if step.Kind == hoptiller.StepCall && result.Abort != nil && !result.Abort() {
			// A request has at most one attempt in flight. The previous attempt could not be aborted, so the next one
			// is not made.
			attempt.Attempt = step.Attempt
			r.facade.ClientDisconnected(r.now(), id)
			r.facade.Report(r.now(), attempt, step.Server, hoptiller.NotSent, 0)
			trace.logUnserved(req, hoptiller.StepFail)
			return Answer{Kind: hoptiller.StepFail, MayHaveRun: true}
		}
	}
}

// pauseThreshold is the delay of a timer from which a warning is logged. Such a delay means that the process or the
// machine was paused.
const pauseThreshold = 100 * time.Millisecond

// errRetryWindow is the cause with which the sendCtx of a retry ends if the time in which the retry may be sent ends
// before the attempt's timeout.
var errRetryWindow = errors.New("the retry window is over")

// makeAttempt makes one attempt, unless the attempt was cancelled before it began. The attempt begins only while the
// client is connected, but does not end when the client disconnects: the decision module is notified of that and
// cancels the attempt if it should end.
func (r *Relay) makeAttempt(clientCtx context.Context, active *activeRequest, req *Request, step hoptiller.Step) Result {
	end := time.Now().Add(step.Timeout)
	if deadline := req.Deadline(); deadline.Before(end) {
		end = deadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(clientCtx), end)
	defer cancel()
	sendBy, cause := end, error(nil)
	if t := time.Now().Add(step.WriteBy - r.now()); step.WriteBy > 0 && t.Before(end) {
		sendBy, cause = t, errRetryWindow
	}
	sendCtx, cancelSend := context.WithDeadlineCause(clientCtx, sendBy, cause)
	defer cancelSend()
	r.activeMu.Lock()
	cancelled := active.cancelledBelow > step.Attempt
	active.cancel = func() {
		cancelSend()
		cancel()
	}
	r.activeMu.Unlock()
	if cancelled {
		return Result{Status: hoptiller.NotSent}
	}
	return r.upstreamByID(step.Server).Call(sendCtx, ctx, step.Server, req)
}

// upstreamByID returns the Upstream for the server with a given ID.
func (r *Relay) upstreamByID(id uint32) Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.upstreamOf(r.servers[id])
}

// closeIdle closes the idle connections to the given servers.
func (r *Relay) closeIdle(ids []uint32) {
	for _, id := range ids {
		r.upstreamByID(id).CloseIdle(id)
	}
}

// UpdateServers takes a list update from discovery. The upstreams learn of a ready server before the decision module does,
// because the module may pick the server at once. If a server must get no new requests, the upstreams learn of that after
// the module does, so that the module does not pick the server again after an upstream has turned a request away.
func (r *Relay) UpdateServers(kind hoptiller.ListKind, servers []Server) {
	r.mu.Lock()
	listed := make(map[uint32]bool, len(servers))
	entries := make([]hoptiller.Server, len(servers))
	var leaving []Server
	for i, s := range servers {
		entries[i] = s.Server
		listed[s.ID] = true
		if s.Phase == hoptiller.Ready {
			r.updateServer(s)
		} else {
			leaving = append(leaving, s)
		}
	}
	if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
		for id, s := range r.servers {
			if !listed[id] && s.Phase != hoptiller.Removed {
				s.Phase = hoptiller.Removed
				leaving = append(leaving, s)
			}
		}
	}
	r.facade.UpdateServers(r.now(), kind, entries)
	for _, s := range leaving {
		r.updateServer(s)
	}
	if kind == hoptiller.ListFull || kind == hoptiller.ListDelta {
		r.listUpdated = r.now()
	}
	// Servers come and go for as long as the process runs, and each would leave an entry behind.
	for id, s := range r.servers {
		if s.Phase == hoptiller.Removed && !r.facade.Knows(id) && r.upstreamOf(s).Forget(id) {
			delete(r.servers, id)
		}
	}
	r.mu.Unlock()
}

// Knows reports whether anything about a server is still known here. While it is, the server's number must not be
// reused.
func (r *Relay) Knows(id uint32) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, known := r.servers[id]
	return known
}

// updateServer records a server and notifies its Upstream. The caller holds r.mu.
func (r *Relay) updateServer(s Server) {
	old, known := r.servers[s.ID]
	if s.Phase == hoptiller.Removed && known { // the entry of a removed server may lack the other fields
		s.Addr, s.Started, s.Origin = old.Addr, old.Started, old.Origin
	}
	if s.EarliestStart = old.EarliestStart; !known || old.Started != s.Started {
		s.EarliestStart = r.earliestStart(s.Started)
	}
	if !known || old.Phase != s.Phase {
		phase := [...]string{hoptiller.Removed: "gone", hoptiller.Draining: "draining", hoptiller.Ready: "ready"}[s.Phase]
		slog.Info("server told", "server", s.Name, "id", fmt.Sprintf("%08x", s.ID), "phase", phase)
	}
	moved := known && (old.Addr != s.Addr || old.Started != s.Started)
	if moved {
		slog.Info("server moved", "server", s.Name, "id", fmt.Sprintf("%08x", s.ID), "from", old.Addr, "to", s.Addr,
			"started_before", formatStart(old.Started), "started", formatStart(s.Started))
	}
	r.servers[s.ID] = s
	r.upstreamOf(s).Update(s, moved)
}

// earliestStart returns the earliest time at which a process can have started whose start time is listed now. The
// result is compared with the times at which connections were opened, so it must not change with the wall clock. The
// caller holds r.mu.
func (r *Relay) earliestStart(listedStart time.Duration) time.Time {
	earliest, _ := hoptiller.StartInterval(r.listUpdated, r.now(), listedStart)
	return r.created.Add(earliest - time.Duration(r.created.UnixNano()))
}

// formatStart formats a server's start time for the log.
func formatStart(started time.Duration) string {
	if started == 0 {
		return "long ago"
	}
	return time.Unix(0, int64(started)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// upstreamOf returns the Upstream for a server.
func (r *Relay) upstreamOf(s Server) Upstream {
	if s.Origin {
		return r.origins
	}
	return r.caches
}

// keyNumber returns the number by which the decision module knows a key: the number that the key spells if it has 16
// hexadecimal digits and is not 0, else a hash of the key. All routers must compute the same number.
func keyNumber(key []byte) uint64 {
	if len(key) == 16 {
		if n, err := strconv.ParseUint(string(key), 16, 64); err == nil && n != 0 {
			return n
		}
	}
	h := uint64(14695981039346656037)
	for _, c := range key {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return max(h, 1)
}
