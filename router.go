package hoptiller

// All decisions of the library are in this file, slow_start.go, pressure.go, window.go and gate.go; api.go
// has the interface.
//
// A read goes to the ready server with the lowest -ln(1-r)/w, r = h(server, h(key)) in [0,1),
// w = rating x fade(age) x health x path x speed, the last three 1 on the ordinary path. choose walks
// that ranking: the first with room gets the request. What guards against trouble lowers a weight, or
// skips a server for one request. Times, rates and sizes come from the settings and what is seen.

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"hoptiller/internal/fleet/connlimit"
)

const (
	watchFirst = 600 * time.Millisecond // usual wait after a first broken watch or failed call for the list
	watchMost  = time.Second            // after any: with the longest call under 6 s

	sweepTick = 10 * time.Millisecond // how finely deadlines and silence are watched

	tokSweep, tokWatch = 1, 2 // timers

	badAt       = 0.5  // an answer after this part of the aim, a time-out or a refusal is bad
	idleExcess  = 0.3  // idle connections lost this much more often than others are closed before use
	idleFade    = 20.0 // seconds over which that is forgotten, to try again
	keyMemory   = 96   // reads over which the parts of keys are judged
	hotPart     = 4.0  // homes for each server's worth of reads of one key
	farWeight   = 0.02 // what servers of other zones count where homes are in the own zone
	silentAfter = 4    // usual latencies without a word that are held for silence
	passedAfter = 5    // and that one waits for its answer when others have overtaken it,
	passedAim   = 0.6  // where that is less than this part of the aim: else another attempt is waste
	silentAim   = 0.75 // part of the aim that a server in good standing has at the least
	spread      = 3    // full servers looked at for a key
	pathExcess  = 0.4  // and held bad if so much worse than the best way
	speedLeast  = 1.5  // a kind of machine that takes so much longer than the fastest gets less
	speedOver   = 12.0 // outcomes over which a kind is judged
	pathOver    = 12.0 // outcomes over which the way to a zone is judged
	healthFade  = 20.0 // seconds over which outcomes fade
	healthPrior = 0.05 // good outcomes added: a first bad one in a long time moves nearly all keys
	healthMost  = 4    // and of them this many count at most
	healthSlack = 1.25 // a server this little under its peers counts in full
	healthLeast = 0.03 // what a sick server keeps of its weight, so that it is seen to mend
	keyHeld     = 20.0 // seconds for which a key answered here is held to be kept at its home
	originFirst = 2.4  // fetches that may be out at first for each cache, at all balancers
	originLeast = 4.0  // and at each of them
	originLate  = 1.5  // how much later a fetch may come than what is kept, and be no sign of a queue
	lateOver    = 8.0  // fetches over which late ones are counted:
	lateBorne   = 0.15 // one of them is its own work, a second is a queue
	comeBack    = 0.25 // part of the aim after which the refused are told to come: two waits and answers fit
)

// server is what this instance knows of one server process.
type server struct {
	Server
	origin     bool
	unlisted   bool          // has left a list that is no proof of that
	weight     float64       // rating x fade x health, as of the last sweep
	score      float64       // for the key ranked last
	out        int           // own attempts outstanding
	most       int           // out at once since the window was cut
	heard      time.Duration // last answer of any kind
	passed     time.Duration // when the latest attempt that has an answer was sent
	late       float64       // of an origin: part of its latest reads
	window     float64       // own attempts that may be out before keys pass on
	cutAt      time.Duration
	idleAt     time.Duration // end of the last attempt; 0: none since connections were last closed
	seen, sick float64       // outcomes and bad ones of the last seconds, as of seenAt
	seenAt     time.Duration
	asked      float64 // lately, of a cold server; see coldRoom
	askedAt    time.Duration
	sent       []time.Duration // own attempts of the latest fall window
	toldAt     time.Duration   // when this start was listed
	coldSince  time.Duration   // when the process started, at the latest
	presumed   presumption     // of a start that is not listed yet
}

// attempt is one send of a request.
type attempt struct {
	to        *server
	at        time.Duration
	open      bool
	withdrawn bool
	ran       bool          // may have run: not known to have been turned away
	idle      time.Duration // how long its connection had been without use; 0: a new one, or one in use
	stale     bool          // lost with an idle connection, which says nothing of the server
	spent     bool          // out of the budget
	failed    bool          // ended with an error
	ended     Status        // once it is not open
}

