package hoptiller

import (
	"slices"
	"testing"
	"time"
)

// stallingFleet carries out the Router's actions in virtual time. Attempts are answered after answerTime, except those that fall
// into a stall: they are answered after it, unless they time out or are cancelled first.
type stallingFleet struct {
	r                  *Router
	recorder           // for the actions that the tests ignore
	answerTime         time.Duration
	stallFrom, stallTo time.Duration     // begin and end of the stall
	isStalled          func(uint32) bool // whether a server stalls
	refusal            Status            // a stalled server ends attempts at once with this status; OK: it does not answer
	cachesMiss         bool              // caches answer every attempt with a miss
	now                time.Duration
	inFlight           []*pendingAttempt
	attempts           map[uint32]int // attempts so far, by request id
	requestedAt        map[uint32]time.Duration
	perSecond          map[int]*servedInSecond
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	request uint32
	attempt int
	server  uint32
	sent    time.Duration
	due     time.Duration
	status  Status
}

// servedInSecond counts the requests that came in one second, and how many of them were served.
type servedInSecond struct{ requests, served int }

func (f *stallingFleet) Send(request, server uint32, timeout time.Duration) {
	a := &pendingAttempt{request: request, attempt: f.attempts[request], server: server, sent: f.now, due: f.now + f.answerTime}
	f.attempts[request]++
	if f.cachesMiss && server != originID {
		a.status = Miss
	}
	if f.now < f.stallTo && a.due > f.stallFrom && f.isStalled(server) {
		if a.due, a.status = f.stallTo+f.answerTime, OK; f.refusal != OK {
			a.due, a.status = f.now+time.Millisecond, f.refusal
		}
	}
	if late := f.now + timeout; a.due > late {
		a.due, a.status = late, Timeout
	}
	f.inFlight = append(f.inFlight, a)
}

func (f *stallingFleet) Cancel(request uint32, attempt int) {
	for _, a := range f.inFlight {
		if a.request == request && a.attempt == attempt {
			a.due, a.status = f.now, Cancelled
		}
	}
}

// originID is the id of the origin in these tests.
const originID = 99

// step lets a millisecond pass.
func (f *stallingFleet) step() {
	f.now += time.Millisecond
	ended := []*pendingAttempt{}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(a *pendingAttempt) bool {
		if a.due <= f.now {
			ended = append(ended, a)
		}
		return a.due <= f.now
	})
	for _, a := range ended {
		if at, open := f.requestedAt[a.request]; a.status == OK && open {
			f.perSecond[int(at/time.Second)].served++
			delete(f.requestedAt, a.request)
		}
		f.r.Outcome(f.now, Outcome{Request: a.request, Attempt: a.attempt, Server: a.server, Status: a.status, Latency: f.now - a.sent,
			Closed: a.status == OK})
	}
	if f.now%sweepInterval == 0 {
		f.r.Timer(f.now, tokenSweep)
	}
}

// request gives the Router a request.
func (f *stallingFleet) request(id uint32, key uint64) {
	f.requestedAt[id] = f.now
	second := int(f.now / time.Second)
	if f.perSecond[second] == nil {
		f.perSecond[second] = &servedInSecond{}
	}
	f.perSecond[second].requests++
	f.r.Request(f.now, Request{ID: id, Key: key, Remaining: time.Second})
}

// servedFraction returns the fraction of the requests that came in one second that was served.
func (f *stallingFleet) servedFraction(second int) float64 {
	s := f.perSecond[second]
	return float64(s.served) / float64(s.requests)
}

// Guards against a router that learns so much caution from a stall that it never sees its end: after a stall of everything that
// answers it, it serves again within a second.
func TestServesAgainAfterAStall(t *testing.T) {
	all := func(uint32) bool { return true }
	origin := func(id uint32) bool { return id == originID }
	for name, c := range map[string]struct {
		reads   int // reads per second
		keys    int // number of keys that they are for; 0: each read has its own key
		stalls  func(uint32) bool
		refusal Status
		aside   bool
	}{
		"pressure: nothing answers":           {200, 40, all, OK, false},
		"pressure: few reads":                 {20, 20, all, OK, false},
		"pressure: everything is refused":     {200, 40, all, TurnedAway, false},
		"health: all connections are reset":   {200, 40, all, Reset, false},
		"health: no connection can be opened": {200, 40, all, ConnectFailed, false},
		"retry help: all answers are errors":  {200, 40, all, ServerError, false},
		"health: one server of eight stalls":  {200, 40, func(id uint32) bool { return id == 3 }, OK, false},
		"path: one zone of two stalls":        {200, 40, func(id uint32) bool { return id%2 == 0 }, OK, false},
		"origin's window: the origin stalls":  {200, 0, origin, OK, true},
		"origin's window: the origin refuses": {200, 0, origin, TurnedAway, true},
		"origin's window: everything stalls":  {200, 0, all, OK, true},
		"gate: reads of uncached keys":        {200, 0, all, OK, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.CacheAside = c.aside
			list := fleet(1, 1, 1, 1, 1, 1, 1, 1)
			for i := range list {
				list[i].Zone = i % 2
			}
			if c.aside {
				set.OriginKind = 1
				list = append(list, Server{ID: originID, Phase: Ready, Weight: 1, Kind: 1})
			}
			f := &stallingFleet{answerTime: 20 * time.Millisecond, stallFrom: 8 * time.Second, stallTo: 11 * time.Second,
				isStalled: c.stalls, refusal: c.refusal,
				cachesMiss: c.aside, now: time.Second, attempts: map[uint32]int{}, requestedAt: map[uint32]time.Duration{},
				perSecond: map[int]*servedInSecond{},
				recorder:  *newRecorder()}
			f.r = New(f.now, set, 7, f)
			f.r.UpdateServers(f.now, ListFull, list)
			for id := uint32(1); f.now < 15*time.Second; f.step() {
				if f.now%(time.Second/time.Duration(c.reads)) != 0 {
					continue
				}
				key := mix(uint64(id))
				if c.keys > 0 {
					key = mix(uint64(id) % uint64(c.keys))
				}
				f.request(id, key)
				id++
			}
			before, after := f.servedFraction(6), f.servedFraction(12)
			if after < 0.9*before {
				t.Errorf("served: before %.2f, in the stall %.2f %.2f %.2f, then %.2f %.2f %.2f; want 0.9 of before after one second",
					before, f.servedFraction(8), f.servedFraction(9), f.servedFraction(10), f.servedFraction(11), after, f.servedFraction(13))
			}
		})
	}
}
