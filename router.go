package hoptiller

// All decisions of the package are in this file, slow_start.go, pressure.go, window.go, gate.go and
// observations.go; api.go declares the interface.
//
// The servers for a key are ranked by weighted rendezvous hashing: a read goes to the ready server with the
// lowest -ln(1-r)/w, where r = h(server, h(key)) is in [0,1) and w = listed weight x warm-up x health x path
// x speed. The last three factors are 1 as long as nothing is wrong. chooseServer walks the ranking, and the
// first server with room gets the request. Each protection against a fault lowers a weight or skips a server
// for one request. Times, rates and sizes come from the settings and from what the router observes.

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"hoptiller/internal/fleet/connlimit"
)

const (
	// A watch that breaks or a call for the list that fails is repeated after about watchRetryFirst, and
	// after at most watchRetryMax on later failures. Together with the longest call, the wait is
	// less than 6 s.
	watchRetryFirst = 600 * time.Millisecond
	watchRetryMax   = time.Second

	sweepInterval = 10 * time.Millisecond // how often deadlines and silent servers are checked

	tokenSweep, tokenWatch = 1, 2 // timer tokens

	// A time-out, a refusal or an answer after this fraction of the aim is a bad outcome.
	badLatencyFraction = 0.5
	// Idle connections are closed before use if attempts on them are lost this much more often than on
	// others.
	idleLossExcess = 0.3
	// The loss on idle connections is forgotten over this many seconds, so that they are tried again.
	idleLossDecay = 20.0
	// A key's share of the reads is taken over the latest keyCountWindow reads.
	keyCountWindow = 96
	// A hot key gets this many homes for each server's worth of reads of that key.
	homesPerServerLoad = 4.0
	// If keys have a home in each zone, servers of other zones count with this fraction of their weight.
	otherZoneWeight = 0.02
	// A server is silent if it has sent nothing for this many usual latencies.
	silentLatencies = 4
	// An attempt is overtaken if its server has answered a later one. It may then wait for this many usual
	// latencies. The rule applies only if that is less than overtakenAimFraction of the aim; otherwise
	// another attempt would be wasted.
	overtakenLatencies   = 5
	overtakenAimFraction = 0.6
	// A server in good standing may be silent for at least this fraction of the aim.
	silentAimFraction = 0.75
	// This many full servers are passed for a key before the request is refused.
	maxFullServers = 3
	// The path to a zone is bad if its fraction of bad outcomes exceeds that of the best path by this much.
	pathBadExcess = 0.4
	// A kind of machine that takes at least this many times as long as the fastest kind gets fewer keys.
	minSlowdown   = 1.5
	speedOutcomes = 12.0 // a kind's latency is averaged over this many outcomes
	pathOutcomes  = 12.0 // a path's outcomes are averaged over this many
	healthDecay   = 20.0 // the weight of past outcomes decays over this many seconds
	// This many good outcomes are added to the count, so that a first bad outcome in a long time moves nearly
	// all keys of a server.
	healthPrior       = 0.05
	maxHealthOutcomes = 4 // at most this many past outcomes count
	// A server whose fraction of good outcomes times healthSlack reaches that of all servers counts in full.
	healthSlack = 1.25
	// An unhealthy server keeps this fraction of its weight, so that the router sees when it recovers.
	minHealth = 0.03
	// A key that was answered here counts as cached at its home for this many seconds.
	keyCachedFor = 20.0
	// At first all routers together may have this many fetches in flight for each cache, and each router may
	// have at least minOriginWindow.
	originWindowPerCache = 2.4
	minOriginWindow      = 4.0
	// A fetch may take this many times as long as a read of a cached key before it is a sign of a queue.
	originLateFactor = 1.5
	// The fraction of late fetches is averaged over lateFetchOutcomes. One late fetch of that many is due to
	// its own work, a second one to a queue, so a fraction up to maxLateFetches is tolerated.
	lateFetchOutcomes = 8.0
	maxLateFetches    = 0.15
	// A refused client is told to come back after this fraction of the aim: two such waits and their answers
	// fit into the aim.
	retryAfterFraction = 0.25
)

// server holds what this router knows of one process of a cache server or origin.
type server struct {
	Server
	origin                bool
	unlisted              bool          // the list no longer names it, which alone does not remove it
	weight                float64       // listed weight x all factors of the ranking, as of the last update
	score                 float64       // position in the ranking of the last key; the lowest is first
	inFlight              int           // own attempts that have not ended
	peakInFlight          int           // most own attempts in flight at once since the window was last cut
	silentSince           time.Duration // last answer, or the start of the first attempt in flight if later
	lastAnsweredSentAt    time.Duration // send time of the latest attempt that it has answered
	lateFraction          float64       // of an origin: fraction of its latest reads that were late
	window                float64       // own attempts allowed in flight before keys go to the next server
	windowCutAt           time.Duration // when the window was last cut
	idleSince             time.Duration // end of the last attempt; 0: none since connections were closed
	outcomes, badOutcomes float64       // outcomes of the last seconds, decayed up to outcomesAt
	outcomesAt            time.Duration
	coldRequests          float64 // requests lately considered for it while cold, decayed; see coldHasRoom
	coldRequestsAt        time.Duration
	recentSends           []time.Duration // when own attempts within the latest collapseWindow were sent
	listedAt              time.Duration   // when the list first gave this start time
	latestStart           time.Duration   // latest time at which the process can have started
	inferred              inferredRestart // a restart that is not listed yet
}