// request is one client request that is not closed, or whose attempts are still out.
type request struct {
	Request
	class   *Class
	end     time.Duration // latest time for the final answer
	low     bool          // beyond its tenant's share
	fresh   bool          // a read that its server may have to fetch from the origin
	closed  bool
	missed  bool // its home answered miss
	granted int  // misses, each of which grants an attempt outside the budget
	tries   []attempt
}

// bucket meters one tenant's traffic against its share.
type bucket struct {
	level float64
	at    time.Duration
}

// Router decides for one balancer instance. Make one with New.
type Router struct {
	set             Settings
	act             Actions
	rng, salt       uint64
	now             time.Duration
	known           map[uint32]*server // listed, or with attempts still out
	caches, origins []*server          // ready, by id
	reqs            map[uint32]*request
	order           []*request     // by arrival, until the sweep after their last outcome
	keys            map[uint64]int // reads lately, by key
	reads           int            // and in all
	buckets         []bucket
	taken, further  []time.Duration // requests, and attempts out of the budget, within its window
	usual           []float64       // smoothed latency of answers by class, seconds
	ranked          []*server

	former   formerStarts
	listedAt time.Duration // when the list was told or changed last; 0: not yet
	firstAt  time.Duration // when the first one was told

	rate              float64 // answers a second from warm caches, smoothed
	served            int     // of them that were no misses
	carried, warm     float64 // and those a second, and the weight of warm caches, smoothed alike
	rateAt            time.Duration
	answers, arrived  int
	arrivals          float64       // requests a second, smoothed
	hits              float64       // part of the answers of caches, smoothed
	upWeight          float64       // weight of all servers that are up
	unit              float64       // answers a second that a unit of warm weight is seen to carry
	lostIdle, lostNew float64       // parts of attempts lost on idle connections, and on others
	reapAge           time.Duration // the shortest that one of them had been without use
	bad               float64       // part of outcomes over all servers that are signs of load
	ill               float64       // and of all trouble
	badFetch, badKept float64       // parts that end badly of what needs the origin, and of the rest
	fetchAt           time.Duration // last outcome of such
	gate              float64       // part of the reads that need the origin that is let through
	gateFalling       bool          // the latest fetch that counts ended badly
	gateBefore        float64       // the gate when such a run began
	fetchedWell       time.Duration // when the latest fetch was sent that ended well

	help  float64                  // part of requests that another server answers after an error
	times map[int]float64          // latencies over the usual, by kind of machine
	paths map[int]float64          // parts of bad outcomes, by the server's zone
	held  map[uint64]time.Duration // when keys were last answered here

	pressure           float64 // 0 at ease; traffic beyond shares is turned away up to 1, then reads
	trials             trials  // of reads, while nearly all are turned away
	sweeping, watching bool
	watchFail          int
	logged             map[string]time.Duration
}

var unknownClass = Class{Effect: AtMostOnce, Worth: 1, LateValue: 1}

// New returns a Router without servers; seed is its one source of chance.
func New(now time.Duration, set Settings, seed uint64, act Actions) *Router {
	if set.MaxAttempts <= 0 {
		set.MaxAttempts = 1
	}
	r := &Router{set: set, act: act, rng: seed, salt: mix(seed), now: now,
		known: map[uint32]*server{}, reqs: map[uint32]*request{}, keys: map[uint64]int{},
		logged: map[string]time.Duration{}, former: formerStarts{},
		buckets: make([]bucket, len(set.Tenants)), usual: make([]float64, len(set.Classes)),
		rateAt: now, gate: 1, help: 1, hits: 1, held: map[uint64]time.Duration{},
		paths: map[int]float64{}, times: map[int]float64{}}
	for i := range r.buckets {
		r.buckets[i] = bucket{r.tenantRate(i) + 10, now}
	}
	if set.ListOnRequest {
		act.SetTimer(tokWatch, r.jitter(set.AskWithin/20))
	}
	return r
}

// ---- the list ----

// List takes what discovery says of the servers.
func (r *Router) List(now time.Duration, kind ListKind, entries []Server) {
	r.now = now
	if kind == ListFailed {
		r.watching = false
		r.watchFail++
		base := min(watchFirst*time.Duration(r.watchFail), watchMost)
		base = min(base, cmp.Or(r.set.AskWithin/4, base))
		r.act.SetTimer(tokWatch, base/2+r.jitter(base))
		return
	}
	if kind != ListCached && r.set.ListOnRequest {
		r.watchFail = 0 // it may be the last word of a watch whose successor is still to be opened
	}
	r.firstAt = cmp.Or(r.firstAt, now)
	listed := make(map[uint32]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.entry(e, kind)
	}
	if kind != ListDelta {
		for id, s := range r.known {
			if !listed[id] {
				r.leave(s)
			}
		}
	}
	if kind != ListCached { // which may be of long ago
		r.listedAt = now
	}
	r.rebuild()
}

