// Package rival has the policies that a user would pick instead of hoptiller,
// behind the interface of the decision module, so that all can be measured on the
// same days. Each is a published way to choose a server, with retries, call
// time-outs and outlier ejection as they are commonly set. It does no I/O, and
// nothing that serves traffic may import it.
package rival

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hoptiller"
)

// chooser is one way to choose a server.
type chooser interface {
	// rebuild takes the servers that are ready, by id.
	rebuild(servers []*server)
	// pick chooses one that ok permits, or none.
	pick(r *rand.Rand, key uint64, ok func(*server) bool) *server
}

// Names lists the policies.
func Names() []string { return []string{"random", "ring", "maglev", "bounded", "rendezvous", "p2c"} }

// New returns how to make a router that decides by the named policy, or nil.
func New(name string) func(time.Duration, hoptiller.Settings, uint64, hoptiller.Actions) hoptiller.Events {
	var make func() chooser
	switch name {
	case "random":
		make = func() chooser { return &random{} }
	case "ring":
		make = func() chooser { return &ring{} }
	case "maglev":
		make = func() chooser { return &maglev{} }
	case "bounded":
		make = func() chooser { return &bounded{} }
	case "rendezvous":
		make = func() chooser { return &rendezvous{} }
	case "p2c":
		make = func() chooser { return &p2c{} }
	default:
		return nil
	}
	return func(now time.Duration, set hoptiller.Settings, seed uint64, act hoptiller.Actions) hoptiller.Events {
		r := &Router{set: set, act: act, chooser: make(), known: map[uint32]*server{}, open: map[uint32]*request{},
			rand: rand.New(rand.NewPCG(seed, 0))}
		if set.ListOnRequest {
			act.SetTimer(tokWatch, time.Duration(r.rand.Float64()*float64(set.AskWithin)/20))
		}
		return r
	}
}

// What a user sets: as Envoy's outlier detection and retry policy have it by
// default, but for the retries, which are taken up to the settings' attempts.
const (
	ejectAfter = 5                // errors in a row that eject a server
	ejectFor   = 30 * time.Second // times the ejections so far
	ejectMost  = 0.5              // of the servers; beyond that none is passed over
	callPart   = 0.5              // of the aim that one call of a read gets before it is tried elsewhere

	tokWatch = 1
)

type server struct {
	hoptiller.Server
	errors, ejections int
	until             time.Duration // ejected until
	out               int
}

type call struct {
	to        *server
	open, ran bool
	at        time.Duration
}

type request struct {
	hoptiller.Request
	class   *hoptiller.Class
	end     time.Duration
	missed  bool
	repeats int // calls that ended, misses not counted
	closed  bool
	calls   []call
}

// Router is one router with a rival's policy. It is hoptiller.Events.
type Router struct {
	set     hoptiller.Settings
	act     hoptiller.Actions
	chooser chooser
	rand    *rand.Rand
	known   map[uint32]*server
	ready   []*server
	origins []*server
	open    map[uint32]*request
	fails   int
}

// List implements hoptiller.Events.
func (r *Router) List(now time.Duration, kind hoptiller.ListKind, entries []hoptiller.Server) {
	if kind == hoptiller.ListFailed {
		r.fails++
		r.act.SetTimer(tokWatch, time.Second<<min(r.fails, 3)/2+time.Duration(r.rand.Float64()*float64(time.Second)))
		return
	}
	r.fails = 0
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
			s.Phase = hoptiller.Gone
			delete(r.known, id)
		case s.Phase == hoptiller.Gone:
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
	if token == tokWatch {
		r.act.Watch(true)
	}
}

// Request implements hoptiller.Events.
func (r *Router) Request(now time.Duration, in hoptiller.Request) {
	q := &request{Request: in, class: &r.set.Classes[in.Class], end: now + in.Remaining}
	r.open[in.ID] = q
	r.next(now, q)
}