// attempt is one attempt of a request.
type attempt struct {
	target     *server
	sentAt     time.Duration // when it was sent
	open       bool          // has not ended
	cancelled  bool          // this router cancelled it or tried to
	mayHaveRun bool          // false if the server is known not to have run it
	connIdle   time.Duration // how long its connection was unused; 0: a new connection or one in use
	staleConn  bool          // lost with an idle connection, which says nothing about the server
	usedBudget bool          // counts against the retry budget
	failed     bool          // ended with ServerError
	endStatus  Status        // valid once open is false
}

// request is a client request that is not closed or has attempts in flight.
type request struct {
	Request
	class      *Class
	answerBy   time.Duration // latest time for the final answer
	overShare  bool          // exceeds its tenant's share
	needsFetch bool          // a read that its server may have to fetch from the origin
	closed     bool          // has its final answer
	homeMissed bool          // a cache answered with a miss
	missGrants int           // unused permissions for an attempt outside the budget; each miss gives one
	attempts   []attempt
}

// bucket is the token bucket that meters a tenant's traffic against its share.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// Router makes the decisions of one router instance. New creates one.
type Router struct {
	settings Settings
	actions  Actions
	// randomState is the state of the random sequence. salt decides which of a hot key's homes this router
	// uses.
	randomState, salt        uint64
	now                      time.Duration
	servers                  map[uint32]*server // by id; listed, or with attempts in flight
	caches, origins          []*server          // ready ones, sorted by id
	requests                 map[uint32]*request
	requestOrder             []*request      // by arrival; kept until the sweep after the last outcome
	keyReads                 map[uint64]int  // recent reads by key, for hot keys
	readCount                int             // sum of keyReads
	buckets                  []bucket        // by tenant
	requestTimes, retryTimes []time.Duration // requests, and attempts that use the budget, within its window
	usualLatency             []float64       // smoothed latency of answers in seconds, by class
	rankBuffer               []*server       // buffer of ranking

	former      formerStarts  // listed starts of servers that left the list
	lastListAt  time.Duration // when the list last came or changed; 0: not yet
	firstListAt time.Duration // when the first list came

	answerRate float64 // answers per second from warm caches, smoothed
	served     int     // answers of warm caches that were hits, since ratesAt
	// servedRate is the number of hits per second from warm caches, and warmWeight is the weight of those
	// caches. Both are smoothed over the same time.
	servedRate, warmWeight float64
	ratesAt                time.Duration // when the counts were last turned into rates
	answers, arrived       int           // answers of warm caches, and requests, since ratesAt
	arrivalRate            float64       // requests per second, smoothed
	hitFraction            float64       // fraction of the caches' answers that are hits, smoothed
	readyWeight            float64       // sum of the weights of all ready caches
	ratePerWeight          float64       // hits per second that a unit of warm weight is seen to serve
	// idleLossFraction and newLossFraction are the smoothed fractions of attempts that were lost on
	// connections that had been idle, and on all others.
	idleLossFraction, newLossFraction float64
	shortestLostIdle                  time.Duration // shortest idle time of a connection that was lost
	// overloadFraction is the smoothed fraction of outcomes, over all servers, that are signs of overload.
	overloadFraction float64
	// badFraction is the smoothed fraction of outcomes, over all servers, that are bad for any reason.
	badFraction float64
	// badFetchFraction and badCachedFraction are the smoothed fractions of bad outcomes among the reads that
	// may need the origin, and among all other reads.
	badFetchFraction, badCachedFraction float64
	lastFetchAt                         time.Duration // when the last read that might need the origin ended
	// gate is the fraction that this router lets through of the reads that may need the origin.
	gate                float64
	gateFalling         bool          // the latest fetch that counts ended badly
	gateBeforeRun       float64       // the gate when the latest run of bad fetches began
	lastGoodFetchSentAt time.Duration // when the latest fetch that ended well was sent

	retryHelpFraction float64                  // fraction of server errors after which another server answers
	relativeLatency   map[int]float64          // smoothed latency relative to the usual, by kind of machine
	pathBadFraction   map[int]float64          // smoothed fraction of bad outcomes, by the server's zone
	cachedAt          map[uint64]time.Duration // when a key was last answered here

	// pressure is 0 under normal load. Up to 1 it is the fraction of requests over their tenant's share that
	// is refused; beyond 1 reads are refused as well.
	pressure             float64
	trials               trials                   // reads let through while nearly all are refused
	sweepArmed, watching bool                     // the sweep timer is set; the list is watched
	watchFailures        int                      // failures since the list last came
	lastLogged           map[string]time.Duration // when a line of a kind was last logged
}

var unknownClass = Class{Effect: AtMostOnce, Worth: 1, LateFraction: 1}

// New returns a Router without servers. The seed is its only source of randomness.
func New(now time.Duration, settings Settings, seed uint64, actions Actions) *Router {
	if settings.MaxAttempts <= 0 {
		settings.MaxAttempts = 1
	}
	r := &Router{settings: settings, actions: actions, randomState: seed, salt: mix(seed), now: now,
		servers: map[uint32]*server{}, requests: map[uint32]*request{}, keyReads: map[uint64]int{},
		lastLogged: map[string]time.Duration{}, former: formerStarts{},
		buckets: make([]bucket, len(settings.Tenants)), usualLatency: make([]float64, len(settings.Classes)),
		ratesAt: now, gate: 1, retryHelpFraction: 1, hitFraction: 1, cachedAt: map[uint64]time.Duration{},
		pathBadFraction: map[int]float64{}, relativeLatency: map[int]float64{}}
	for i := range r.buckets {
		r.buckets[i] = bucket{r.tenantRate(i) + 10, now}
	}
	if settings.ListOnRequest {
		actions.SetTimer(tokenWatch, r.jitter(settings.FetchListWithin/20))
	}
	return r
}