// entry takes one list entry. A new start time is a new process: what was learned of the
// old one is forgotten, but its attempts still count until their outcomes are in.
func (r *Router) entry(e Server, kind ListKind) {
	s := r.known[e.ID]
	if s != nil && e.Phase == Gone {
		r.leave(s)
		return
	}
	if s == nil {
		s = &server{}
		r.known[e.ID] = s
	}
	if s.Started != e.Started || s.window == 0 {
		coldSince := r.startOf(s, &e, kind)
		*s = server{out: s.out, window: math.Inf(1), heard: r.now, sent: s.sent,
			toldAt: r.now, coldSince: coldSince}
	}
	if !(e.Weight > 0) || math.IsInf(e.Weight, 1) {
		e.Weight = 1
	}
	s.Server, s.unlisted = e, false
	s.origin = r.set.OriginKind >= 0 && e.Kind == r.set.OriginKind
	if !s.origin {
		r.times[e.Kind] = cmp.Or(r.times[e.Kind], 1)
	}
}

// leave takes a server's absence from the list. Where that binds no one, one that was not told to
// drain keeps its keys for as long as it answers; the first bad outcome then ends it.
func (r *Router) leave(s *server) {
	if r.set.RemovalNotBinding && s.Phase == Ready {
		s.unlisted = true
	} else {
		s.Phase = Gone
	}
}

// rebuild keeps the ready servers in order of id, so that no result hangs on map order.
func (r *Router) rebuild() {
	r.caches, r.origins = r.caches[:0], r.origins[:0]
	for id, s := range r.known {
		if s.Phase == Gone && s.out == 0 {
			r.former.keep(s)
			delete(r.known, id)
		} else if s.Phase == Ready && s.origin {
			r.origins = append(r.origins, s)
		} else if s.Phase == Ready {
			r.caches = append(r.caches, s)
		}
	}
	byID := func(a, b *server) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(r.caches, byID)
	slices.SortFunc(r.origins, byID)
	r.weigh()
}

// ---- the ranking ----

func (r *Router) weigh() {
	r.followPresumed()
	r.upWeight = 0
	for _, s := range r.caches {
		rating := s.Weight * r.listedFade(s)
		s.weight = rating * r.health(s) * r.path(s.Zone) * r.speed(s.Kind) * r.near(s.Zone)
		r.upWeight += s.weight
	}
}

// mix is a 64-bit finaliser of good quality (the constants are splitmix64's).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score is the paper's height of a key at a server.
func score(id uint32, hashedKey uint64, weight float64) float64 {
	u := (float64(mix(hashedKey^mix(uint64(id)))>>11) + 0.5) / (1 << 53)
	return -math.Log1p(-u) / weight
}

// ranking yields the ready caches by score, lowest first, ties by id. The first takes one pass.
func (r *Router) ranking(q *request) iter.Seq[*server] {
	x := q.Key
	if x == 0 {
		x = mix(uint64(q.ID) ^ r.rng) // no key: any server, the same one on each try
	}
	x = mix(x)
	for _, s := range r.caches {
		s.score = score(s.ID, x, s.weight)
	}
	return func(yield func(*server) bool) {
		rest := append(r.ranked[:0], r.caches...)
		r.ranked = rest
		for ; len(rest) > 0; rest = rest[1:] {
			best := 0
			for i, s := range rest {
				if b := rest[best]; s.score < b.score || s.score == b.score && s.ID < b.ID {
					best = i
				}
			}
			rest[0], rest[best] = rest[best], rest[0]
			if !yield(rest[0]) {
				return
			}
		}
	}
}

// count keeps the reads of late by key; all counts are halved once there are keyMemory.
func (r *Router) count(key uint64) {
	r.keys[key]++
	if r.reads++; r.reads < keyMemory {
		return
	}
	r.reads /= 2
	for k, n := range r.keys {
		if r.keys[k] = n / 2; n < 2 {
			delete(r.keys, k)
		}
	}
}

