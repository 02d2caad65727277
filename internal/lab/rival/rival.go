// Package rival implements the policies that a user could choose instead of hoptiller. They have the interface of the
// decision module, so that all can be measured on the same days. Each policy is a published method of choosing a server,
// with retries, call timeouts and outlier ejection in common settings. The package does no I/O. Code that serves traffic
// must not import it.
package rival

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hoptiller"
)

// chooser is one method of choosing a server.
type chooser interface {
	// rebuild sets the servers that are ready, sorted by ID.
	rebuild(servers []*server)
	// pick returns a server for which ok returns true, or nil. Some methods give up after a number of tries.
	pick(r *rand.Rand, key uint64, ok func(*server) bool) *server
}

// Names returns the names of the policies.
func Names() []string { return []string{"random", "ring", "maglev", "bounded", "rendezvous", "p2c"} }

// New returns a function that creates a router with the named policy, or nil if there is no such policy.
func New(name string) func(time.Duration, hoptiller.Settings, uint64, hoptiller.Actions) hoptiller.Events {
	var newChooser func() chooser
	switch name {
	case "random":
		newChooser = func() chooser { return &random{} }
	case "ring":
		newChooser = func() chooser { return &ring{} }
	case "maglev":
		newChooser = func() chooser { return &maglev{} }
	case "bounded":
		newChooser = func() chooser { return &bounded{} }
	case "rendezvous":
		newChooser = func() chooser { return &rendezvous{} }
	case "p2c":
		newChooser = func() chooser { return &p2c{} }
	default:
		return nil
	}
	return func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		r := &Router{set: set, act: act, chooser: newChooser(), known: map[uint32]*server{}, requests: map[uint32]*request{},
			rand: rand.New(rand.NewPCG(seed, 0))}
		if set.ListOnRequest {
			act.SetTimer(watchToken, time.Duration(r.rand.Float64()*float64(set.FetchListWithin)/20))
		}
		return r
	}
}

// These are the settings that a user would make: the defaults of Envoy's outlier detection and retry policy. Only the
// number of retries differs: MaxAttempts of hoptiller.Settings limits it.
const (
	ejectAfter       = 5                // number of consecutive errors that eject a server
	ejectFor         = 30 * time.Second // multiplied by the number of the server's ejections so far
	maxEjected       = 0.5              // fraction of the servers; if more are ejected, ejections are ignored
	callTimeoutShare = 0.5              // fraction of the aim that a call of a read may take

	watchToken = 1
)

// server is one listed server, with what the router knows of its state.
type server struct {
	hoptiller.Server
	errors, ejections int           // consecutive errors; ejections so far
	ejectedUntil      time.Duration // end of the latest ejection
	inFlight          int           // calls in flight
}

// call is one call of a request.
type call struct {
	server              *server
	pending, mayHaveRun bool          // in flight; may have taken effect
	sentAt              time.Duration // when it was sent
}

// request is a request without a final answer, or with calls in flight.
type request struct {
	hoptiller.Request
	class      *hoptiller.Class
	deadline   time.Duration
	missed     bool // a call was a miss
	endedCalls int  // calls that ended, except misses
	closed     bool // it has a final answer, or its client has disconnected
	calls      []call
}

// Router is a router with one of the policies. It implements hoptiller.Events.
type Router struct {
	set          hoptiller.Settings
	act          hoptiller.Actions
	chooser      chooser
	rand         *rand.Rand
	known        map[uint32]*server
	ready        []*server
	origins      []*server
	requests     map[uint32]*request
	listFailures int // consecutive server lists that could not be fetched
}