// ---- the server list ----

// UpdateServers applies a list event from discovery.
func (r *Router) UpdateServers(now time.Duration, kind ListKind, entries []Server) {
	r.now = now
	if kind == ListFailed {
		r.watching = false
		r.watchFailures++
		base := min(watchRetryFirst*time.Duration(r.watchFailures), watchRetryMax)
		base = min(base, cmp.Or(r.settings.FetchListWithin/4, base))
		r.actions.SetTimer(tokenWatch, base/2+r.jitter(base))
		return
	}
	if kind != ListCached && r.settings.ListOnRequest {
		r.watchFailures = 0 // but don't set watching: this may be the last message of a watch that has ended
	}
	r.firstListAt = cmp.Or(r.firstListAt, now)
	listed := make(map[uint32]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.applyEntry(e, kind)
	}
	if kind != ListDelta {
		for id, s := range r.servers {
			if !listed[id] {
				r.handleAbsence(s)
			}
		}
	}
	if kind != ListCached { // a cached list may be old
		r.lastListAt = now
	}
	r.rebuildReady()
}

// applyEntry applies one list entry. A new start time means a new process: what was learned about the old
// one is forgotten, but its attempts still count as in flight until their outcomes come.
func (r *Router) applyEntry(e Server, kind ListKind) {
	s := r.servers[e.ID]
	if s != nil && e.Phase == Removed {
		r.handleAbsence(s)
		return
	}
	if s == nil {
		s = &server{}
		r.servers[e.ID] = s
	}
	if s.Started != e.Started || s.window == 0 {
		latestStart := r.latestStartOf(s, &e, kind)
		*s = server{inFlight: s.inFlight, window: math.Inf(1), silentSince: r.now, recentSends: s.recentSends,
			listedAt: r.now, latestStart: latestStart}
	}
	if !(e.Weight > 0) || math.IsInf(e.Weight, 1) {
		e.Weight = 1
	}
	s.Server, s.unlisted = e, false
	s.origin = r.settings.OriginKind >= 0 && e.Kind == r.settings.OriginKind
	if !s.origin {
		r.relativeLatency[e.Kind] = cmp.Or(r.relativeLatency[e.Kind], 1)
	}
}

// handleAbsence handles a server that has left the list. If absence does not mean removal, a server that was
// not draining keeps its keys while it answers, and its first bad outcome removes it.
func (r *Router) handleAbsence(s *server) {
	if r.settings.AbsenceAllowsSending && s.Phase == Ready {
		s.unlisted = true
	} else {
		s.Phase = Removed
	}
}

// rebuildReady sorts the ready servers by id, so that no result depends on map order.
func (r *Router) rebuildReady() {
	r.caches, r.origins = r.caches[:0], r.origins[:0]
	for id, s := range r.servers {
		if s.Phase == Removed && s.inFlight == 0 {
			r.former.add(s)
			delete(r.servers, id)
		} else if s.Phase == Ready && s.origin {
			r.origins = append(r.origins, s)
		} else if s.Phase == Ready {
			r.caches = append(r.caches, s)
		}
	}
	byID := func(a, b *server) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(r.caches, byID)
	slices.SortFunc(r.origins, byID)
	r.updateWeights()
}

// ---- the ranking ----

func (r *Router) updateWeights() {
	r.updateInferred()
	r.readyWeight = 0
	for _, s := range r.caches {
		listedWeight := s.Weight * r.listedProgress(s)
		s.weight = listedWeight * r.health(s) * r.pathHealth(s.Zone) *
			r.kindSpeed(s.Kind) * r.zoneWeight(s.Zone)
		r.readyWeight += s.weight
	}
}

// mix is the 64-bit finalizer of splitmix64, a good hash of one integer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score is the rank value of weighted rendezvous hashing: -ln(1-r)/w for a key at a server. The lowest score
// wins.
func score(id uint32, hashedKey uint64, weight float64) float64 {
	u := (float64(mix(hashedKey^mix(uint64(id)))>>11) + 0.5) / (1 << 53)
	return -math.Log1p(-u) / weight
}