// part tells what part of the reads a key has.
func (r *Router) part(key uint64) float64 {
	return float64(r.keys[key]) / float64(max(r.reads, keyMemory/2))
}

// homes guards against hot keys, which no window shows where each instance sees little: one with
// more than a quarter of a server's worth of the reads gets as many next-best homes as carry it,
// the instances spread evenly over them. It tells how many of the first to pass over.
func (r *Router) homes(q *request) int {
	part, n := r.part(q.Key), float64(len(r.caches))
	if len(q.tries) > 0 || part*n < 1 || r.keys[q.Key] < 3 { // two by chance would be a miss at each home
		return 0
	}
	return int(float64(mix(q.Key^r.salt)>>11) / (1 << 53) * math.Ceil(min(1, part*hotPart)*n))
}

// choose walks the ranking for a server that is up, has room and may get the request,
// untried ones first. Where the first few are full, to walk on would only spread cold keys.
func (r *Router) choose(q *request) *server {
	var tried *server
	full, pass := 0, r.homes(q)
	for s := range r.ranking(q) {
		if q.Narrow != nil && !q.Narrow.Allows(s.ID) {
			continue
		}
		if !r.coldRoom(q, s, full+len(q.tries) == 0) || !r.mayResend(q, s) {
			continue
		}
		if pass--; pass >= 0 || q.tried(s) {
			tried = cmp.Or(tried, s)
			continue
		}
		if r.hasRoom(s) {
			return s
		}
		if full++; full >= spread {
			return nil
		}
	}
	return tried
}

// tried tells whether a server had its chance: not where a connection ended that is no fault of it.
func (q *request) tried(s *server) bool {
	had := func(t attempt) bool { return t.to == s && !t.stale && !(t.withdrawn && s.passed > t.at) }
	return slices.ContainsFunc(q.tries, had)
}

func (q *request) out() bool {
	return slices.ContainsFunc(q.tries, func(t attempt) bool { return t.open })
}

// ---- requests ----

func (r *Router) classOf(i int) *Class {
	if i < 0 || i >= len(r.set.Classes) {
		return &unknownClass
	}
	return &r.set.Classes[i]
}

// Request takes a client request.
func (r *Router) Request(now time.Duration, in Request) {
	r.now = now
	if r.reqs[in.ID] != nil {
		return
	}
	if r.set.BudgetWindow > 0 {
		r.taken = append(since(r.taken, now-r.set.BudgetWindow), now)
	}
	if r.arrived++; in.Key != 0 && !in.Write {
		r.count(in.Key)
	}
	q := &request{Request: in, class: r.classOf(in.Class), tries: make([]attempt, 0, 3)}
	q.end = now + in.Remaining
	q.low = !r.withinShare(in.Tenant)
	if (q.class.LateValue <= 0 || r.set.TailPart > 0) && q.class.Aim > 0 {
		// Later is worth nothing, or less: say so early. A client's own retry had its lack of time before.
		spent := time.Duration(one(q.Retry)) * max(0, q.class.Deadline-q.Remaining)
		q.end = min(q.end, now+q.class.Aim-spent-r.set.Tick)
	}
	r.reqs[in.ID] = q
	r.order = append(r.order, q)
	r.armSweep()
	away := r.turnsAway(q)
	if q.fresh = r.mayMiss(q); away || q.fresh && r.chance() > r.gate {
		r.finish(q, true)
		return
	}
	r.dispatch(q)
}

// mayMiss tells whether a server may have to fetch a read's key from the origin.
func (r *Router) mayMiss(q *request) bool {
	at, ok := r.held[q.Key]
	return !r.set.Aside && q.Key != 0 && !q.Write && (!ok || (r.now-at).Seconds() > keyHeld)
}

func (r *Router) balancers() float64       { return float64(max(r.set.Balancers, 1)) }
func (r *Router) tenantRate(i int) float64 { return r.set.Tenants[i].Allowance / r.balancers() }