// next sends a request on, or ends it.
func (r *Router) next(now time.Duration, q *request) {
	if len(q.calls) >= r.set.MaxAttempts || now >= q.end {
		r.finish(q)
		return
	}
	var to *server
	if q.Write || q.missed || len(r.ready) == 0 {
		for _, o := range r.origins {
			if to == nil || o.out < to.out {
				to = o
			}
		}
	} else {
		to = r.choose(now, q)
	}
	if to == nil || !r.mayCall(now, q) {
		r.finish(q)
		return
	}
	wait := q.end - now
	if q.class.Effect == hoptiller.Idempotent && !q.missed {
		wait = min(wait, time.Duration(callPart*float64(q.class.Aim)))
	}
	q.calls = append(q.calls, call{to: to, open: true, ran: true, at: now})
	to.out++
	r.act.Send(q.ID, to.ID, wait)
}

// mayCall keeps the rules: every user must.
func (r *Router) mayCall(now time.Duration, q *request) bool {
	for _, c := range q.calls {
		if c.ran && (q.class.Effect == hoptiller.AtMostOnce ||
			q.class.Effect == hoptiller.Deduplicated && now-c.at >= q.class.KeyTTL-10*time.Millisecond) {
			return false
		}
	}
	return true
}

func (r *Router) choose(now time.Duration, q *request) *server {
	ejected := 0
	for _, s := range r.ready {
		if s.until > now {
			ejected++
		}
	}
	panic := float64(ejected) > ejectMost*float64(len(r.ready))
	tried := func(s *server) bool { return slices.ContainsFunc(q.calls, func(c call) bool { return c.to == s }) }
	s := r.chooser.pick(r.rand, q.Key, func(s *server) bool { return (panic || s.until <= now) && !tried(s) })
	if s == nil {
		s = r.chooser.pick(r.rand, q.Key, func(*server) bool { return true })
	}
	return s
}

func (r *Router) finish(q *request) {
	harmless := q.class.Effect == hoptiller.Idempotent ||
		!slices.ContainsFunc(q.calls, func(c call) bool { return c.ran })
	if harmless {
		r.act.Refuse(q.ID, 0)
	} else {
		r.act.Fail(q.ID)
	}
	r.close(q)
}

func (r *Router) close(q *request) {
	q.closed = true
	if !slices.ContainsFunc(q.calls, func(c call) bool { return c.open }) {
		delete(r.open, q.ID)
	}
}

// Outcome implements hoptiller.Events.
func (r *Router) Outcome(now time.Duration, o hoptiller.Outcome) {
	q := r.open[o.Request]
	if q == nil || o.Attempt >= len(q.calls) || !q.calls[o.Attempt].open {
		return
	}
	c := &q.calls[o.Attempt]
	c.open = false
	c.to.out--
	switch o.Status {
	case hoptiller.Full, hoptiller.ConnectFailed, hoptiller.Moot, hoptiller.Miss:
		c.ran = false
	}
	switch o.Status {
	case hoptiller.OK, hoptiller.Miss:
		c.to.errors = 0
	case hoptiller.Cancelled, hoptiller.Moot:
	default:
		if c.to.errors++; c.to.errors >= ejectAfter {
			c.to.errors = 0
			c.to.ejections++
			c.to.until = now + time.Duration(c.to.ejections)*ejectFor
		}
	}
	if o.Closed || q.closed {
		r.close(q)
		return
	}
	q.missed = q.missed || o.Status == hoptiller.Miss
	if n := q.Narrow; n != nil && o.Status != hoptiller.Miss { // an operator limits repeats of these as well
		q.repeats++
		if !n.Repeats(q.repeats, o.Status) || !n.Spend(now) {
			r.finish(q)
			return
		}
	}
	r.next(now, q)
}

// Streaming implements hoptiller.Events.
func (r *Router) Streaming(_ time.Duration, id uint32, _ int) {
	if q := r.open[id]; q != nil {
		r.close(q)
	}
}

// ClientGone implements hoptiller.Events.
func (r *Router) ClientGone(_ time.Duration, id uint32) {
	if q := r.open[id]; q != nil {
		for i := range q.calls {
			if q.calls[i].open {
				r.act.Cancel(id, i)
			}
		}
		r.close(q)
	}
}