// ranking yields the ready caches by score, lowest first, with ties broken by id. Finding the first takes one
// pass over the caches.
func (r *Router) ranking(q *request) iter.Seq[*server] {
	x := q.Key
	if x == 0 {
		// Without a key any server will do. The ranking may differ between attempts, as randomState changes.
		x = mix(uint64(q.ID) ^ r.randomState)
	}
	x = mix(x)
	for _, s := range r.caches {
		s.score = score(s.ID, x, s.weight)
	}
	return func(yield func(*server) bool) {
		rest := append(r.rankBuffer[:0], r.caches...)
		r.rankBuffer = rest
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

// countRead counts recent reads by key. All counts are halved once they add up to keyCountWindow.
func (r *Router) countRead(key uint64) {
	r.keyReads[key]++
	if r.readCount++; r.readCount < keyCountWindow {
		return
	}
	r.readCount /= 2
	for k, n := range r.keyReads {
		if r.keyReads[k] = n / 2; n < 2 {
			delete(r.keyReads, k)
		}
	}
}

// keyFraction returns the fraction of recent reads that are for a key.
func (r *Router) keyFraction(key uint64) float64 {
	return float64(r.keyReads[key]) / float64(max(r.readCount, keyCountWindow/2))
}

// homesToSkip protects a server from a hot key, which no window shows if each router sees little of it. A key
// with at least one server's share of the reads gets so many homes that each home serves about a quarter of
// such a share, and the routers spread evenly over these homes. The result is how many of the first servers
// in the ranking to skip.
func (r *Router) homesToSkip(q *request) int {
	fraction, n := r.keyFraction(q.Key), float64(len(r.caches))
	// Two reads of a key may be coincidence, and spreading the key would cost a miss at each home.
	if len(q.attempts) > 0 || fraction*n < 1 || r.keyReads[q.Key] < 3 {
		return 0
	}
	return int(float64(mix(q.Key^r.salt)>>11) / (1 << 53) * math.Ceil(min(1, fraction*homesPerServerLoad)*n))
}

// chooseServer returns the first server in the ranking that is up, has room and may get the request. It
// prefers servers that the request has not tried. It returns nil once the first few are full, since further
// down it would only spread keys that few other requests read there.
func (r *Router) chooseServer(q *request) *server {
	var fallback *server
	fullCount, skip := 0, r.homesToSkip(q)
	for s := range r.ranking(q) {
		if q.Constraints != nil && !q.Constraints.Allows(s.ID) {
			continue
		}
		if !r.coldHasRoom(q, s, fullCount+len(q.attempts) == 0) || !r.mayResend(q, s) {
			continue
		}
		if skip--; skip >= 0 || q.hasTried(s) {
			fallback = cmp.Or(fallback, s)
			continue
		}
		if r.hasRoom(s) {
			return s
		}
		if fullCount++; fullCount >= maxFullServers {
			return nil
		}
	}
	return fallback
}

// hasTried reports whether a server has had its chance at the request. An attempt doesn't count if its
// connection failed through no fault of the server.
func (q *request) hasTried(s *server) bool {
	hadChance := func(t attempt) bool {
		return t.target == s && !t.staleConn && !(t.cancelled && s.lastAnsweredSentAt > t.sentAt)
	}
	return slices.ContainsFunc(q.attempts, hadChance)
}

func (q *request) hasOpenAttempt() bool {
	return slices.ContainsFunc(q.attempts, func(t attempt) bool { return t.open })
}

// ---- requests ----

func (r *Router) classOf(i int) *Class {
	if i < 0 || i >= len(r.settings.Classes) {
		return &unknownClass
	}
	return &r.settings.Classes[i]
}

// Request handles a new client request.
func (r *Router) Request(now time.Duration, in Request) {
	r.now = now
	if r.requests[in.ID] != nil {
		return
	}
	if r.settings.BudgetWindow > 0 {
		r.requestTimes = append(dropBefore(r.requestTimes, now-r.settings.BudgetWindow), now)
	}
	if r.arrived++; in.Key != 0 && !in.Write {
		r.countRead(in.Key)
	}
	q := &request{Request: in, class: r.classOf(in.Class), attempts: make([]attempt, 0, 3)}
	q.answerBy = now + in.Remaining
	q.overShare = !r.withinShare(in.Tenant)
	if (q.class.LateFraction <= 0 || r.settings.TailFraction > 0) && q.class.Aim > 0 {
		// An answer after the aim is worth nothing or less, so the request is ended just before the aim. A
		// client's own retry has already used up part of that time.
		elapsed := time.Duration(boolToFloat(q.IsRetry)) * max(0, q.class.Deadline-q.Remaining)
		q.answerBy = min(q.answerBy, now+q.class.Aim-elapsed-r.settings.TickInterval)
	}
	r.requests[in.ID] = q
	r.requestOrder = append(r.requestOrder, q)
	r.armSweep()
	refused := r.refusesOnArrival(q)
	if q.needsFetch = r.mayNeedFetch(q); refused || q.needsFetch && r.random() > r.gate {
		r.finish(q, true)
		return
	}
	r.dispatch(q)
}

// mayNeedFetch reports whether a server may have to fetch a read's key from the origin.
func (r *Router) mayNeedFetch(q *request) bool {
	answeredAt, ok := r.cachedAt[q.Key]
	return !r.settings.CacheAside && q.Key != 0 && !q.Write &&
		(!ok || (r.now-answeredAt).Seconds() > keyCachedFor)
}

func (r *Router) routerCount() float64     { return float64(max(r.settings.RouterCount, 1)) }
func (r *Router) tenantRate(i int) float64 { return r.settings.Tenants[i].Allowance / r.routerCount() }

// withinShare meters a tenant's traffic against this router's share of the allowance. The bucket holds one
// second of the share plus thirty requests, and starts with the share plus ten: small numbers vary by chance.
func (r *Router) withinShare(tenant int) bool {
	if tenant < 0 || tenant >= len(r.buckets) {
		return true
	}
	b, rate := &r.buckets[tenant], r.tenantRate(tenant)
	b.tokens = min(b.tokens+rate*(r.now-b.updatedAt).Seconds(), rate+30)
	b.updatedAt = r.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// dispatch sends a request to the server that should get it now, or ends it.
func (r *Router) dispatch(q *request) {
	// While reads are refused, a retry would add to the overload.
	addsOverload := len(q.attempts) > 0 && !q.homeMissed && r.pressure > 1
	tooLate := (q.answerBy - r.now).Seconds() < r.usualLatencyOf(q)
	attemptsUsed := len(q.attempts) >= r.settings.MaxAttempts
	if addsOverload || !r.budgetAllows(q) || tooLate || attemptsUsed || !q.operatorAllowsRetry() ||
		!q.takeOperatorRetry(r.now) {
		r.finish(q, true) // another attempt is useless or not allowed
		return
	}
	if r.settings.CacheAside && len(r.origins) > 0 && (q.homeMissed || q.Write) {
		r.sendToOrigin(q)
		return
	}
	if s := r.chooseServer(q); s != nil {
		r.send(q, s)
	} else if len(r.origins) > 0 && len(r.caches) == 0 {
		r.sendToOrigin(q)
	} else {
		r.finish(q, true)
	}
}

// sendToOrigin sends a request to the origin within the origin's window. Letting a fixed fraction of the
// reads through does not work: a small fraction gives too few answers to learn that there is room again, and
// any fraction of a flood is still a flood. So the window limits the fetches in flight, from the start: the
// first sign of a queue would come too late.
func (r *Router) sendToOrigin(q *request) {
	var s *server
	for _, o := range r.origins {
		if r.mayResend(q, o) && (s == nil || o.inFlight < s.inFlight) {
			s = o
		}
	}
	if s == nil {
		r.finish(q, false)
		return
	}
	if math.IsInf(s.window, 1) {
		s.window = max(minOriginWindow, originWindowPerCache*float64(len(r.caches))/r.routerCount())
	}
	if !q.Write && !r.hasRoom(s) {
		r.finish(q, true)
		return
	}
	r.send(q, s)
}

// send starts an attempt of a request at a server.
func (r *Router) send(q *request, s *server) {
	t := attempt{target: s, sentAt: r.now, open: true, mayHaveRun: true, connIdle: r.closeOldIdle(s)}
	if t.usedBudget = len(q.attempts) > 0 && q.missGrants == 0 && r.settings.BudgetWindow > 0; t.usedBudget {
		r.retryTimes = append(r.retryTimes, r.now)
	} else if len(q.attempts) > 0 {
		q.missGrants = max(0, q.missGrants-1)
	}
	q.attempts = append(q.attempts, t)
	s.inFlight++
	if !s.origin {
		s.recentSends = append(dropBefore(s.recentSends, r.now-r.collapseWindow()), r.now)
	}
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	if s.inFlight == 1 {
		s.silentSince = r.now
	}
	timeout := q.answerBy - r.now
	if q.Constraints != nil {
		timeout = min(timeout, max(q.Constraints.Timeout(), time.Millisecond))
	}
	r.actions.Send(q.ID, s.ID, timeout)
}

// closeOldIdle protects against connections that the other side drops silently while they are idle. Once some
// were found dead, it closes the idle connections to a server if they have been unused for nearly as long as
// those. It returns how long the connection that the next attempt uses has been idle; 0: a new one, or one in
// use.
func (r *Router) closeOldIdle(s *server) time.Duration {
	idle := r.now - s.idleSince
	if s.inFlight > 0 || s.idleSince == 0 {
		return 0
	}
	if r.idleConnsDie() && idle > r.shortestLostIdle*3/4 {
		r.actions.CloseIdle(s.ID)
		return 0
	}
	return max(idle, 1)
}

// learnIdleLoss distinguishes dead idle connections from unhealthy servers. It compares how often attempts
// are lost on connections that had been idle and on new ones or ones in use. A dead connection is reset
// before the server can do any work.
func (r *Router) learnIdleLoss(q *request, t *attempt, o *Outcome) {
	t.target.idleSince = r.now
	slow := t.cancelled || o.Latency.Seconds() > badLatencyFraction*q.class.Aim.Seconds()
	early := o.Latency.Seconds() < r.usualLatencyOf(q)/2
	lost := o.Status == Reset && early || slow && (o.Status == Timeout || o.Status == Cancelled)
	loss := boolToFloat(lost || o.Status == ConnectFailed)
	if t.connIdle == 0 || !lost && t.connIdle < r.shortestLostIdle {
		r.newLossFraction += (loss - r.newLossFraction) / 4
		return
	}
	if lost && (r.idleLossFraction < 0.1 || t.connIdle < r.shortestLostIdle) {
		r.shortestLostIdle = t.connIdle
	}
	r.idleLossFraction += (loss - r.idleLossFraction) / 8
	if t.staleConn = lost && r.idleConnsDie(); t.staleConn && t.target.inFlight == 0 {
		r.actions.CloseIdle(t.target.ID)
		t.target.idleSince = 0
	}
}

func (r *Router) idleConnsDie() bool { return r.idleLossFraction > r.newLossFraction+idleLossExcess }

// usualLatencyOf returns the usual latency of a request's class in seconds, or a quarter of its aim until a
// latency is known.
func (r *Router) usualLatencyOf(q *request) float64 {
	if q.class == &unknownClass || r.usualLatency[q.Class] == 0 {
		return q.class.Aim.Seconds() / 4
	}
	return r.usualLatency[q.Class]
}

// ---- retries ----

// mayResend alone decides whether a request may be sent to a server now, given the effect of its class.
func (r *Router) mayResend(q *request, s *server) bool {
	openLimitReached := !r.settings.Hedging // one attempt may be open, with hedging two
	for i := range q.attempts {
		t := &q.attempts[i]
		if t.open && openLimitReached {
			return false
		}
		openLimitReached = openLimitReached || t.open
		if !t.mayHaveRun {
			continue
		}
		switch q.class.Effect {
		case AtMostOnce:
			return false
		case Deduplicated:
			if r.now >= r.dedupEnd(q, t) || !sameGroup(q.class.Group, t.target, s) {
				return false
			}
		}
	}
	return true
}

// dedupEnd returns the time from which servers may run a repetition of the attempt. It counts from the
// earliest time at which the attempt can have arrived.
func (r *Router) dedupEnd(q *request, t *attempt) time.Duration {
	return t.sentAt + q.class.DedupTTL - 2*r.settings.TickInterval
}

func sameGroup(g Group, a, b *server) bool {
	return (g != GroupZone || a.Zone == b.Zone) && (g != GroupCell || a.Cell == b.Cell)
}

// budgetAllows alone decides whether the retry budget has room for one more attempt now. The window includes
// its start for attempts but not for requests, so the count is exact or on the safe side.
func (r *Router) budgetAllows(q *request) bool {
	if len(q.attempts) == 0 || q.missGrants > 0 || r.settings.BudgetWindow <= 0 {
		return true
	}
	windowStart := r.now - r.settings.BudgetWindow
	r.requestTimes, r.retryTimes =
		dropBefore(r.requestTimes, windowStart+1), dropBefore(r.retryTimes, windowStart)
	allowed := max(0, r.settings.BudgetFree) + max(0, r.settings.BudgetRatio)*float64(len(r.requestTimes))
	return float64(len(r.retryTimes)+1) <= allowed
}

// operatorAllowsRetry reports whether the operator's constraints allow another attempt, given how the last
// one ended. If the last one is still open, it counts as timed out. An attempt that follows a miss is no
// retry.
func (q *request) operatorAllowsRetry() bool {
	n := len(q.attempts)
	if n == 0 || q.Constraints == nil || !q.attempts[n-1].open && q.attempts[n-1].endStatus == Miss {
		return true
	}
	calls, last := 0, q.attempts[n-1].endStatus
	for i := range q.attempts {
		if t := &q.attempts[i]; t.open || t.endStatus != Miss {
			calls++
		}
	}
	if q.attempts[n-1].open {
		last = Timeout
	}
	return q.Constraints.AllowsRetry(calls, last)
}

// takeOperatorRetry takes a retry out of the operator's budget, if there is one. It reports whether the
// budget allowed it.
func (q *request) takeOperatorRetry(now time.Duration) bool {
	n := len(q.attempts)
	if n == 0 || q.Constraints == nil || !q.attempts[n-1].open && q.attempts[n-1].endStatus == Miss {
		return true
	}
	return q.Constraints.TakeRetry(now)
}

// dropBefore returns the sorted times without those before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	n, _ := slices.BinarySearch(times, from)
	return times[n:]
}

// mayRefuse alone decides whether the client may be told that repeating the request is harmless.
func (r *Router) mayRefuse(q *request) bool {
	if q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Group == GroupAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(t attempt) bool { return t.mayHaveRun })
}

// maxWaitFraction is the part of its time that a request may wait before it is passed to the Router. A
// rejection within half of the time has no price, and the other half is left for attempts.
const maxWaitFraction = 0.5

// MaxWait returns how long a request may wait for memory and in queues together, counted from its last byte.
// After that it must be rejected. timeout is how long its client waits for the answer.
func MaxWait(timeout time.Duration) time.Duration {
	return time.Duration(maxWaitFraction * float64(timeout))
}

// EffectOf returns what a repetition of a request of a class can do. A class that is not among the settings
// must never run twice.
func (s *Settings) EffectOf(class int) Effect {
	if class < 0 || class >= len(s.Classes) {
		return unknownClass.Effect
	}
	return s.Classes[class].Effect
}

// RetryAfter returns how long the client of a rejected request of a class should wait before a retry.
func (s *Settings) RetryAfter(class *Class) time.Duration {
	return min(s.MaxRetryAfter, time.Duration(retryAfterFraction*float64(class.Aim)))
}

// finish ends a request: with a refusal if the caller wants one and repeating is harmless, otherwise with a
// failure.
func (r *Router) finish(q *request, refuse bool) {
	r.cancelAttempts(q)
	if refuse && r.mayRefuse(q) {
		r.actions.Refuse(q.ID, r.settings.RetryAfter(q.class))
	} else {
		r.actions.Fail(q.ID)
	}
	r.close(q)
}

func (r *Router) cancelAttempts(q *request) {
	for i := range q.attempts {
		if q.attempts[i].open && r.settings.AllowsCancel {
			r.actions.Cancel(q.ID, i)
		}
	}
}

// close marks a request as answered and drops it once none of its attempts is open.
func (r *Router) close(q *request) {
	if q.closed = true; !q.hasOpenAttempt() {
		delete(r.requests, q.ID)
	}
}

// ---- outcomes ----

// Outcome handles the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.now = now
	q := r.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].open {
		return
	}
	t := &q.attempts[o.Attempt]
	t.open, t.endStatus = false, o.Status
	t.mayHaveRun = o.Status.MayHaveRun()
	t.target.inFlight--
	if o.Status == Miss {
		q.missGrants++
	} else if i := slices.Index(r.retryTimes, t.sentAt); o.Status == NotSent && t.usedBudget && i >= 0 {
		r.retryTimes = slices.Delete(r.retryTimes, i, i+1)
	}
	t.failed = o.Status == ServerError
	if n := o.Attempt; n > 0 && q.attempts[n-1].failed && (t.failed || o.Status == OK || o.Status == Miss) {
		r.retryHelpFraction += (boolToFloat(!t.failed) - r.retryHelpFraction) / 4
	}
	r.learnIdleLoss(q, t, &o)
	if t.staleConn = t.staleConn || o.Status == Cancelled && !t.cancelled; !t.staleConn {
		r.learnOutcome(q, t.target, &o)
		r.learnWindow(q, t, &o)
		r.learnPressure(q, t, &o)
	}
	if o.Closed || q.closed {
		r.close(q)
	} else if o.Status == Reset && !t.staleConn && o.Attempt > int(boolToFloat(q.homeMissed)) ||
		t.failed && r.random() >= r.retryHelpFraction {
		r.finish(q, true)
	} else {
		q.homeMissed = q.homeMissed || o.Status == Miss && !t.target.origin
		if !q.hasOpenAttempt() { // no hedge is still open
			r.dispatch(q)
		}
	}
}