// withinShare meters a tenant's traffic against this instance's part of the allowance. The bucket
// holds a second of it and thirty requests, a third at the start: small numbers come by chance.
func (r *Router) withinShare(tenant int) bool {
	if tenant < 0 || tenant >= len(r.buckets) {
		return true
	}
	b, rate := &r.buckets[tenant], r.tenantRate(tenant)
	b.level = min(b.level+rate*(r.now-b.at).Seconds(), rate+30)
	b.at = r.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// dispatch sends a request to where it belongs now, or ends it.
func (r *Router) dispatch(q *request) {
	feeds := len(q.tries) > 0 && !q.missed && r.pressure > 1 // another attempt feeds an overload
	short := (q.end - r.now).Seconds() < r.usualOf(q)
	used := len(q.tries) >= r.set.MaxAttempts
	if feeds || !r.mayTry(q) || short || used || !q.mayRepeat() || !q.spend(r.now) {
		r.finish(q, true) // no useful answer can come any more
		return
	}
	if r.set.Aside && len(r.origins) > 0 && (q.missed || q.Write) {
		r.toOrigin(q)
		return
	}
	if s := r.choose(q); s != nil {
		r.send(q, s)
	} else if len(r.origins) > 0 && len(r.caches) == 0 {
		r.toOrigin(q)
	} else {
		r.finish(q, true)
	}
}

// toOrigin sends to the origin what it bears. A part of the reads would not do: a small one starves itself of
// the answers from which to learn that there is room again, and any part of a flood is a flood. So its window
// bounds what is out there, from the start: until a first sign of a queue came back it would be too late.
func (r *Router) toOrigin(q *request) {
	var s *server
	for _, o := range r.origins {
		if r.mayResend(q, o) && (s == nil || o.out < s.out) {
			s = o
		}
	}
	if s == nil {
		r.finish(q, false)
		return
	}
	if math.IsInf(s.window, 1) {
		s.window = max(originLeast, originFirst*float64(len(r.caches))/r.balancers())
	}
	if !q.Write && !r.hasRoom(s) {
		r.finish(q, true)
		return
	}
	r.send(q, s)
}

func (r *Router) send(q *request, s *server) {
	t := attempt{to: s, at: r.now, open: true, ran: true, idle: r.freshen(s)}
	if t.spent = len(q.tries) > 0 && q.granted == 0 && r.set.BudgetWindow > 0; t.spent {
		r.further = append(r.further, r.now)
	} else if len(q.tries) > 0 {
		q.granted = max(0, q.granted-1)
	}
	q.tries = append(q.tries, t)
	s.out++
	if !s.origin {
		s.sent = append(since(s.sent, r.now-r.fallWindow()), r.now)
	}
	s.most = max(s.most, s.out)
	if s.out == 1 {
		s.heard = r.now
	}
	timeout := q.end - r.now
	if q.Narrow != nil {
		timeout = min(timeout, max(q.Narrow.Timeout(), time.Millisecond))
	}
	r.act.Send(q.ID, s.ID, timeout)
}

// freshen guards against connections that are dropped unseen while idle: once some were found
// dead, those without use for nearly as long are closed first. It tells how long the one that
// a send will use had been idle.
func (r *Router) freshen(s *server) time.Duration {
	idle := r.now - s.idleAt
	if s.out > 0 || s.idleAt == 0 {
		return 0
	}
	if r.idleDies() && idle > r.reapAge*3/4 {
		r.act.CloseIdle(s.ID)
		return 0
	}
	return max(idle, 1)
}

// learnIdle tells dead idle connections from sick servers: by how much more often an attempt
// is lost on a connection that had been idle than on a new one or one in use. A dead one is reset
// before any work could be done.
func (r *Router) learnIdle(q *request, t *attempt, o *Outcome) {
	t.to.idleAt = r.now
	long := t.withdrawn || o.Latency.Seconds() > badAt*q.class.Aim.Seconds()
	early := o.Latency.Seconds() < r.usualOf(q)/2
	lost := o.Status == Reset && early || long && (o.Status == Timeout || o.Status == Cancelled)
	x := one(lost || o.Status == ConnectFailed)
	if t.idle == 0 || !lost && t.idle < r.reapAge {
		r.lostNew += (x - r.lostNew) / 4
		return
	}
	if lost && (r.lostIdle < 0.1 || t.idle < r.reapAge) {
		r.reapAge = t.idle
	}
	r.lostIdle += (x - r.lostIdle) / 8
	if t.stale = lost && r.idleDies(); t.stale && t.to.out == 0 {
		r.act.CloseIdle(t.to.ID)
		t.to.idleAt = 0
	}
}

func (r *Router) idleDies() bool { return r.lostIdle > r.lostNew+idleExcess }

func (r *Router) usualOf(q *request) float64 {
	if q.class == &unknownClass || r.usual[q.Class] == 0 {
		return q.class.Aim.Seconds() / 4
	}
	return r.usual[q.Class]
}

// ---- effects ----

// mayResend is the one place that says whether a request may be sent to a server now.
func (r *Router) mayResend(q *request, s *server) bool {
	copied := !r.set.SecondCopies // two attempts out at the most
	for i := range q.tries {
		t := &q.tries[i]
		if t.open && copied {
			return false
		}
		copied = copied || t.open
		if !t.ran {
			continue
		}
		switch q.class.Effect {
		case AtMostOnce:
			return false
		case Deduplicated:
			if r.now >= r.forgotten(q, t) || !sameGroup(q.class.Group, t.to, s) {
				return false
			}
		}
	}
	return true
}

// forgotten is when servers may no longer drop repeats of an attempt, from when it may have come first.
func (r *Router) forgotten(q *request, t *attempt) time.Duration {
	return t.at + q.class.KeyTTL - 2*r.set.Tick
}

func sameGroup(g Group, a, b *server) bool {
	return (g != GroupZone || a.Zone == b.Zone) && (g != GroupCell || a.Cell == b.Cell)
}

// mayTry is the one place that says whether the budget has room for a further attempt now. Requests
// count within the open window and attempts within the closed one, which is right or on the safe side.
func (r *Router) mayTry(q *request) bool {
	if len(q.tries) == 0 || q.granted > 0 || r.set.BudgetWindow <= 0 {
		return true
	}
	from := r.now - r.set.BudgetWindow
	r.taken, r.further = since(r.taken, from+1), since(r.further, from)
	room := max(0, r.set.BudgetFree) + max(0, r.set.BudgetRatio)*float64(len(r.taken))
	return float64(len(r.further)+1) <= room
}

// mayRepeat tells whether the operator lets a request be called again after what its last attempt came to,
// or, while that is out, be taken from it. What follows a miss is no repeat.
func (q *request) mayRepeat() bool {
	n := len(q.tries)
	if n == 0 || q.Narrow == nil || !q.tries[n-1].open && q.tries[n-1].ended == Miss {
		return true
	}
	calls, last := 0, q.tries[n-1].ended
	for i := range q.tries {
		if t := &q.tries[i]; t.open || t.ended != Miss {
			calls++
		}
	}
	if q.tries[n-1].open {
		last = Timeout
	}
	return q.Narrow.Repeats(calls, last)
}

// spend takes a repeat out of the operator's budget, if it has one.
func (q *request) spend(now time.Duration) bool {
	n := len(q.tries)
	if n == 0 || q.Narrow == nil || !q.tries[n-1].open && q.tries[n-1].ended == Miss {
		return true
	}
	return q.Narrow.Spend(now)
}

// since drops the times before one.
func since(times []time.Duration, from time.Duration) []time.Duration {
	n, _ := slices.BinarySearch(times, from)
	return times[n:]
}

// mayRefuse is the one place that says whether trying again can be called harmless.
func (r *Router) mayRefuse(q *request) bool {
	if q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(q.tries, func(t attempt) bool { return t.ran })
}

// finish gives the final answer: a refusal where that is true and asked for, else a failure.
func (r *Router) finish(q *request, refuse bool) {
	r.withdraw(q)
	if refuse && r.mayRefuse(q) {
		r.act.Refuse(q.ID, min(r.set.MaxRetryAfter, time.Duration(comeBack*float64(q.class.Aim))))
	} else {
		r.act.Fail(q.ID)
	}
	r.close(q)
}

func (r *Router) withdraw(q *request) {
	for i := range q.tries {
		if q.tries[i].open && r.set.MayCancel {
			r.act.Cancel(q.ID, i)
		}
	}
}

// close marks a request as answered and drops it once no attempt is out.
func (r *Router) close(q *request) {
	if q.closed = true; !q.out() {
		delete(r.reqs, q.ID)
	}
}

// ---- outcomes ----

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.now = now
	q := r.reqs[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.tries) || !q.tries[o.Attempt].open {
		return
	}
	t := &q.tries[o.Attempt]
	t.open, t.ended = false, o.Status
	t.ran = o.Status != Full && o.Status != ConnectFailed && o.Status != Moot && o.Status != Miss
	t.to.out--
	if o.Status == Miss {
		q.granted++
	} else if i := slices.Index(r.further, t.at); o.Status == Moot && t.spent && i >= 0 {
		r.further = slices.Delete(r.further, i, i+1)
	}
	t.failed = o.Status == ServerError
	if n := o.Attempt; n > 0 && q.tries[n-1].failed && (t.failed || o.Status == OK || o.Status == Miss) {
		r.help += (one(!t.failed) - r.help) / 4
	}
	r.learnIdle(q, t, &o)
	if t.stale = t.stale || o.Status == Cancelled && !t.withdrawn; !t.stale {
		r.learn(q, t.to, &o)
		r.learnWindow(q, t, &o)
		r.learnPressure(q, t, &o)
	}
	if o.Closed || q.closed {
		r.close(q)
	} else if o.Status == Reset && !t.stale && o.Attempt > int(one(q.missed)) ||
		t.failed && r.chance() >= r.help {
		r.finish(q, true)
	} else {
		q.missed = q.missed || o.Status == Miss && !t.to.origin
		if !q.out() { // no second copy is still out
			r.dispatch(q)
		}
	}
}

