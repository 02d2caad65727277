// Package rules holds a tier of routers to the rules of the platform, by what it
// is told of each step. It knows the whole day, decides nothing, does no I/O, and
// must not be shown to a router.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// The rules by name.
const (
	OneAnswer = "one-answer" // each request taken gets exactly one final answer in time, and nothing is sent for it after that
	Effects   = "effects"    // what may have run is repeated or refused only where the class permits that
	OneCall   = "one-call"   // one call of a request is out at a time
	Attempts  = "attempts"   // and so many in all
	Drain     = "drain"      // nothing new goes to a server soon after its drain or end was told
	Cold      = "cold"       // no cold cache is pushed over by routers that were told of its start
	Origin    = "origin"     // misses at cold caches are not much of a load that stops the origin
	Listed    = "listed"     // only servers that the router's own list has named are called

	TimeLeft   = "time-left"  // no attempt is told more time than its client has left
	Unanswered = "unanswered" // few requests have no answer when their time is up
	Serving    = "serving"    // few routers turn away all that they get while others serve
)

// Violation is one breach.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Router  int           `json:"router"`
	Request uint32        `json:"request,omitempty"` // 0: of no one request
	Text    string        `json:"text"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: router %d, request %d: %s", v.At, v.Rule, v.Router, v.Request, v.Text)
}

// Checker watches one day. Times are the day's.
type Checker struct {
	Found []Violation // the first of each rule
	Count int         // all
	Falls []Violation // of cold servers, those that break no rule as well

	// Lag is by how much what is seen now is late since processes wait for a core, where the day is played in real time.
	Lag time.Duration

	kept    map[string]int // of each rule, those in Found and more
	day     *model.Day
	routers []routerState
	starts  map[serverOf]toldStart // the start of each server that was told last
	ended   map[int]time.Duration  // servers that drain or are gone, since when that is listed
	runs    map[uint64]int

	obstacles  []obstacle            // by router
	taken      int                   // requests in all
	unanswered int                   // of them
	idle       map[int]time.Duration // routers that served nobody for a time while others did, since when that is so
}

const keep = 100 // violations of each rule that are kept whole: a flood of one must not hide another

type routerState struct {
	requests map[uint32]*request
	left     map[int]time.Duration // servers told to drain or gone, since when
	aside    map[int]time.Duration // and those that it says to send nothing more, since when
	named    map[int]bool
	asked    time.Duration // last call or word of the directory
	watching bool
	failed   bool // the last call failed
	service  service
}

type request struct {
	class int
	end   time.Duration
	tries []try
	final bool

	writtenLate time.Duration // by its client, after it worked out what is left

	told     bool          // an attempt has told how much time is left
	readLate time.Duration // how much more the first of them told

	pausedBefore, heldBackBefore time.Duration // how long its router's obstacles had lasted when it was taken
}

type try struct {
	at        time.Duration
	open, ran bool
}

// New returns a Checker for a day.
func New(day *model.Day) *Checker {
	c := &Checker{day: day, routers: make([]routerState, day.Routers), ended: map[int]time.Duration{}, runs: map[uint64]int{},
		starts: map[serverOf]toldStart{},
		kept:   map[string]int{}, obstacles: make([]obstacle, day.Routers), idle: map[int]time.Duration{}}
	for i := range c.routers {
		c.forgetLife(i)
	}
	return c
}

func (c *Checker) breach(rule string, at time.Duration, router int, id uint32, format string, args ...any) {
	c.Count++
	if c.kept[rule]++; c.kept[rule] <= keep {
		c.Found = append(c.Found, Violation{rule, at, router, id, fmt.Sprintf(format, args...)})
	}
}

// Taken tells that a router has taken a request, which has until end.
func (c *Checker) Taken(now time.Duration, router int, id uint32, class int, end time.Duration) {
	o := &c.obstacles[router]
	c.taken++
	c.routers[router].requests[id] = &request{class: class, end: end, pausedBefore: o.paused.read(now), heldBackBefore: o.heldBack.read(now)}
}

// Sent tells of a call.
func (c *Checker) Sent(now time.Duration, router int, id uint32, server int) {
	s := &c.routers[router]
	s.service.attempts()
	q := s.requests[id]
	if q == nil || q.final {
		c.breach(OneAnswer, now, router, id, "a call to server %d after the final answer", server)
		return
	}
	class := &c.day.Classes[q.class]
	for i, t := range q.tries {
		switch {
		case t.open && !c.day.Rules.Copies:
			c.breach(OneCall, now, router, id, "a call to server %d while call %d is out", server, i)
		case !t.ran:
		case class.Effect == "unsafe":
			c.breach(Effects, now, router, id, "%s is sent again though call %d may have run", class.Name, i)
		case class.Effect == "keyed" && now-t.at > class.Window.D():
			c.breach(Effects, now, router, id, "%s is repeated %v after call %d, repeats are dropped for %v",
				class.Name, now-t.at, i, class.Window)
		}
	}
	if len(q.tries) >= c.day.Rules.Attempts {
		c.breach(Attempts, now, router, id, "call %d of %d", len(q.tries)+1, c.day.Rules.Attempts)
	}
	if !s.named[server] {
		c.breach(Listed, now, router, id, "server %d was never listed", server)
	}
	if since, over := c.leftSince(router, server); over && now-since > c.day.Rules.Drain.D() {
		c.breach(Drain, now, router, id, "a call to server %d, %v after the router was told that it drains or is gone",
			server, now-since)
	}
	if since, over := s.aside[server]; over && now-since > c.day.Rules.Drain.D() {
		c.breach(Drain, now, router, id, "a call to server %d, %v after the router had said that it gets nothing new", server, now-since)
	}
	q.tries = append(q.tries, try{at: now, open: true, ran: true})
}

// Aside tells that a router says to send a server nothing new, because operators want it so, or that it does again.
func (c *Checker) Aside(now time.Duration, router, server int, yes bool) {
	if !yes {
		delete(c.routers[router].aside, server)
	} else if _, already := c.routers[router].aside[server]; !already {
		c.routers[router].aside[server] = now
	}
}

// leftSince tells since when a router is held to know that a server drains or is gone.
func (c *Checker) leftSince(router, server int) (time.Duration, bool) {
	s := &c.routers[router]
	if since, ok := s.left[server]; ok {
		return since, true
	}
	listed, ok := c.ended[server]
	if !ok || s.watching {
		return 0, false
	}
	within := c.day.Rules.AskWithin.D()
	if s.failed {
		within *= 4
	}
	return max(listed, s.asked) + within, true
}

// Ended tells how a call has ended.
func (c *Checker) Ended(now time.Duration, router int, id uint32, attempt int, status hoptiller.Status) {
	q := c.routers[router].requests[id]
	if q == nil || attempt >= len(q.tries) {
		return
	}
	t := &q.tries[attempt]
	t.open = false
	switch status {
	case hoptiller.Full, hoptiller.ConnectFailed, hoptiller.Moot, hoptiller.Miss:
		t.ran = false
	}
	c.forget(router, id, q)
}

// Together tells that two calls of a request were out at once, how each came, and how late the router and the lab itself were.
func (c *Checker) Together(now time.Duration, router int, id uint32, first, second *Came, ofRouter, ofLab time.Duration) {
	c.breach(OneCall, now, router, id, "calls %d and %d are out at once: %v; %v; lag of the router %v, of the lab %v",
		first.Attempt, second.Attempt, first, second, ofRouter, ofLab)
}

// Came is how a call came to a server.
type Came struct {
	Attempt, Server int
	Connected       time.Duration // when its connection was accepted
	Written         time.Duration // when its first byte came, though the server may have read it later
	Read            time.Duration
	Ended           time.Duration // when it was answered, or its connection ended; 0: not known yet
	Open            bool          // its connection is open and it has no answer
}

func (m *Came) String() string {
	text := fmt.Sprintf("call %d to server %d came at %v and was read at %v, on a connection of %v", m.Attempt, m.Server, m.Written, m.Read, m.Connected)
	switch {
	case m.Open:
		text += ", still open"
	case m.Ended > 0:
		text += fmt.Sprintf(", ended at %v", m.Ended)
	}
	return text
}

// Final tells of a final answer: StepServed, StepReject or StepFail.
func (c *Checker) Final(now time.Duration, router int, id uint32, kind hoptiller.StepKind) {
	q := c.routers[router].requests[id]
	if q == nil || q.final {
		c.breach(OneAnswer, now, router, id, "a second final answer")
		return
	}
	if now > q.end+c.day.Rules.Grace.D() {
		c.breach(OneAnswer, now, router, id, "the final answer comes %v late", now-q.end)
	}
	if class := &c.day.Classes[q.class]; kind == hoptiller.StepReject && class.Effect == "unsafe" {
		for i, t := range q.tries {
			if t.ran {
				c.breach(Effects, now, router, id, "%s is refused as harmless to repeat though call %d may have run", class.Name, i)
			}
		}
	}
	switch {
	case kind == hoptiller.StepServed:
		c.routers[router].service.serves(now)
	case len(q.tries) == 0:
		c.turnedAway(now, router)
	}
	q.final = true
	c.forget(router, id, q)
}

// Left tells that a client has gone: nothing is owed any more.
func (c *Checker) Left(router int, id uint32) {
	if q := c.routers[router].requests[id]; q != nil {
		q.final = true
		c.forget(router, id, q)
	}
}

func (c *Checker) forget(router int, id uint32, q *request) {
	if !q.final {
		return
	}
	for _, t := range q.tries {
		if t.open {
			return
		}
	}
	delete(c.routers[router].requests, id)
}

// Told tells what a router hears of the directory.
func (c *Checker) Told(now time.Duration, router int, u model.Update) {
	s := &c.routers[router]
	if s.failed = u.Failed; u.Failed {
		s.watching = false
		return
	}
	s.asked = now
	listed := map[int]bool{}
	for _, m := range u.Members {
		listed[m.Index], s.named[m.Index] = true, true
		if m.Phase == model.Ready {
			delete(s.left, m.Index)
			c.startTold(now, router, m)
		} else if _, known := s.left[m.Index]; !known {
			s.left[m.Index] = now
		}
	}
	if !u.Full {
		return
	}
	for n := range s.named {
		if _, known := s.left[n]; !known && !listed[n] {
			s.left[n] = now
		}
	}
}

// Watches tells whether a router has a watch that runs.
func (c *Checker) Watches(router int, on bool) { c.routers[router].watching = on }

// Listed tells what the directory knows from now on.
func (c *Checker) Listed(now time.Duration, m model.Member) {
	if m.Phase == model.Ready {
		delete(c.ended, m.Index)
	} else if _, known := c.ended[m.Index]; !known {
		c.ended[m.Index] = now
	}
}

// Ran tells that a write was carried out, and whether that was not to happen twice.
func (c *Checker) Ran(now time.Duration, router int, op uint64, class int) {
	if c.day.Classes[class].Effect != "unsafe" {
		return
	}
	if c.runs[op]++; c.runs[op] > 1 {
		c.breach(Effects, now, router, 0, "%s of client request %d has run %d times", c.day.Classes[class].Name, op, c.runs[op])
	}
}

// OriginStopped tells that the origin was sent more than it bears: what part of it were misses at
// cold caches, and how many of those came for each that was due there.
func (c *Checker) OriginStopped(now time.Duration, part, due float64) {
	if part > 0.3 && due > 1.25 {
		c.breach(Origin, now, -1, 0, "the origin stops, %.0f%% of its load were misses at cold caches", 100*part)
	}
}

// Finish tells that the day is over: whatever is open has no answer.
func (c *Checker) Finish(now time.Duration) {
	for i := range c.routers {
		open := c.routers[i].requests
		for _, id := range slices.Sorted(maps.Keys(open)) { // what is found must not hang on map order
			if q := open[id]; q.final || now <= q.end+c.day.Rules.Grace.D() {
				continue
			}
			c.breach(OneAnswer, now, i, id, "no final answer")
			c.Unanswered(now, i, id)
		}
	}
	c.judgeUnanswered(now)
	c.judgeServing()
}