// learnOutcome updates what is known of a server from the outcome of one of its attempts. An attempt that the
// client or this router cancelled says nothing about the server.
func (r *Router) learnOutcome(q *request, s *server, o *Outcome) {
	switch o.Status {
	case OK, Miss, TurnedAway, Unconfirmed, ServerError:
		s.silentSince, s.lastAnsweredSentAt = r.now, max(s.lastAnsweredSentAt, q.attempts[o.Attempt].sentAt)
	}
	if !s.origin && !q.Write && (o.Status == OK || o.Status == Timeout) {
		r.relativeLatency[s.Kind] +=
			(o.Latency.Seconds()/r.usualLatencyOf(q) - r.relativeLatency[s.Kind]) / speedOutcomes
	}
	if s.origin || o.Status != OK && o.Status != Miss {
		return
	}
	r.learnInferred(s, q.attempts[o.Attempt].sentAt, o.Status == OK)
	if r.warmUpProgress(s) >= 1 {
		// A miss costs a server little and says nothing about the load that it sustains.
		r.served += int(boolToFloat(o.Status == OK))
		r.answers++
	}
	if o.Status == OK && q.Key != 0 {
		r.cachedAt[q.Key] = r.now
	}
	if o.Status == OK && q.Class >= 0 && q.Class < len(r.usualLatency) {
		l := o.Latency.Seconds()
		if u := &r.usualLatency[q.Class]; *u == 0 {
			*u = l
		} else {
			*u += (l - *u) / 64
		}
	}
}