// learn takes what an outcome says of its server. Outcomes that the client or an own
// cancel caused say nothing.
func (r *Router) learn(q *request, s *server, o *Outcome) {
	switch o.Status {
	case OK, Miss, Full, ServerError:
		s.heard, s.passed = r.now, max(s.passed, q.tries[o.Attempt].at)
	}
	if !s.origin && !q.Write && (o.Status == OK || o.Status == Timeout) {
		r.times[s.Kind] += (o.Latency.Seconds()/r.usualOf(q) - r.times[s.Kind]) / speedOver
	}
	if s.origin || o.Status != OK && o.Status != Miss {
		return
	}
	r.learnPresumed(s, q.tries[o.Attempt].at, o.Status == OK)
	if r.fade(s) >= 1 {
		r.served += int(one(o.Status == OK)) // a miss costs little, and tells nothing of what is carried
		r.answers++
	}
	if o.Status == OK && q.Key != 0 {
		r.held[q.Key] = r.now
	}
	if o.Status == OK && q.Class >= 0 && q.Class < len(r.usual) {
		l := o.Latency.Seconds()
		if u := &r.usual[q.Class]; *u == 0 {
			*u = l
		} else {
			*u += (l - *u) / 64
		}
	}
}

// Streaming takes the start of a streamed answer: the attempt is the client's from here.
func (r *Router) Streaming(now time.Duration, id uint32, _ int) {
	r.now = now
	if q := r.reqs[id]; q != nil {
		r.close(q)
	}
}

