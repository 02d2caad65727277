// Package hoptiller decides, for a router in front of a fleet of cache servers,
// which server gets a request, when to try another one, and when to give up.
//
// A Router holds the decisions of one balancer instance. The embedding proxy
// reports what happens (list changes, requests, outcomes, timers) by calling
// the Router's methods and carries out what the Router asks for through the
// Actions interface. A Router never reads a clock, never sleeps, starts no
// goroutines and shares nothing: the same events give the same actions.
// It is not safe for concurrent use; give each instance one goroutine or lock.
package hoptiller

import "time"

// Effect says what repeating a request of a class may do.
type Effect uint8

// The three kinds of effect.
const (
	Idempotent   Effect = iota // may be repeated freely
	Deduplicated               // servers of one group drop repeats for a while
	AtMostOnce                 // must never run twice
)

// Group names the servers that drop repeats of a Deduplicated request.
type Group uint8

// The groups that may share their knowledge of repeats.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of request.
type Class struct {
	Aim       time.Duration // an answer within this earns the full worth
	Deadline  time.Duration // the client's whole patience
	Worth     float64
	LateValue float64 // part of the worth that a late answer still earns
	Effect    Effect
	Group     Group
	KeyTTL    time.Duration // how long repeats are dropped
	Stream    bool
}

// Tenant is one customer and its allowance over all balancers.
type Tenant struct {
	Allowance float64 // requests per second
}

// Settings is what an instance is told when it starts. Zero values mean
// "not stated" and are legal everywhere.
type Settings struct {
	Self, Balancers int
	Places          int // connections that each core of a server accepts, as its operator states; 0: not stated
	Zone            int
	Classes         []Class
	Tenants         []Tenant
	OverShareWorth  float64
	TailPart        float64 // part of the goal that counts late answers against the timely ones

	Aside      bool // misses are the router's to fetch from the origin
	OriginKind int  // machine kind of the origin in the list; -1 for none
	Ordered    bool // one connection answers in order

	ListOnRequest     bool // the list comes only when asked for
	AskWithin         time.Duration
	StopSendingWithin time.Duration
	AnswerGrace       time.Duration

	ColdFrom       float64       // part of its capacity a server starts with
	Cold           time.Duration // and is warm after this at the latest
	OverloadFactor float64       // what a cold server bears, in multiples
	Fall           time.Duration // for how long

	// Attempts beyond each request's first, as far as they count, stay within BudgetFree plus
	// BudgetRatio for each request taken, over any BudgetWindow. A window of 0 states no budget.
	BudgetFree, BudgetRatio float64
	BudgetWindow            time.Duration
	RemovalNotBinding       bool // only a listed drain forbids sending, not absence from the list

	MaxAttempts   int
	SecondCopies  bool
	MayCancel     bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
	ConnTimeout   time.Duration
	Tick          time.Duration // least time between rounds of events
}

// Phase is where a server stands in its life.
type Phase uint8

// The phases as the list tells them.
const (
	Gone Phase = iota
	Draining
	Ready
)

// Server is one entry of the server list.
type Server struct {
	ID      uint32
	Zone    int
	Kind    int
	Cell    int
	Phase   Phase
	Weight  float64       // the rating; 0 when not stated
	Started time.Duration // latest start on the Router's clock; 0: long past
}

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list event.
const (
	ListDelta  ListKind = iota // altered entries only
	ListFull                   // all there is
	ListCached                 // all there was when it was last held
	ListFailed                 // a call failed or a subscription broke
)

// Request is one client request.
type Request struct {
	ID        uint32
	Class     int
	Tenant    int
	Key       uint64 // 0: none
	Write     bool
	Retry     bool          // the client's own further try, where clients mark it
	Remaining time.Duration // until the client gives up
	Narrow    Narrowing     // what its operator forbids it; nil: nothing
}

// Narrowing takes from what a Router may do for a request. It can add nothing: what
// the Router would not do it does not do with one either. The methods are called
// within the Router's own.
type Narrowing interface {
	// Allows tells whether a server may get the request. The origin is not asked for.
	Allows(server uint32) bool
	// Timeout is how long one attempt may take at the most.
	Timeout() time.Duration
	// Repeats tells whether there may be another attempt after some, fetches after
	// a miss not counted, of which the last ended with a status.
	Repeats(attempts int, last Status) bool
	// Spend takes a repeat that is about to be made out of a budget, and tells
	// whether it had one.
	Spend(now time.Duration) bool
	// Copies tells whether two attempts may be out at once.
	Copies() bool
}

// Status is how an attempt ended.
type Status uint8

// The ways an attempt can end.
const (
	OK            Status = iota
	ServerError          // may have run
	Full                 // turned away unseen
	Timeout              // may have run, may still be running
	ConnectFailed        // never reached the server
	Reset                // may have run
	Cancelled            // may have run
	Moot                 // never sent
	Miss                 // not held there
)

// Outcome is the end of one attempt.
type Outcome struct {
	Request uint32
	Attempt int
	Server  uint32
	Status  Status
	Latency time.Duration
	Closed  bool // the request is closed; nothing is owed for it
}

// Actions is what a Router can ask of the proxy that embeds it.
type Actions interface {
	// Send starts the next attempt of a request. Attempts count from 0.
	Send(request, server uint32, timeout time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(request uint32, attempt int)
	// CloseIdle closes the proxy's idle connections to a server.
	CloseIdle(server uint32)
	// Refuse ends a request; trying again is harmless.
	Refuse(request uint32, retryAfter time.Duration)
	// Fail ends a request and promises nothing.
	Fail(request uint32)
	// SetTimer asks for a call of Router.Timer with this token.
	SetTimer(token uint64, delay time.Duration)
	// FetchList asks once for the whole server list.
	FetchList()
	// Watch subscribes to changes of the server list, or ends that.
	Watch(on bool)
	// Log writes a line for on-call staff.
	Log(text string)
}

// Events is the other half of the interface: what a proxy reports. *Router
// implements it; now is the proxy's clock, which never goes back.
type Events interface {
	List(now time.Duration, kind ListKind, servers []Server)
	Request(now time.Duration, q Request)
	Outcome(now time.Duration, o Outcome)
	Streaming(now time.Duration, request uint32, attempt int)
	ClientGone(now time.Duration, request uint32)
	Timer(now time.Duration, token uint64)
}

var _ Events = (*Router)(nil)