// StreamStarted handles the start of a streamed answer. From here on the attempt belongs to the client.
func (r *Router) StreamStarted(now time.Duration, id uint32, _ int) {
	r.now = now
	if q := r.requests[id]; q != nil {
		r.close(q)
	}
}

// ClientDisconnected handles the disconnect of a client, after which the request needs no answer. If
// connections answer in order, a call can be ended only by closing its connection, and the handshake of the
// next connection costs a server as much as the rest of a read. A read then runs on until its time-out.
func (r *Router) ClientDisconnected(now time.Duration, id uint32) {
	r.now = now
	if q := r.requests[id]; q != nil && !q.closed {
		if !r.settings.OrderedAnswers || q.Write || q.homeMissed {
			r.cancelAttempts(q)
		}
		r.close(q)
	}
}

// ---- time ----

// Timer handles a timer that is due.
func (r *Router) Timer(now time.Duration, token uint64) {
	r.now = now
	switch token {
	case tokenSweep:
		r.sweep()
	case tokenWatch:
		if !r.watching && r.settings.ListOnRequest {
			r.watching = true
			r.actions.Watch(true)
		}
	}
}

func (r *Router) armSweep() {
	if !r.sweepArmed && len(r.requestOrder) > 0 {
		r.sweepArmed = true
		r.actions.SetTimer(tokenSweep, sweepInterval)
	}
}