// ClientGone takes the leaving of a client: nothing more is owed. Where answers come in order a call ends
// only with its connection, and the next one's handshake costs a server what the rest of a read does: that
// runs on, to its time-out.
func (r *Router) ClientGone(now time.Duration, id uint32) {
	r.now = now
	if q := r.reqs[id]; q != nil && !q.closed {
		if !r.set.Ordered || q.Write || q.missed {
			r.withdraw(q)
		}
		r.close(q)
	}
}

// ---- time ----

// Timer takes a timer that has fallen due.
func (r *Router) Timer(now time.Duration, token uint64) {
	r.now = now
	switch token {
	case tokSweep:
		r.sweep()
	case tokWatch:
		if !r.watching && r.set.ListOnRequest {
			r.watching = true
			r.act.Watch(true)
		}
	}
}

func (r *Router) armSweep() {
	if !r.sweeping && len(r.order) > 0 {
		r.sweeping = true
		r.act.SetTimer(tokSweep, sweepTick)
	}
}

// sweep ends requests whose time is up and brings weights and rates up to date.
func (r *Router) sweep() {
	r.sweeping = false
	live := r.order[:0]
	for _, q := range r.order {
		if !q.closed && r.now > q.end {
			r.finish(q, false)
		}
		if r.rescue(q); r.reqs[q.ID] == q {
			live = append(live, q)
		}
	}
	clear(r.order[len(live):])
	r.order = live
	if span := (r.now - r.rateAt).Seconds(); span >= 0.1 {
		part := min(1, span/max(0.5, min(10, 32/max(r.rate, 1)))) // over at least 32 answers
		r.rate += (float64(r.answers)/span - r.rate) * part
		long := min(1, span/max(0.5, 32/max(r.rate, 1))) // as many even where they are few
		r.carried += (float64(r.served)/span - r.carried) * long
		r.arrivals += (float64(r.arrived)/span - r.arrivals) * part
		r.answers, r.served, r.arrived, r.rateAt = 0, 0, 0, r.now
		r.followPressure(span)
		r.gate = min(1, r.gate+gateMend*min(span, 1))
		r.help += (1 - r.help) * min(1, span/healthFade)
		for z := range r.paths {
			r.paths[z] *= math.Exp(-span / healthFade)
		}
		r.lostIdle *= math.Exp(-span / idleFade)
		r.learnUnit(span, long)
		for k, at := range r.held {
			if (r.now - at).Seconds() > keyHeld {
				delete(r.held, k)
			}
		}
		r.weigh()
	}
	r.armSweep()
}

