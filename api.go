// Package hoptiller decides, for a router in front of a fleet of cache servers,
// which server gets a request, when to try another one, and when to give up.
//
// A Router makes the decisions of one router instance. The embedding proxy reports events (changes of the server list, requests,
// outcomes, timers) by calling the Router's methods, and carries out the Router's decisions through the Actions interface. A
// Router never reads a clock, never sleeps, starts no goroutines and shares no state: the same events give the same actions. It
// is not safe for concurrent use; give each instance its own goroutine or lock.
package hoptiller

import "time"

// Effect is what a repetition of a request of a class can do.
type Effect uint8

// Values of Effect.
const (
	Idempotent   Effect = iota // may be repeated freely
	Deduplicated               // the servers of one group drop repetitions for a while
	AtMostOnce                 // must never run twice
)

// Group is the set of servers that together drop repetitions of a Deduplicated request.
type Group uint8

// Values of Group.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of request.
type Class struct {
	Aim          time.Duration // an answer within this time earns the full worth
	Deadline     time.Duration // how long the client waits at most
	Worth        float64       // value of an answer within the aim
	LateFraction float64       // fraction of the worth that a later answer still earns
	Effect       Effect
	Group        Group
	DedupTTL     time.Duration // how long the servers drop repetitions
	Stream       bool          // the answer is streamed
}

// Tenant is a customer with its allowance over all routers.
type Tenant struct {
	Allowance float64 // requests per second
}

// Settings configures a Router. A zero value means "not stated" and is legal for every field.
type Settings struct {
	RouterIndex, RouterCount int // number of this router, and how many routers there are
	ConnsPerCore             int // connections that a server accepts for each core, as stated by the operator; 0: not stated
	Zone                     int // zone of this router
	Classes                  []Class
	Tenants                  []Tenant
	OverShareWorth           float64 // worth of requests over their tenant's share
	TailFraction             float64 // fraction of the score that counts late answers against timely ones

	CacheAside     bool // the router, not the cache server, fetches from the origin after a miss
	OriginKind     int  // machine kind of the origin in the list; -1: there is no origin
	OrderedAnswers bool // a connection answers its requests in order

	ListOnRequest     bool          // the list comes only on request
	FetchListWithin   time.Duration // how soon the list must be requested after the start or a failure
	StopSendingWithin time.Duration // how soon after a listed drain or removal sending must stop
	AnswerGrace       time.Duration // how long after its deadline a request may get its final answer

	ColdCapacity float64       // fraction of its capacity that a server has at its start
	WarmUp       time.Duration // after this time at the latest a server is warm
	// A cold server collapses if it gets more than OverloadFactor times its capacity within any time of length CollapseWindow.
	OverloadFactor float64
	CollapseWindow time.Duration

	// Over any BudgetWindow, the retries that count against the budget are limited to BudgetFree plus BudgetRatio for each
	// request received. There is no budget if BudgetWindow is 0.
	BudgetFree, BudgetRatio float64
	BudgetWindow            time.Duration
	AbsenceAllowsSending    bool // only a listed drain forbids sending; absence from the list does not

	MaxAttempts     int           // attempts for each request, including the first
	Hedging         bool          // two attempts of a request may be in flight at once
	AllowsCancel    bool          // attempts can be cancelled
	SendsRetryAfter bool          // clients can be told when to retry
	MaxRetryAfter   time.Duration // longest wait that clients honour
	ConnectTimeout  time.Duration // time-out for opening a connection
	TickInterval    time.Duration // shortest time between rounds of events
}

// Phase is the state of a server in its life cycle.
type Phase uint8

// Values of Phase, as the list states them.
const (
	Removed  Phase = iota // has left the fleet
	Draining              // gets nothing new
	Ready                 // accepts requests
)