// sweep ends requests whose time is up, retries attempts at silent servers and updates rates and weights.
func (r *Router) sweep() {
	r.sweepArmed = false
	remaining := r.requestOrder[:0]
	for _, q := range r.requestOrder {
		if !q.closed && r.now > q.answerBy {
			r.finish(q, false)
		}
		if r.retryIfSilent(q); r.requests[q.ID] == q {
			remaining = append(remaining, q)
		}
	}
	clear(r.requestOrder[len(remaining):])
	r.requestOrder = remaining
	if elapsed := (r.now - r.ratesAt).Seconds(); elapsed >= 0.1 {
		// Rates are averaged over at least 32 answers or 10 s, the rate of hits always over 32 answers.
		smoothing := min(1, elapsed/max(0.5, min(10, 32/max(r.answerRate, 1))))
		r.answerRate += (float64(r.answers)/elapsed - r.answerRate) * smoothing
		longSmoothing := min(1, elapsed/max(0.5, 32/max(r.answerRate, 1)))
		r.servedRate += (float64(r.served)/elapsed - r.servedRate) * longSmoothing
		r.arrivalRate += (float64(r.arrived)/elapsed - r.arrivalRate) * smoothing
		r.answers, r.served, r.arrived, r.ratesAt = 0, 0, 0, r.now
		r.updatePressure(elapsed)
		r.gate = min(1, r.gate+gateRecovery*min(elapsed, 1))
		r.retryHelpFraction += (1 - r.retryHelpFraction) * min(1, elapsed/healthDecay)
		for z := range r.pathBadFraction {
			r.pathBadFraction[z] *= math.Exp(-elapsed / healthDecay)
		}
		r.idleLossFraction *= math.Exp(-elapsed / idleLossDecay)
		r.learnRatePerWeight(elapsed, longSmoothing)
		for k, at := range r.cachedAt {
			if (r.now - at).Seconds() > keyCachedFor {
				delete(r.cachedAt, k)
			}
		}
		r.updateWeights()
	}
	r.armSweep()
}