// rescue guards against servers that drop what they get without a word: what is out at one that has not
// answered for several usual latencies is withdrawn and sent on. Only where that can't be, and second
// copies are allowed, one goes out, and only where other outcomes show the server sick and nothing overload:
// one silent request may be the trouble itself, and copies feed a queue. A withdrawal that the budget makes
// useless is not made.
func (r *Router) rescue(q *request) {
	if q.closed || len(q.tries) == 0 || len(q.tries) >= r.set.MaxAttempts || q.end-r.now < 2*sweepTick {
		return
	}
	t := &q.tries[len(q.tries)-1]
	if !t.open || t.to.origin || t.withdrawn || q.class.Effect == AtMostOnce {
		return
	}
	patience, sick := silentAfter*r.usualOf(q), t.to.weight <= t.to.Weight*r.listedFade(t.to)/2
	if !sick {
		patience = max(patience, silentAim*q.class.Aim.Seconds())
	}
	silent := r.now - max(t.to.heard, t.at)
	if l, aim := passedAfter*r.usualOf(q), q.class.Aim.Seconds(); t.to.passed > t.at && l < passedAim*aim {
		silent, patience = r.now-t.at, max(lateAt*aim, l) // its connection may be silent, not the server
	}
	if silent.Seconds() <= patience || !r.mayTry(q) || !q.mayRepeat() {
		return
	}
	if r.set.MayCancel {
		t.withdrawn = true
		r.act.Cancel(q.ID, len(q.tries)-1)
	} else if r.set.SecondCopies && sick && r.pressure <= 0.5 && (q.Narrow == nil || q.Narrow.Copies()) {
		if to := r.choose(q); to != nil && to != t.to && q.spend(r.now) {
			r.send(q, to)
		}
	}
}

// health guards against servers that are sick beside their peers: some of their keys pass on. It
// sets the good outcomes of late against those of all servers. Where an instance sees one in ten seconds
// a bad one moves nearly all keys: in sum a server loses as much as it is sick. What is shared moves nothing.
func (r *Router) health(s *server) float64 {
	old := math.Exp(-(r.now - s.seenAt).Seconds() / healthFade)
	good := (healthPrior + old*(s.seen-s.sick)) / (healthPrior + old*s.seen)
	return max(healthLeast, min(1, healthSlack*good/(1-min(r.ill, 0.9))))
}

// path guards against ways to a zone that are slow or lossy, and against the loss of a zone: what all
// its servers do worse than those of the best zone is the way's, and lowers their weight together.
func (r *Router) path(zone int) float64 {
	least := r.paths[zone]
	for _, bad := range r.paths {
		least = min(least, bad)
	}
	if r.paths[zone] >= least+pathExcess {
		return max(healthLeast, (1-r.paths[zone])/(1-least))
	}
	return 1
}

// near guards against more connections than fit: where no server holds one of each router, a key has a
// home in each zone, for the routers there. Other zones are next where that is sick, cold or gone.
func (r *Router) near(zone int) float64 {
	if zone != r.set.Zone && connlimit.Kept(r.set.Balancers, r.set.Places) == 0 {
		return farWeight
	}
	return 1
}

// speed guards against ratings that are too high for one kind of machine: what all servers of a kind
// take longer than those of the fastest lowers their weight together, much the same at all instances.
func (r *Router) speed(kind int) float64 {
	least := r.times[kind]
	for _, x := range r.times {
		least = min(least, x)
	}
	if r.times[kind] < least*speedLeast {
		return 1
	}
	return least / r.times[kind]
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// chance returns the next number of the instance's own sequence, in [0, 1).
func (r *Router) chance() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return float64(mix(r.rng)>>11) / (1 << 53)
}

func (r *Router) jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * r.chance()) }

// log writes at most one line of a kind each second.
func (r *Router) log(kind, text string) {
	if at, seen := r.logged[kind]; seen && r.now-at < time.Second {
		return
	}
	r.logged[kind] = r.now
	r.act.Log(text)
}
