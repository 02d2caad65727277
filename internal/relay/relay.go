// Package relay carries requests from a front to cache servers and origin, and the answers back.
// What is to be done it asks of the hoptiller.Facade; how it is done is the
// Upstreams' affair. It knows neither the clients' protocol nor the servers'.
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
	Key     []byte
	ID      []byte        // as the client named it
	Facts   []byte        // names and values that came with it
	Value   []byte        // of a write
	Long    *buffer.Chain // the same where it is long; nothing may use it once the final answer is known
	Write   bool
	Class   int
	Tenant  int // the customer by number; -1: none that is known
	Retry   bool
	Arrived time.Time     // when its last byte came
	Wait    time.Duration // that the client waits for the answer, from then on

	Client netip.Addr          // not valid where it is not known
	Gone   func() bool         // looks whether the client has left, which may not have been heard yet; nil: nobody can tell
	Narrow hoptiller.Narrowing // what an operator forbids it; nil: nothing
}

// Deadline is when the client gives up.
func (req *Request) Deadline() time.Time { return req.Arrived.Add(req.Wait) }

// ClientGone looks whether the client has left. The request's context tells so later: somebody has to hear of it first.
func (req *Request) ClientGone() bool { return req.Gone != nil && req.Gone() }

// decisionInput is what the module is told of it.
func (req *Request) decisionInput(id uint32, now time.Time) hoptiller.Request {
	return hoptiller.Request{
		ID: id, Class: req.Class, Tenant: req.Tenant, Key: keyNumber(req.Key), Write: req.Write, Retry: req.Retry,
		Remaining: max(0, req.Deadline().Sub(now)), Narrow: req.Narrow,
	}
}

// Length is that of its value.
func (req *Request) Length() int {
	if req.Long != nil {
		return req.Long.Len()
	}
	return len(req.Value)
}

// Result is how an attempt ended.
type Result struct {
	Status hoptiller.Status
	Data   []byte // the value or the receipt
	Body   Body   // the value, if it is long
	// If End is set, the call is still out until this is called. It may be that this can't be: that another's long
	// value would be cut off.
	End func() (ended bool)
}

// Body is a long value that is still coming. Whoever has it either copies or closes it.
type Body interface {
	// Len is the length that the value is said to have.
	Len() int
	// Copy hands over the value in pieces, no faster than write takes them. After an error it is not whole.
	Copy(write func(piece []byte) error) error
	// Close gives up what has not come yet; it may be called while Copy runs, and as often as one likes.
	Close()
}

// Answer is the final answer to a request.
type Answer struct {
	Kind       hoptiller.StepKind // anything but StepCall
	Data       []byte
	Body       Body // instead of Data, if the value is long
	RetryAfter time.Duration
}

// Upstream makes attempts to one kind of server.
type Upstream interface {
	// Call makes one call and returns when it has ended, or ctx has, which is not to outlast the client's deadline. All of it is written while begin lasts, which ends with
	// ctx at the latest, or nothing is sent.
	Call(begin, ctx context.Context, server uint32, req *Request) Result
	// Update tells what is now known of a server; moved tells that it runs
	// elsewhere or anew, so that its old connections lead nowhere.
	Update(s Server, moved bool)
	// Forget drops what is known of a server, and tells whether it could:
	// not while there are connections to it.
	Forget(server uint32) bool
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server uint32)
}

// Server is one entry of the directory.
type Server struct {
	hoptiller.Server
	Name   string
	Addr   string
	Origin bool
	Since  time.Time // when its process started at the earliest, by this machine's monotonic clock; set by the Relay
}

// Directory is told what to ask of the directory. Its calls return at once.
type Directory interface {
	Watch(on bool)
	List()
}

// Relay carries the requests of one router.
type Relay struct {
	AttemptEnded func(hoptiller.Status) // told how each attempt ended; nil: nobody is. It is set before the first request

	core    *hoptiller.Facade
	caches  Upstream
	origins Upstream
	start   time.Time
	wake    chan struct{}

	mu       sync.RWMutex
	servers  map[uint32]Server
	listedAt time.Duration // when the list was told or changed last; 0: not yet

	liveMu sync.Mutex
	live   map[uint32]*live
}

// live is a request that is being carried.
type live struct {
	withdrawn int // calls that were cancelled, up to this number
	cancel    context.CancelFunc
}