// retryIfSilent protects against servers that drop requests without any answer. If a server has been silent
// for several usual latencies, the attempt there is cancelled and the request goes to another server. If
// cancelling is impossible and hedges are allowed, a hedge is sent, but only if other outcomes show that the
// server is unhealthy and there is no overload: a single silent request may itself be the cause, and hedges
// feed a queue. An attempt is not cancelled if the budget has no room for the next one.
func (r *Router) retryIfSilent(q *request) {
	if q.closed || len(q.attempts) == 0 || len(q.attempts) >= r.settings.MaxAttempts ||
		q.answerBy-r.now < 2*sweepInterval {
		return
	}
	t := &q.attempts[len(q.attempts)-1]
	if !t.open || t.target.origin || t.cancelled || q.class.Effect == AtMostOnce {
		return
	}
	patience, unhealthy := silentLatencies*r.usualLatencyOf(q),
		t.target.weight <= t.target.Weight*r.listedProgress(t.target)/2
	if !unhealthy {
		patience = max(patience, silentAimFraction*q.class.Aim.Seconds())
	}
	silence := r.now - max(t.target.silentSince, t.sentAt)
	if overtakenAfter, aim := overtakenLatencies*r.usualLatencyOf(q),
		q.class.Aim.Seconds(); t.target.lastAnsweredSentAt > t.sentAt &&
		overtakenAfter < overtakenAimFraction*aim {
		// The server answers other attempts, so perhaps only the connection of this one is silent.
		silence, patience = r.now-t.sentAt, max(lateAimFraction*aim, overtakenAfter)
	}
	if silence.Seconds() <= patience || !r.budgetAllows(q) || !q.operatorAllowsRetry() {
		return
	}
	if r.settings.AllowsCancel {
		t.cancelled = true
		r.actions.Cancel(q.ID, len(q.attempts)-1)
	} else if r.settings.Hedging && unhealthy && r.pressure <= 0.5 &&
		(q.Constraints == nil || q.Constraints.AllowsHedge()) {
		if to := r.chooseServer(q); to != nil && to != t.target && q.takeOperatorRetry(r.now) {
			r.send(q, to)
		}
	}
}

// health protects against servers that are unhealthy compared with their peers, by moving some of their keys
// to other servers. It compares a server's recent fraction of good outcomes with that of all servers, so a
// fault that all share moves nothing. If a router sees one outcome in ten seconds, a bad one moves nearly all
// keys of that server at this router. Over all routers a server loses keys in proportion to its bad outcomes.
func (r *Router) health(s *server) float64 {
	decay := math.Exp(-(r.now - s.outcomesAt).Seconds() / healthDecay)
	goodFraction := (healthPrior + decay*(s.outcomes-s.badOutcomes)) / (healthPrior + decay*s.outcomes)
	return max(minHealth, min(1, healthSlack*goodFraction/(1-min(r.badFraction, 0.9))))
}

// pathHealth protects against slow or lossy network paths to a zone and against the loss of a zone. If all
// servers of a zone do worse than those of the best zone, that is attributed to the path, and their weights
// are lowered together.
func (r *Router) pathHealth(zone int) float64 {
	best := r.pathBadFraction[zone]
	for _, bad := range r.pathBadFraction {
		best = min(best, bad)
	}
	if r.pathBadFraction[zone] >= best+pathBadExcess {
		return max(minHealth, (1-r.pathBadFraction[zone])/(1-best))
	}
	return 1
}

// zoneWeight protects against more connections than a server accepts. If no server can hold a connection of
// every router, a key has one home in each zone for the routers of that zone. Servers of other zones come
// next if that home is unhealthy, cold or removed.
func (r *Router) zoneWeight(zone int) float64 {
	if zone != r.settings.Zone && connlimit.MaxIdle(r.settings.RouterCount, r.settings.ConnsPerCore) == 0 {
		return otherZoneWeight
	}
	return 1
}

// kindSpeed protects against listed weights that are too high for one kind of machine. If all servers of a
// kind take longer than those of the fastest kind, their weights are lowered together, by about the same
// factor at all routers.
func (r *Router) kindSpeed(kind int) float64 {
	fastest := r.relativeLatency[kind]
	for _, x := range r.relativeLatency {
		fastest = min(fastest, x)
	}
	if r.relativeLatency[kind] < fastest*minSlowdown {
		return 1
	}
	return fastest / r.relativeLatency[kind]
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// random returns the next number of this router's own pseudo-random sequence, in [0, 1).
func (r *Router) random() float64 {
	r.randomState += 0x9e3779b97f4a7c15
	return float64(mix(r.randomState)>>11) / (1 << 53)
}

func (r *Router) jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * r.random()) }

// log writes at most one line of each kind per second.
func (r *Router) log(kind, text string) {
	if at, logged := r.lastLogged[kind]; logged && r.now-at < time.Second {
		return
	}
	r.lastLogged[kind] = r.now
	r.actions.Log(text)
}
