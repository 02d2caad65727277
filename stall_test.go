package hoptiller

import (
	"slices"
	"testing"
	"time"
)

// stallingFleet carries out what a Router asks for, in virtual time. Attempts are answered after a while, but for those that fall into
// a stall: they end when it is over, or as timed out or cancelled before that.
type stallingFleet struct {
	r          *Router
	recorder   // for what is not looked at
	answerTime time.Duration
	from, to   time.Duration     // the stall
	stalls     func(uint32) bool // which servers it takes in
	refusal    Status            // with which it answers at once; OK: it does not answer
	missing    bool              // caches answer the first attempt of each request with a miss
	now        time.Duration
	out        []*pendingAttempt
	attempts   map[uint32]int // of a request, by its id
	asked      map[uint32]time.Duration
	perSecond  map[int]*secondOfService
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

// secondOfService is what became of the requests that came in one second.
type secondOfService struct{ asked, served int }

func (f *stallingFleet) Send(request, server uint32, timeout time.Duration) {
	a := &pendingAttempt{request: request, attempt: f.attempts[request], server: server, sent: f.now, due: f.now + f.answerTime}
	f.attempts[request]++
	if f.missing && server != originID {
		a.status = Miss
	}
	if f.now < f.to && a.due > f.from && f.stalls(server) {
		if a.due, a.status = f.to+f.answerTime, OK; f.refusal != OK {
			a.due, a.status = f.now+time.Millisecond, f.refusal
		}
	}
	if late := f.now + timeout; a.due > late {
		a.due, a.status = late, Timeout
	}
	f.out = append(f.out, a)
}

func (f *stallingFleet) Cancel(request uint32, attempt int) {
	for _, a := range f.out {
		if a.request == request && a.attempt == attempt {
			a.due, a.status = f.now, Cancelled
		}
	}
}

// originID is the origin's number in the fleets of these tests.
const originID = 99

// step lets a millisecond pass.
func (f *stallingFleet) step() {
	f.now += time.Millisecond
	ended := []*pendingAttempt{}
	f.out = slices.DeleteFunc(f.out, func(a *pendingAttempt) bool {
		if a.due <= f.now {
			ended = append(ended, a)
		}
		return a.due <= f.now
	})
	for _, a := range ended {
		if at, open := f.asked[a.request]; a.status == OK && open {
			f.perSecond[int(at/time.Second)].served++
			delete(f.asked, a.request)
		}
		f.r.Outcome(f.now, Outcome{Request: a.request, Attempt: a.attempt, Server: a.server, Status: a.status, Latency: f.now - a.sent,
			Closed: a.status == OK})
	}
	if f.now%sweepTick == 0 {
		f.r.Timer(f.now, tokSweep)
	}
}

// ask brings a request.
func (f *stallingFleet) ask(id uint32, key uint64) {
	f.asked[id] = f.now
	second := int(f.now / time.Second)
	if f.perSecond[second] == nil {
		f.perSecond[second] = &secondOfService{}
	}
	f.perSecond[second].asked++
	f.r.Request(f.now, Request{ID: id, Key: key, Remaining: time.Second})
}

// service is the part that was served of what came from one second on, for another.
func (f *stallingFleet) service(second int) float64 {
	s := f.perSecond[second]
	return float64(s.served) / float64(s.asked)
}

// After a stall of all that a router hears from, it serves again within a second: nothing that it has learned keeps it from hearing
// that the stall is over.
func TestServesAgainAfterAStall(t *testing.T) {
	all := func(uint32) bool { return true }
	origin := func(id uint32) bool { return id == originID }
	for name, c := range map[string]struct {
		reads   int // a second
		keys    int // that they are for; 0: each has its own
		stalls  func(uint32) bool
		refusal Status
		aside   bool
	}{
		"pressure: nothing answers":              {200, 40, all, OK, false},
		"pressure: few reads":                    {20, 20, all, OK, false},
		"pressure: all is refused":               {200, 40, all, Full, false},
		"health: all connections are reset":      {200, 40, all, Reset, false},
		"health: none can be opened":             {200, 40, all, ConnectFailed, false},
		"help: all answers are errors":           {200, 40, all, ServerError, false},
		"health: one server of eight stalls":     {200, 40, func(id uint32) bool { return id == 3 }, OK, false},
		"path: one zone of two stalls":           {200, 40, func(id uint32) bool { return id%2 == 0 }, OK, false},
		"origin's window: the origin stalls":     {200, 0, origin, OK, true},
		"origin's window: the origin refuses":    {200, 0, origin, Full, true},
		"origin's window: all stalls with it":    {200, 0, all, OK, true},
		"gate: reads that need what is kept not": {200, 0, all, OK, false},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Aside = c.aside
			list := fleet(1, 1, 1, 1, 1, 1, 1, 1)
			for i := range list {
				list[i].Zone = i % 2
			}
			if c.aside {
				set.OriginKind = 1
				list = append(list, Server{ID: originID, Phase: Ready, Weight: 1, Kind: 1})
			}
			f := &stallingFleet{answerTime: 20 * time.Millisecond, from: 8 * time.Second, to: 11 * time.Second, stalls: c.stalls, refusal: c.refusal,
				missing: c.aside, now: time.Second, attempts: map[uint32]int{}, asked: map[uint32]time.Duration{}, perSecond: map[int]*secondOfService{},
				recorder: *newRecorder()}
			f.r = New(f.now, set, 7, f)
			f.r.List(f.now, ListFull, list)
			for id := uint32(1); f.now < 15*time.Second; f.step() {
				if f.now%(time.Second/time.Duration(c.reads)) != 0 {
					continue
				}
				key := mix(uint64(id))
				if c.keys > 0 {
					key = mix(uint64(id) % uint64(c.keys))
				}
				f.ask(id, key)
				id++
			}
			before, after := f.service(6), f.service(12)
			if after < 0.9*before {
				t.Errorf("of each second's reads are served: before %.2f, in the stall %.2f %.2f %.2f, then %.2f %.2f %.2f; 0.9 of before are due from the second on",
					before, f.service(8), f.service(9), f.service(10), f.service(11), after, f.service(13))
			}
		})
	}
}