// New returns a Relay that decides by set.
func New(set hoptiller.Settings, seed uint64, caches, origins Upstream) *Relay {
	r := &Relay{
		caches: caches, origins: origins, start: time.Now(), wake: make(chan struct{}, 1),
		servers: map[uint32]Server{}, live: map[uint32]*live{},
	}
	r.core = hoptiller.NewFacade(r.now(), set, seed, func() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
	return r
}

// now is the time since 1970, so that the directory's start times can be set
// against it, but never goes back.
func (r *Relay) now() time.Duration {
	return time.Duration(r.start.UnixNano()) + time.Since(r.start)
}

// Members tells how many cache servers are listed, and how many of them are avoided now.
func (r *Relay) Members() (listed, avoided int) { return r.core.Members() }

// Caches are the cache servers that are listed, as they are seen here.
func (r *Relay) Caches() []hoptiller.CacheState { return r.core.Caches() }

// Sighted tells what some router saw of a cache server before the list told it.
func (r *Relay) Sighted(seen hoptiller.Sighting) { r.core.Sighted(r.now(), seen) }

// Run carries out the orders that belong to no request, until ctx ends.
func (r *Relay) Run(ctx context.Context, dir Directory) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
			if late := time.Since(due); late > heldUp {
				slog.Warn("held up", "by", late.Round(time.Millisecond))
			}
		}
		orders := r.core.Tick(r.now())
		for _, c := range orders.Cancelled {
			r.withdraw(c)
		}
		r.closeIdle(orders.CloseIdle)
		if orders.Watch || orders.Unwatch {
			dir.Watch(orders.Watch)
		}
		if orders.List {
			dir.List()
		}
		for _, text := range orders.Logs {
			slog.Info("module", "said", text)
		}
		if orders.Next > 0 {
			wait := max(0, orders.Next-r.now())
			due = time.Now().Add(wait)
			timer.Reset(wait)
		}
	}
}

func (r *Relay) withdraw(c hoptiller.AttemptID) {
	r.liveMu.Lock()
	defer r.liveMu.Unlock()
	if l := r.live[c.Request]; l != nil {
		l.withdrawn = max(l.withdrawn, c.Attempt+1)
		if l.cancel != nil {
			l.cancel()
		}
	}
}

// Serve carries one request to its final answer. When ctx ends its client
// has left, and the answer matters to no one; it returns when nothing is out for it.
func (r *Relay) Serve(ctx context.Context, req *Request) Answer {
	id := r.core.Reserve()
	l := &live{}
	r.liveMu.Lock()
	r.live[id] = l
	r.liveMu.Unlock()
	defer func() {
		r.liveMu.Lock()
		delete(r.live, id)
		r.liveMu.Unlock()
	}()

	step := r.core.Pick(r.now(), req.decisionInput(id, time.Now()))
	defer context.AfterFunc(ctx, func() { r.core.Gone(r.now(), id) })()
	course := &course{begun: time.Now()}
	for {
		r.closeIdle(step.CloseIdle)
		if step.Kind != hoptiller.StepCall {
			course.unserved(req, step.Kind)
			return Answer{Kind: step.Kind, RetryAfter: step.RetryAfter}
		}
		sent := r.now()
		result := r.call(ctx, l, req, step)
		now := r.now()
		if ctx.Err() != nil || result.Status == hoptiller.Moot && req.ClientGone() { // whatever it comes to, no other call follows
			r.core.Gone(now, id)
		}
		course.add(req, step.Server, result.Status, now-sent)
		if r.AttemptEnded != nil {
			r.AttemptEnded(result.Status)
		}
		call := hoptiller.AttemptID{Request: id, Attempt: step.Attempt}
		step = r.core.Report(now, call, step.Server, result.Status, now-sent)
		if step.Kind == hoptiller.StepServed {
			r.closeIdle(step.CloseIdle)
			return Answer{Kind: step.Kind, Data: result.Data, Body: result.Body}
		}
		if result.Body != nil {
			result.Body.Close()
		}
		if step.Kind == hoptiller.StepCall && result.End != nil && !result.End() {
			// One call is out at a time, whatever else the connection carries, and this one still is.
			call.Attempt = step.Attempt
			r.core.Gone(r.now(), id)
			r.core.Report(r.now(), call, step.Server, hoptiller.Moot, 0)
			course.unserved(req, hoptiller.StepFail)
			return Answer{Kind: hoptiller.StepFail}
		}
	}
}

// heldUp is how late a timer is that is logged: the process, or the machine, stood still for so long.
const heldUp = 100 * time.Millisecond

// errWindow ends the time in which an attempt may begin before its own time is over.
var errWindow = errors.New("the window for repeats is over")

