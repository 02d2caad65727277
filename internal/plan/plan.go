// Package plan compiles an operator's file. It loads the file with its includes, checks each value and the complete
// plan against the rules of the platform, and compiles routes, pools and policies to a table in which each request is
// looked up.
//
// The package does no I/O of its own: a function that its caller provides reads the files. A plan that Load returns
// violates no rule of the platform, and it can only restrict what the decision module may do.
package plan

import (
	"net/netip"
	"strconv"
	"time"

	"hoptiller"
	"hoptiller/internal/opfile"
	"hoptiller/internal/unit"
)

// Platform holds the settings from the platform that files are checked against.
type Platform struct {
	Settings     hoptiller.Settings
	Classes      []string // names, by number
	Zones, Kinds []string // names, by number
	MemoryMB     int64    // 0: no limit stated
	Sockets      int      // file descriptors; 0: no limit stated
}

// Outcomes is a set of outcomes of a call.
type Outcomes uint16

// OutcomeSet returns the set of one outcome.
func OutcomeSet(s hoptiller.Status) Outcomes { return 1 << s }

// Contains reports whether an outcome is in the set.
func (o Outcomes) Contains(s hoptiller.Status) bool { return o&OutcomeSet(s) != 0 }

// outcomeNames maps the outcomes after which a call may be retried to their names. The fetch that follows a miss is
// not a retry, and the decision module handles attempts that the router itself has cancelled.
var outcomeNames = []struct {
	name   string
	status hoptiller.Status
}{
	{"full", hoptiller.TurnedAway}, {"unreachable", hoptiller.ConnectFailed}, {"error", hoptiller.ServerError},
	{"timeout", hoptiller.Timeout}, {"reset", hoptiller.Reset},
}

// AllOutcomes contains all outcomes that a file can name. NeverRan contains those after which a call has certainly
// not run.
const (
	AllOutcomes = Outcomes(1<<hoptiller.TurnedAway | 1<<hoptiller.ConnectFailed | 1<<hoptiller.ServerError |
		1<<hoptiller.Timeout | 1<<hoptiller.Reset)
	NeverRan = Outcomes(1<<hoptiller.TurnedAway | 1<<hoptiller.ConnectFailed)
)

// Pool selects the cache servers that match all stated fields.
type Pool struct {
	Name      string
	Zones     []int
	Kinds     []int
	Cells     []int
	Addrs     []string // host:port
	AtLeast   int      // the pool counts as empty if it has fewer cache servers
	Fallback  string   // name of the pool that replaces an empty one; "": requests are refused
	locations locationMap
}

// Concurrency limits the number of requests of a policy that are in flight at once.
type Concurrency struct {
	Adaptive bool
	Min, Max int // bounds of the limit: equal for a fixed one, 0 for none
}

// Policy restricts what the decision module may do for a request. Zero values restrict nothing.
type Policy struct {
	Name           string
	Timeout        time.Duration // timeout of one call
	Attempts       int           // number of calls, including the first, without fetches after a miss
	RetryOn        Outcomes      // outcomes after which a retry is allowed
	RetryStated    bool          // the file has a repeat statement, which may be "repeat never"
	MaxInFlight    int           // number of calls in flight at once
	Budget         float64       // retries for each request, as a fraction
	BudgetMinRate  float64       // retries per second that are always allowed
	BudgetStated   bool          // the file states a budget
	Concurrency    Concurrency
	MaxQueueLength int           // number of requests that may wait for another one to end
	MaxQueueTime   time.Duration // longest wait in the queue
	Rate           float64       // requests per second; 0: no limit
	Burst          float64       // number of requests that may exceed the rate at once
	Priority       int           // 0 to 9; the lowest priority is shed first
	locations      locationMap
}

// Route assigns a pool and a policy to the requests that it matches. If several routes match, the order of precedence
// is: the highest rank, the longest key prefix, the longest client prefix, a route with tenants, a route with
// classes.
type Route struct {
	Name      string
	Classes   []int // none: all
	Keys      []string
	Tenants   []string
	Clients   []netip.Prefix
	Rank      int
	Pool      *Pool   // nil: all cache servers
	Policy    *Policy // nil: no restrictions
	locations locationMap
}

// Listener is an additional address at which clients are served.
type Listener struct {
	Name      string
	Addr      string
	locations locationMap
}

// Limits holds the limits of the whole program. 0 leaves a limit to the platform.
type Limits struct {
	ClientConns  int // client connections at once
	OpenRequests int // requests in flight at once, beyond the first of each connection
	CacheConns   int // connections to slot caches
	OriginConns  int // connections to the origin
	ConnsPerCore int // connections that each core of a slot cache accepts from all routers

	// All routes share these limits. Requests of a low priority are shed first.
	Concurrency    Concurrency
	MaxQueueLength int
	MaxQueueTime   time.Duration
	locations      locationMap
}

// Log configures logging.
type Log struct {
	Level     string  // debug, info, warn or error
	Format    string  // text or json
	Rate      float64 // records per second of one kind
	locations locationMap
}

// Fleet configures how the routers cooperate.
type Fleet struct {
	View              string // on or off; empty: as the platform's settings state
	RoutersOut        Bound  // how many routers may be out of service by permit; zero value: one
	RoutersOutPerZone Bound  // how many routers of one zone may be; zero value: as many as of the fleet

	CachesOut        Bound // how many slot caches of the fleet may be out of service by permit
	CachesOutPerZone Bound // how many slot caches of one zone may be
	locations        locationMap
}

// Bound is a number of group members, or a fraction of the group.
type Bound struct {
	Number   int
	Fraction float64 // 0: Number applies
}

func (b Bound) text(unstated string) string {
	if b == (Bound{}) {
		return unstated
	}
	return b.String()
}

// String implements fmt.Stringer.
func (b Bound) String() string {
	if b.Fraction > 0 {
		return unit.Format(b.Fraction, unit.Fraction)
	}
	return strconv.Itoa(b.Number)
}

// Plan is a compiled file.
type Plan struct {
	Routes    []*Route // sorted by name
	Pools     map[string]*Pool
	Policies  map[string]*Policy
	Listeners map[string]*Listener
	Limits    Limits
	Log       Log
	Fleet     Fleet

	platform *Platform
	table    *Table
}

// Empty returns the plan of a router without an operator's file.
func Empty(p *Platform) *Plan {
	plan := newPlan(p)
	plan.table = compile(plan)
	return plan
}

func newPlan(p *Platform) *Plan {
	return &Plan{Pools: map[string]*Pool{}, Policies: map[string]*Policy{}, Listeners: map[string]*Listener{},
		Log: Log{Level: "info", Format: "text", Rate: 1}, platform: p}
}

// Table returns the table in which requests are looked up.
func (p *Plan) Table() *Table { return p.table }

// Platform returns the platform settings that the plan was checked against.
func (p *Plan) Platform() *Platform { return p.platform }

// locationMap maps the names of statements to their locations. The empty name stands for the whole block.
type locationMap map[string]location

// location is a range of characters in a file.
type location struct {
	pos   opfile.Pos
	width int
}

// lookup returns the location of a statement, or that of the block if the statement is missing.
func (m locationMap) lookup(name string) location {
	if loc, ok := m[name]; ok {
		return loc
	}
	return m[""]
}