// Server is one entry of the server list.
type Server struct {
	ID      uint32
	Zone    int
	Kind    int // kind of machine
	Cell    int // see GroupCell
	Phase   Phase
	Weight  float64       // relative capacity; 0: not stated
	Started time.Duration // latest start of the process, on the Router's clock; 0: long ago
}

// ListKind is the kind of a list event.
type ListKind uint8

// Values of ListKind.
const (
	ListDelta  ListKind = iota // only the entries that changed
	ListFull                   // all entries
	ListCached                 // all entries of an earlier list, which may be old
	ListFailed                 // a call for the list failed or a watch broke
)

// Request is one client request.
type Request struct {
	ID          uint32
	Class       int
	Tenant      int
	Key         uint64 // 0: no key
	Write       bool
	IsRetry     bool          // the client marks this request as its own retry
	Remaining   time.Duration // until the client stops waiting
	Constraints Constraints   // what the operator forbids for this request; nil: nothing
}

// Constraints is the set of constraints that an operator puts on a request. They can only forbid: a Router never does anything
// because of them that it would not do without them. Its methods are called while the Router handles an event.
type Constraints interface {
	// Allows reports whether a server may get the request. It is not called for the origin.
	Allows(server uint32) bool
	// Timeout returns the longest time that one attempt may take.
	Timeout() time.Duration
	// AllowsRetry reports whether another attempt may follow. The arguments are the number of attempts so far, without fetches
	// after a miss, and the status of the last attempt.
	AllowsRetry(attempts int, last Status) bool
	// TakeRetry takes one retry that is about to be made out of a budget. It reports whether the budget allowed it.
	TakeRetry(now time.Duration) bool
	// AllowsHedge reports whether two attempts may be in flight at once.
	AllowsHedge() bool
}

// Status is how an attempt ended.
type Status uint8

// Values of Status.
const (
	OK            Status = iota
	ServerError          // may have run
	TurnedAway           // the server refused it without running it
	Timeout              // may have run, may still be running
	ConnectFailed        // never reached the server
	Reset                // the connection was reset; may have run
	Cancelled            // this router or the client ended it; may have run
	NotSent              // was never sent
	Miss                 // the server does not hold the key
	Unconfirmed          // a refusal that may have been for an earlier call; may have run
)

// MayHaveRun reports whether the server may have run a request whose attempt ended so. A miss has no effect.
func (s Status) MayHaveRun() bool {
	return s != TurnedAway && s != ConnectFailed && s != NotSent && s != Miss
}

// Outcome reports the end of one attempt.
type Outcome struct {
	Request uint32
	Attempt int
	Server  uint32
	Status  Status
	Latency time.Duration
	Closed  bool // the request is closed and needs no further answer
}

// Actions is what a Router requests from the proxy that embeds it.
type Actions interface {
	// Send starts the next attempt of a request. Attempts are numbered from 0.
	Send(request, server uint32, timeout time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(request uint32, attempt int)
	// CloseIdle closes the proxy's idle connections to a server.
	CloseIdle(server uint32)
	// Refuse ends a request and tells the client that repeating it is harmless.
	Refuse(request uint32, retryAfter time.Duration)
	// Fail ends a request without saying whether it has run.
	Fail(request uint32)
	// SetTimer requests a call of Router.Timer with this token after a delay.
	SetTimer(token uint64, delay time.Duration)
	// FetchList requests the complete server list once.
	FetchList()
	// Watch starts or ends a watch of the server list.
	Watch(on bool)
	// Log writes a line for the operators on call.
	Log(text string)
}

// Events is what a proxy reports to a Router. *Router implements it. The argument now is the time on the proxy's clock, which
// never goes back.
type Events interface {
	UpdateServers(now time.Duration, kind ListKind, servers []Server)
	Request(now time.Duration, q Request)
	Outcome(now time.Duration, o Outcome)
	StreamStarted(now time.Duration, request uint32, attempt int)
	ClientDisconnected(now time.Duration, request uint32)
	Timer(now time.Duration, token uint64)
}

var _ Events = (*Router)(nil)