// call makes one call, unless it has been withdrawn before it began. It begins only while the client is there, but does not
// end with the client's leaving: the module hears of that, and withdraws the call if it is to end.
func (r *Relay) call(client context.Context, l *live, req *Request, step hoptiller.Step) Result {
	end := time.Now().Add(step.Timeout)
	if deadline := req.Deadline(); deadline.Before(end) {
		end = deadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(client), end)
	defer cancel()
	by, cause := end, error(nil)
	if t := time.Now().Add(step.By - r.now()); step.By > 0 && t.Before(end) {
		by, cause = t, errWindow
	}
	begin, cancelBegin := context.WithDeadlineCause(client, by, cause)
	defer cancelBegin()
	r.liveMu.Lock()
	withdrawn := l.withdrawn > step.Attempt
	l.cancel = func() {
		cancelBegin()
		cancel()
	}
	r.liveMu.Unlock()
	if withdrawn {
		return Result{Status: hoptiller.Moot}
	}
	return r.callerOf(step.Server).Call(begin, ctx, step.Server, req)
}

func (r *Relay) callerOf(id uint32) Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.caller(r.servers[id])
}

func (r *Relay) closeIdle(ids []uint32) {
	for _, id := range ids {
		r.callerOf(id).CloseIdle(id)
	}
}

// Told takes what the directory says. Of a new server the callers hear before the Router, which might
// pick it at once; of one that is to get nothing new they hear after it, so that what they turn away is
// not picked again.
func (r *Relay) Told(kind hoptiller.ListKind, servers []Server) {
	r.mu.Lock()
	listed := make(map[uint32]bool, len(servers))
	entries := make([]hoptiller.Server, len(servers))
	var leaving []Server
	for i, s := range servers {
		entries[i] = s.Server
		listed[s.ID] = true
		if s.Phase == hoptiller.Ready {
			r.update(s)
		} else {
			leaving = append(leaving, s)
		}
	}
	if kind == hoptiller.ListFull || kind == hoptiller.ListCached {
		for id, s := range r.servers {
			if !listed[id] && s.Phase != hoptiller.Gone {
				s.Phase = hoptiller.Gone
				leaving = append(leaving, s)
			}
		}
	}
	r.core.Directory(r.now(), kind, entries)
	for _, s := range leaving {
		r.update(s)
	}
	if kind == hoptiller.ListFull || kind == hoptiller.ListDelta {
		r.listedAt = r.now()
	}
	// On a long day servers come and go without end, and each would leave its trace.
	for id, s := range r.servers {
		if s.Phase == hoptiller.Gone && !r.core.Knows(id) && r.caller(s).Forget(id) {
			delete(r.servers, id)
		}
	}
	r.mu.Unlock()
}

// Knows tells whether anything of a server is still known here. Until then its number is taken.
func (r *Relay) Knows(id uint32) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, known := r.servers[id]
	return known
}

// update tells the callers of a server; r.mu is held.
func (r *Relay) update(s Server) {
	old, known := r.servers[s.ID]
	if s.Phase == hoptiller.Gone && known { // an entry for what is gone may lack the rest
		s.Addr, s.Started, s.Origin = old.Addr, old.Started, old.Origin
	}
	if s.Since = old.Since; !known || old.Started != s.Started {
		s.Since = r.sinceStart(s.Started)
	}
	if !known || old.Phase != s.Phase {
		phase := [...]string{hoptiller.Gone: "gone", hoptiller.Draining: "draining", hoptiller.Ready: "ready"}[s.Phase]
		slog.Info("server told", "server", s.Name, "id", fmt.Sprintf("%08x", s.ID), "phase", phase)
	}
	moved := known && (old.Addr != s.Addr || old.Started != s.Started)
	if moved {
		slog.Info("server moved", "server", s.Name, "id", fmt.Sprintf("%08x", s.ID), "from", old.Addr, "to", s.Addr,
			"started_before", startTime(old.Started), "started", startTime(s.Started))
	}
	r.servers[s.ID] = s
	r.caller(s).Update(s, moved)
}

// sinceStart is when a process has started at the earliest whose start is listed now. It is compared with when connections came up, and
// must not change with the wall clock. r.mu is held.
func (r *Relay) sinceStart(listed time.Duration) time.Time {
	from, _ := hoptiller.StartInterval(r.listedAt, r.now(), listed)
	return r.start.Add(from - time.Duration(r.start.UnixNano()))
}

// startTime is a server's start as the log has it.
func startTime(started time.Duration) string {
	if started == 0 {
		return "long ago"
	}
	return time.Unix(0, int64(started)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func (r *Relay) caller(s Server) Upstream {
	if s.Origin {
		return r.origins
	}
	return r.caches
}

// keyNumber makes the Router's number of a key: what its hexadecimal digits
// say where it is such a number, else a hash. All routers must get the same.
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
