// Package invariants checks that the routers keep the invariants of the platform, from the events that are reported
// to it. It knows the whole day, decides nothing, does no I/O, and must not be visible to a router.
package invariants

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hoptiller"
	"hoptiller/internal/lab/model"
)

// The invariants by name.
const (
	OneAnswer = "one-answer" // each accepted request gets exactly one final answer in time, and nothing is sent for it afterwards
	Effects   = "effects"    // a call that may have been executed is retried or refused only where the class allows it
	OneCall   = "one-call"   // a request has at most one call in flight
	Attempts  = "attempts"   // a request has a limited number of calls
	Drain     = "drain"      // soon after a router has learned of a server's drain or end, it sends the server nothing new
	Cold      = "cold"       // a cold cache does not collapse under load from routers that know of its start
	Origin    = "origin"     // misses at cold caches are no major share of a load that stops the origin
	Listed    = "listed"     // only servers on the router's own list are called

	TimeLeft   = "time-left"  // no attempt states more time than its client has left
	Unanswered = "unanswered" // few requests have no answer at their deadline
	Serving    = "serving"    // few routers reject all requests while others serve
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	Router  int           `json:"router"`
	Request uint32        `json:"request,omitempty"` // 0 if the violation concerns no single request
	Text    string        `json:"text"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: router %d, request %d: %s", v.At, v.Rule, v.Router, v.Request, v.Text)
}

// Checker checks the events of one day. Times are relative to the start of the day.
type Checker struct {
	Violations     []Violation // the first maxKept of each invariant
	ViolationCount int         // all violations, including those that are not in Violations
	Collapses      []Violation // all collapses of cold servers, whether or not they are violations

	// Lag is by how much events are now observed late because processes wait for a core. It is 0 unless the
	// day is played in real time.
	Lag time.Duration

	countByRule    map[string]int // by invariant: the number of violations, including those that are not in Violations
	day            *model.Day
	routers        []routerState
	startsReceived map[routerServer]receivedStart // the latest known start of each server
	leavingSince   map[int]time.Duration          // servers that drain or are removed: when this was listed
	executions     map[uint64]int

	excused         []excusedTime         // by router
	requestCount    int                   // all requests so far
	unansweredCount int                   // requests without an answer so far
	idleSince       map[int]time.Duration // routers that rejected everything while others served: when this was found
}

const maxKept = 100 // violations kept of each invariant; the limit keeps many of one from hiding another

type routerState struct {
	requests     map[uint32]*requestState
	leavingSince map[int]time.Duration // servers known to the router as draining or removed: since when
	drainedSince map[int]time.Duration // servers to which the router itself has declared to send nothing new: since when
	everListed   map[int]bool
	lastUpdate   time.Duration // time of the last successful update from discovery
	watching     bool
	lastFailed   bool // the last request to discovery failed
	service      recentService
}

type requestState struct {
	class    int
	deadline time.Duration
	attempts []attemptState
	answered bool

	writtenLate time.Duration // time between the client's computation of its remaining time and its write

	timeSent    bool          // an attempt has stated its remaining time
	firstExcess time.Duration // by how much the first statement exceeded the real remaining time

	pausedBefore, relayDelayBefore time.Duration // excused time of the router when it accepted the request
}

type attemptState struct {
	sentAt               time.Duration
	inFlight, mayHaveRun bool
}

// New returns a Checker for a day.
func New(day *model.Day) *Checker {
	c := &Checker{day: day, routers: make([]routerState, day.Routers), leavingSince: map[int]time.Duration{},
		executions:     map[uint64]int{},
		startsReceived: map[routerServer]receivedStart{},
		countByRule:    map[string]int{}, excused: make([]excusedTime, day.Routers), idleSince: map[int]time.Duration{}}
	for i := range c.routers {
		c.resetIncarnation(i)
	}
	return c
}

func (c *Checker) addViolation(rule string, at time.Duration, router int, id uint32, format string, args ...any) {
	c.ViolationCount++
	if c.countByRule[rule]++; c.countByRule[rule] <= maxKept {
		c.Violations = append(c.Violations, Violation{rule, at, router, id, fmt.Sprintf(format, args...)})
	}
}

// RequestTaken records that a router has accepted a request with the given deadline.
func (c *Checker) RequestTaken(now time.Duration, router int, id uint32, class int, deadline time.Duration) {
	excused := &c.excused[router]
	c.requestCount++
	c.routers[router].requests[id] = &requestState{class: class, deadline: deadline, pausedBefore: excused.paused.read(now),
		relayDelayBefore: excused.relayDelay.read(now)}
}

// CallSent records a call to a server.
func (c *Checker) CallSent(now time.Duration, router int, id uint32, server int) {
	state := &c.routers[router]
	state.service.attemptSeen()
	request := state.requests[id]
	if request == nil || request.answered {
		c.addViolation(OneAnswer, now, router, id, "a call to server %d after the final answer", server)
		return
	}
	class := &c.day.Classes[request.class]
	for i, attempt := range request.attempts {
		switch {
		case attempt.inFlight && !c.day.Invariants.AllowsHedge:
			c.addViolation(OneCall, now, router, id, "a call to server %d while call %d is out", server, i)
		case !attempt.mayHaveRun:
		case class.Effect == "unsafe":
			c.addViolation(Effects, now, router, id, "%s is sent again though call %d may have run", class.Name, i)
		case class.Effect == "keyed" && now-attempt.sentAt > class.Window.Std():
			c.addViolation(Effects, now, router, id, "%s is repeated %v after call %d, repeats are dropped for %v",
				class.Name, now-attempt.sentAt, i, class.Window)
		}
	}
	if len(request.attempts) >= c.day.Invariants.MaxAttempts {
		c.addViolation(Attempts, now, router, id, "call %d of %d", len(request.attempts)+1, c.day.Invariants.MaxAttempts)
	}
	if !state.everListed[server] {
		c.addViolation(Listed, now, router, id, "server %d was never listed", server)
	}
	if since, known := c.leavingSinceFor(router, server); known && now-since > c.day.Invariants.Drain.Std() {
		c.addViolation(Drain, now, router, id, "a call to server %d, %v after the router was told that it drains or is gone",
			server, now-since)
	}
	if since, known := state.drainedSince[server]; known && now-since > c.day.Invariants.Drain.Std() {
		c.addViolation(Drain, now, router, id, "a call to server %d, %v after the router had said that it gets nothing new", server,
			now-since)
	}
	request.attempts = append(request.attempts, attemptState{sentAt: now, inFlight: true, mayHaveRun: true})
}

// ServerDrained records that a router declares to send a server nothing new, as operators demand, or that it
// revokes this.
func (c *Checker) ServerDrained(now time.Duration, router, server int, drained bool) {
	if !drained {
		delete(c.routers[router].drainedSince, server)
	} else if _, known := c.routers[router].drainedSince[server]; !known {
		c.routers[router].drainedSince[server] = now
	}
}

// leavingSinceFor returns since when a router must know that a server drains or is removed.
func (c *Checker) leavingSinceFor(router, server int) (time.Duration, bool) {
	state := &c.routers[router]
	if since, ok := state.leavingSince[server]; ok {
		return since, true
	}
	listedAt, ok := c.leavingSince[server]
	if !ok || state.watching {
		return 0, false
	}
	allowed := c.day.Invariants.AskWithin.Std()
	if state.lastFailed {
		allowed *= 4
	}
	return max(listedAt, state.lastUpdate) + allowed, true
}

// CallEnded records the end of a call.
func (c *Checker) CallEnded(now time.Duration, router int, id uint32, attempt int, status hoptiller.Status) {
	request := c.routers[router].requests[id]
	if request == nil || attempt >= len(request.attempts) {
		return
	}
	ended := &request.attempts[attempt]
	ended.inFlight = false
	switch status {
	case hoptiller.TurnedAway, hoptiller.ConnectFailed, hoptiller.NotSent, hoptiller.Miss:
		ended.mayHaveRun = false
	}
	c.forgetIfDone(router, id, request)
}

// CallsOverlapped records that two calls of a request were in flight at once, with the trace of each call and
// the lag of the router and of the lab.
func (c *Checker) CallsOverlapped(now time.Duration, router int, id uint32, first, second *CallTrace, routerLag,
	labLag time.Duration) {
	c.addViolation(OneCall, now, router, id, "calls %d and %d are out at once: %v; %v; lag of the router %v, of the lab %v",
		first.Attempt, second.Attempt, first, second, routerLag, labLag)
}

// CallTrace describes how a call reached a server.
type CallTrace struct {
	Attempt, Server int
	Connected       time.Duration // when its connection was accepted
	Written         time.Duration // when its first byte arrived; the server may have read it later
	Read            time.Duration
	Ended           time.Duration // when the call was answered or its connection closed; 0 if not known yet
	InFlight        bool          // its connection is open and it has no answer
}

// String returns the trace as part of the text of a violation.
func (m *CallTrace) String() string {
	text := fmt.Sprintf("call %d to server %d came at %v and was read at %v, on a connection of %v", m.Attempt, m.Server,
		m.Written, m.Read, m.Connected)
	switch {
	case m.InFlight:
		text += ", still open"
	case m.Ended > 0:
		text += fmt.Sprintf(", ended at %v", m.Ended)
	}
	return text
}

// FinalAnswer records a final answer: StepServed, StepReject or StepFail.
func (c *Checker) FinalAnswer(now time.Duration, router int, id uint32, kind hoptiller.StepKind) {
	request := c.routers[router].requests[id]
	if request == nil || request.answered {
		c.addViolation(OneAnswer, now, router, id, "a second final answer")
		return
	}
	if now > request.deadline+c.day.Invariants.Grace.Std() {
		c.addViolation(OneAnswer, now, router, id, "the final answer comes %v late", now-request.deadline)
	}
	if class := &c.day.Classes[request.class]; kind == hoptiller.StepReject && class.Effect == "unsafe" {
		for i, attempt := range request.attempts {
			if attempt.mayHaveRun {
				c.addViolation(Effects, now, router, id, "%s is refused as harmless to repeat though call %d may have run", class.Name, i)
			}
		}
	}
	switch {
	case kind == hoptiller.StepServed:
		c.routers[router].service.requestServed(now)
	case len(request.attempts) == 0:
		c.recordRejection(now, router)
	}
	request.answered = true
	c.forgetIfDone(router, id, request)
}

// ClientDisconnected records that a client has disconnected. Its request needs no answer any more.
func (c *Checker) ClientDisconnected(router int, id uint32) {
	if request := c.routers[router].requests[id]; request != nil {
		request.answered = true
		c.forgetIfDone(router, id, request)
	}
}

func (c *Checker) forgetIfDone(router int, id uint32, request *requestState) {
	if !request.answered {
		return
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight {
			return
		}
	}
	delete(c.routers[router].requests, id)
}

// UpdateReceived records an update that a router receives from discovery.
func (c *Checker) UpdateReceived(now time.Duration, router int, update model.ListUpdate) {
	state := &c.routers[router]
	if state.lastFailed = update.Failed; update.Failed {
		state.watching = false
		return
	}
	state.lastUpdate = now
	listed := map[int]bool{}
	for _, m := range update.Members {
		listed[m.ServerIndex], state.everListed[m.ServerIndex] = true, true
		if m.Phase == model.Ready {
			delete(state.leavingSince, m.ServerIndex)
			c.recordStart(now, router, m)
		} else if _, known := state.leavingSince[m.ServerIndex]; !known {
			state.leavingSince[m.ServerIndex] = now
		}
	}
	if !update.Complete {
		return
	}
	for server := range state.everListed {
		if _, known := state.leavingSince[server]; !known && !listed[server] {
			state.leavingSince[server] = now
		}
	}
}

// WatchChanged records whether a router has an active watch.
func (c *Checker) WatchChanged(router int, watching bool) { c.routers[router].watching = watching }

// Listed records a change of the server list.
func (c *Checker) Listed(now time.Duration, m model.Member) {
	if m.Phase == model.Ready {
		delete(c.leavingSince, m.ServerIndex)
	} else if _, known := c.leavingSince[m.ServerIndex]; !known {
		c.leavingSince[m.ServerIndex] = now
	}
}

// WriteExecuted records that a write was executed. More than one execution of an unsafe write is a violation.
func (c *Checker) WriteExecuted(now time.Duration, router int, op uint64, class int) {
	if c.day.Classes[class].Effect != "unsafe" {
		return
	}
	if c.executions[op]++; c.executions[op] > 1 {
		c.addViolation(Effects, now, router, 0, "%s of client request %d has run %d times", c.day.Classes[class].Name, op,
			c.executions[op])
	}
}

// OriginStopped records that the origin stopped under its load: the share of that load that misses at cold
// caches caused, and the ratio of those misses to the number expected.
func (c *Checker) OriginStopped(now time.Duration, coldShare, ratio float64) {
	if coldShare > 0.3 && ratio > 1.25 {
		c.addViolation(Origin, now, -1, 0, "the origin stops, %.0f%% of its load were misses at cold caches", 100*coldShare)
	}
}

// Finish records the end of the day. Requests that are still open have no answer.
func (c *Checker) Finish(now time.Duration) {
	for i := range c.routers {
		open := c.routers[i].requests
		for _, id := range slices.Sorted(maps.Keys(open)) { // violations must not depend on the order of the map
			if request := open[id]; request.answered || now <= request.deadline+c.day.Invariants.Grace.Std() {
				continue
			}
			c.addViolation(OneAnswer, now, i, id, "no final answer")
			c.RequestUnanswered(now, i, id)
		}
	}
	c.checkUnanswered(now)
	c.checkServing()
}