// UpdateServers implements hoptiller.Events.
func (r *Router) UpdateServers(now time.Duration, kind hoptiller.ListKind, entries []hoptiller.Server) {
	if kind == hoptiller.ListFailed {
		r.listFailures++
		r.act.SetTimer(watchToken, time.Second<<min(r.listFailures, 3)/2+time.Duration(r.rand.Float64()*float64(time.Second)))
		return
	}
	r.listFailures = 0
	listed := map[uint32]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		if s := r.known[e.ID]; s == nil || s.Started != e.Started && e.Phase == hoptiller.Ready {
			r.known[e.ID] = &server{Server: e}
		} else {
			s.Phase = e.Phase
		}
		if !(r.known[e.ID].Weight > 0) {
			r.known[e.ID].Weight = 1
		}
	}
	r.ready, r.origins = nil, nil
	for id, s := range r.known {
		switch {
		case kind != hoptiller.ListDelta && !listed[id]:
			s.Phase = hoptiller.Removed
			delete(r.known, id)
		case s.Phase == hoptiller.Removed:
			delete(r.known, id)
		case s.Phase == hoptiller.Ready && s.Kind == r.set.OriginKind:
			r.origins = append(r.origins, s)
		case s.Phase == hoptiller.Ready:
			r.ready = append(r.ready, s)
		}
	}
	slices.SortFunc(r.ready, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(r.origins, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.chooser.rebuild(r.ready)
}

// Timer implements hoptiller.Events.
func (r *Router) Timer(_ time.Duration, token uint64) {
	if token == watchToken {
		r.act.Watch(true)
	}
}

// Request implements hoptiller.Events.
func (r *Router) Request(now time.Duration, in hoptiller.Request) {
	q := &request{Request: in, class: &r.set.Classes[in.Class], deadline: now + in.Remaining}
	r.requests[in.ID] = q
	r.next(now, q)
}

// next sends the next call of a request, or ends the request if no further call is possible.
func (r *Router) next(now time.Duration, q *request) {
	if len(q.calls) >= r.set.MaxAttempts || now >= q.deadline {
		r.finish(q)
		return
	}
	var to *server
	if q.Write || q.missed || len(r.ready) == 0 {
		for _, o := range r.origins {
			if to == nil || o.inFlight < to.inFlight {
				to = o
			}
		}
	} else {
		to = r.choose(now, q)
	}
	if to == nil || !r.callIsSafe(now, q) {
		r.finish(q)
		return
	}
	timeout := q.deadline - now
	if q.class.Effect == hoptiller.Idempotent && !q.missed {
		timeout = min(timeout, time.Duration(callTimeoutShare*float64(q.class.Aim)))
	}
	q.calls = append(q.calls, call{server: to, pending: true, mayHaveRun: true, sentAt: now})
	to.inFlight++
	r.act.Send(q.ID, to.ID, timeout)
}

// callIsSafe reports whether a further call is safe: a call that may have taken effect must not be repeated if the class
// allows one execution only, or if its key for deduplication has expired.
func (r *Router) callIsSafe(now time.Duration, q *request) bool {
	for _, c := range q.calls {
		if c.mayHaveRun && (q.class.Effect == hoptiller.AtMostOnce ||
			q.class.Effect == hoptiller.Deduplicated && now-c.sentAt >= q.class.DedupTTL-10*time.Millisecond) {
			return false
		}
	}
	return true
}

// choose picks a server that is not ejected and was not tried yet, or any server if there is none.
func (r *Router) choose(now time.Duration, q *request) *server {
	ejected := 0
	for _, s := range r.ready {
		if s.ejectedUntil > now {
			ejected++
		}
	}
	ignoreEjections := float64(ejected) > maxEjected*float64(len(r.ready))
	tried := func(s *server) bool { return slices.ContainsFunc(q.calls, func(c call) bool { return c.server == s }) }
	s := r.chooser.pick(r.rand, q.Key, func(s *server) bool { return (ignoreEjections || s.ejectedUntil <= now) && !tried(s) })
	if s == nil {
		s = r.chooser.pick(r.rand, q.Key, func(*server) bool { return true })
	}
	return s
}

// finish gives the final answer of a request that was not served. It refuses the request if the client may safely retry
// it, because the class is idempotent or no call can have taken effect. Otherwise the request fails.
func (r *Router) finish(q *request) {
	canRefuse := q.class.Effect == hoptiller.Idempotent ||
		!slices.ContainsFunc(q.calls, func(c call) bool { return c.mayHaveRun })
	if canRefuse {
		r.act.Refuse(q.ID, 0)
	} else {
		r.act.Fail(q.ID)
	}
	r.close(q)
}

// close marks a request as finished, and removes it once it has no calls in flight.
func (r *Router) close(q *request) {
	q.closed = true
	if !slices.ContainsFunc(q.calls, func(c call) bool { return c.pending }) {
		delete(r.requests, q.ID)
	}
}

// Outcome implements hoptiller.Events.
func (r *Router) Outcome(now time.Duration, o hoptiller.Outcome) {
	q := r.requests[o.Request]
	if q == nil || o.Attempt >= len(q.calls) || !q.calls[o.Attempt].pending {
		return
	}
	c := &q.calls[o.Attempt]
	c.pending = false
	c.server.inFlight--
	switch o.Status {
	case hoptiller.TurnedAway, hoptiller.ConnectFailed, hoptiller.NotSent, hoptiller.Miss:
		c.mayHaveRun = false
	}
	switch o.Status {
	case hoptiller.OK, hoptiller.Miss:
		c.server.errors = 0
	case hoptiller.Cancelled, hoptiller.NotSent:
	default:
		if c.server.errors++; c.server.errors >= ejectAfter {
			c.server.errors = 0
			c.server.ejections++
			c.server.ejectedUntil = now + time.Duration(c.server.ejections)*ejectFor
		}
	}
	if o.Closed || q.closed {
		r.close(q)
		return
	}
	q.missed = q.missed || o.Status == hoptiller.Miss
	// An operator's limits on retries apply to these policies as well.
	if n := q.Constraints; n != nil && o.Status != hoptiller.Miss {
		q.endedCalls++
		if !n.AllowsRetry(q.endedCalls, o.Status) || !n.TakeRetry(now) {
			r.finish(q)
			return
		}
	}
	r.next(now, q)
}

// StreamStarted implements hoptiller.Events.
func (r *Router) StreamStarted(_ time.Duration, id uint32, _ int) {
	if q := r.requests[id]; q != nil {
		r.close(q)
	}
}

// ClientDisconnected implements hoptiller.Events.
func (r *Router) ClientDisconnected(_ time.Duration, id uint32) {
	if q := r.requests[id]; q != nil {
		for i := range q.calls {
			if q.calls[i].pending {
				r.act.Cancel(id, i)
			}
		}
		r.close(q)
	}
}
