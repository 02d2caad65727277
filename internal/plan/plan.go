// Package plan gives an operator's file its meaning: it loads the file with what it
// includes, checks each value and the whole against the rules of the platform, and
// compiles routes, pools and policies to a table that is looked up for each
// invocation.
//
// It does no I/O of its own: files are read by a function that it is given. A plan
// that comes out of Load breaks no rule of the platform, and it only narrows what
// the decision module may do.
package plan

import (
	"net/netip"
	"strconv"
	"time"

	"hoptiller"
	"hoptiller/internal/opfile"
	"hoptiller/internal/unit"
)

// Platform is what a router is told by its platform, as far as files are checked
// against it.
type Platform struct {
	Settings     hoptiller.Settings
	Classes      []string // names, by number
	Zones, Kinds []string // names, by number
	MemoryMB     int64    // 0: no limit stated
	Sockets      int      // descriptors; 0: no limit stated
}

// Outcomes is a set of ways in which a call can end.
type Outcomes uint16

// Of makes a set of one.
func Of(s hoptiller.Status) Outcomes { return 1 << s }

// Has tells whether an outcome is in the set.
func (o Outcomes) Has(s hoptiller.Status) bool { return o&Of(s) != 0 }

// outcomeNames are the names of the outcomes after which a call may be repeated. What a miss leads to
// is no repeat, and what was given up by the router itself is the module's affair.
var outcomeNames = []struct {
	name   string
	status hoptiller.Status
}{
	{"full", hoptiller.Full}, {"unreachable", hoptiller.ConnectFailed}, {"error", hoptiller.ServerError},
	{"timeout", hoptiller.Timeout}, {"reset", hoptiller.Reset},
}

// AllOutcomes are all that a file can name. After those in NeverRan a call is sure not to have run.
const (
	AllOutcomes = Outcomes(1<<hoptiller.Full | 1<<hoptiller.ConnectFailed | 1<<hoptiller.ServerError |
		1<<hoptiller.Timeout | 1<<hoptiller.Reset)
	NeverRan = Outcomes(1<<hoptiller.Full | 1<<hoptiller.ConnectFailed)
)

// Pool is a set of providers: those that fit all of what is stated.
type Pool struct {
	Name     string
	Zones    []int
	Kinds    []int
	Cells    []int
	Addrs    []string // host:port
	AtLeast  int      // providers below which the pool counts as empty
	Fallback string   // name of the pool that stands in for an empty one; "": requests are refused
	pos      places
}

// Concurrency bounds the invocations of a policy that are out at once.
type Concurrency struct {
	Adaptive    bool
	Least, Most int // a fixed limit has both the same; 0 for none
}

// Policy narrows what the module may do for an invocation. Zero values narrow nothing.
type Policy struct {
	Name        string
	Timeout     time.Duration // of one call
	Attempts    int           // calls, the first one included, without fetches after a miss
	Repeat      Outcomes      // after which another call may be made
	RepeatSaid  bool          // Repeat is stated
	Copies      int           // calls out at once
	Budget      float64       // repeats for each invocation, as a part of one
	BudgetLeast float64       // repeats a second that are allowed anyway
	BudgetSaid  bool
	Concurrency Concurrency
	Queue       int           // invocations that may wait for one of the others to end
	QueueFor    time.Duration // and how long
	Rate        float64       // invocations a second; 0: no limit
	Burst       float64       // and how many at once
	Priority    int           // the lowest is shed first; 0 to 9
	pos         places
}

// Route says which invocations get which pool and policy. Of the routes that fit,
// the one with the highest rank is taken, then the one with the longest key prefix,
// the longest client prefix, a tenant, and a class.
type Route struct {
	Name    string
	Classes []int // none: all
	Keys    []string
	Tenants []string
	Clients []netip.Prefix
	Rank    int
	Pool    *Pool   // nil: all providers
	Policy  *Policy // nil: narrows nothing
	pos     places
}

// Listener is a further address at which clients are served.
type Listener struct {
	Name string
	Addr string
	pos  places
}

// Limits bound the whole program; 0 leaves what the platform's limits give.
type Limits struct {
	Clients   int // client connections at once
	Open      int // invocations at once beyond the first of each connection
	Providers int // connections to slot caches
	Origin    int // connections to the origin
	Places    int // connections that each core of a slot cache accepts from all routers

	// All routes share this one, and what has a low priority makes room first.
	Concurrency Concurrency
	Queue       int
	QueueFor    time.Duration
	pos         places
}

// Log says what is logged.
type Log struct {
	Level  string  // debug, info, warn or error
	Format string  // text or json
	Rate   float64 // records a second of one kind
	pos    places
}

// Fleet says what routers do together.
type Fleet struct {
	View    string // on or off; empty: as the platform's settings have it
	Out     Bound  // how many routers may be out by agreement; the zero value: one
	OutZone Bound  // and how many of a zone; the zero value: as many as of the fleet

	Caches     Bound // the same of slot caches
	CachesZone Bound
	pos        places
}

// Bound is a number, or a part of a group.
type Bound struct {
	Number int
	Part   float64 // of 1; 0: the number is meant
}

func (b Bound) text(unstated string) string {
	if b == (Bound{}) {
		return unstated
	}
	return b.String()
}

// String implements fmt.Stringer.
func (b Bound) String() string {
	if b.Part > 0 {
		return unit.Format(b.Part, unit.Part)
	}
	return strconv.Itoa(b.Number)
}

// Plan is the meaning of a file.
type Plan struct {
	Routes    []*Route // in the order of their names
	Pools     map[string]*Pool
	Policies  map[string]*Policy
	Listeners map[string]*Listener
	Limits    Limits
	Log       Log
	Fleet     Fleet

	platform *Platform
	table    *Table
}

// Empty is the plan of a router without an operator's file.
func Empty(p *Platform) *Plan {
	plan := newPlan(p)
	plan.table = compile(plan)
	return plan
}

func newPlan(p *Platform) *Plan {
	return &Plan{Pools: map[string]*Pool{}, Policies: map[string]*Policy{}, Listeners: map[string]*Listener{},
		Log: Log{Level: "info", Format: "text", Rate: 1}, platform: p}
}

// Table is what invocations are looked up in.
func (p *Plan) Table() *Table { return p.table }

// Platform is what the plan was checked against.
func (p *Plan) Platform() *Platform { return p.platform }

// places says where a thing is stated, and each of its figures.
type places map[string]place

type place struct {
	pos   opfile.Pos
	width int
}

func (p places) of(name string) place {
	if at, ok := p[name]; ok {
		return at
	}
	return p[""]
}
