package hoptiller

// Observations are what routers tell each other about servers before the list does. A server that refused
// connections for a while and accepts them again runs a new process with a cold cache, although its start is
// not listed yet. The router infers that restart until the list gives the start or the server's answers
// contradict it, and it limits what is sent to the server as for any cold server (coldHasRoom). An inferred
// restart moves no keys: weights follow the list.

import (
	"slices"
	"time"
)

// Observation is a router's observation that a server is up or down.
type Observation struct {
	Server uint32
	Up     bool          // accepts connections again; false: refuses them
	Age    time.Duration // time since the observation
}

const (
	minDowntime = 500 * time.Millisecond // a server whose process is replaced is down for at least this long
	// This long after its first list a router observes restarts itself.
	observesAfter = 2 * time.Second
	// If more than this fraction of the servers is down at once, the network paths are at fault.
	maxDownFraction   = 0.5
	commonCauseWithin = time.Second // restarts within this time of each other may have one cause
	// This many answers after an inferred restart show whether the cache is warm.
	restartAnswers = 16
	// The cache is warm if its hits reach this fraction of the usual fraction of hits.
	minWarmHitRatio = 0.7
	hitOutcomes     = 64.0 // the usual fraction of hits is averaged over this many answers
)

// inferredRestart is what observations say about the process of one server. The zero value means that no
// restart is inferred.
type inferredRestart struct {
	downSince      time.Duration // since when it refuses connections; 0: it does not
	downNotifiedAt time.Duration // when this router was notified of the downtime
	started        time.Duration // latest time at which it can have started; 0: no restart is inferred
	notifiedAt     time.Duration // when this router was notified of the restart
	answers        int           // since notifiedAt
	hits           int           // hits among those answers
	commonCause    bool          // most others restarted at the same time, so network paths are at fault
}

// Observe handles a router's observation of a server. The same observation may arrive repeatedly.
func (r *Router) Observe(now time.Duration, observed Observation) {
	r.now = now
	s := r.servers[observed.Server]
	if s == nil || s.origin || r.settings.WarmUp <= 0 {
		return
	}
	observedAt, p := now-observed.Age, &s.inferred
	switch {
	case !observed.Up && p.downSince == 0 && observedAt > max(s.lastAnsweredSentAt, s.latestStart, p.started):
		p.downSince, p.downNotifiedAt = observedAt, now
	case observed.Up && p.downSince != 0 && observedAt > p.downSince:
		p.endDowntime(observedAt, now)
	case observed.Up && p.started == 0 && observed.Age < maxDiscoveryLag && r.knownTooShort(s, observedAt):
		p.infer(observedAt, now)
	default:
		return
	}
	r.updateWeights()
}

// knownTooShort reports whether this router had known a server for too short a time to observe a restart
// itself.
func (r *Router) knownTooShort(s *server, at time.Duration) bool {
	return s.listedAt == r.firstListAt && at-s.listedAt < observesAfter
}

// infer records that a process started at a time.
func (p *inferredRestart) infer(at, now time.Duration) {
	p.started, p.notifiedAt, p.answers, p.hits = at, now, 0, 0
}

// endDowntime handles the end of a time in which a server refused connections. A short downtime is no
// restart.
func (p *inferredRestart) endDowntime(at, now time.Duration) {
	isRestart := at-p.downSince >= minDowntime
	p.downSince = 0
	if isRestart {
		p.infer(at, now)
	}
}

// startTime returns when the process started and when this router was notified of that. It returns false if
// no observation indicates a new process. For a server that is still down it returns the start of the
// downtime, although the new process starts later.
func (p *inferredRestart) startTime(now time.Duration) (started, notified time.Duration, known bool) {
	if p.downSince != 0 && now-p.downSince >= minDowntime {
		return p.downSince, p.downNotifiedAt, true
	}
	return p.started, p.notifiedAt, p.started != 0
}

// learnInferred handles an answer of a server. Nearly all first answers of a new process are misses.
func (r *Router) learnInferred(s *server, sent time.Duration, hit bool) {
	p := &s.inferred
	if p.downSince != 0 && sent > p.downSince {
		p.endDowntime(r.now, r.now)
	}
	if p.started == 0 {
		if p.downSince == 0 {
			r.hitFraction += (boolToFloat(hit) - r.hitFraction) / hitOutcomes
		}
		return
	}
	p.answers++
	p.hits += int(boolToFloat(hit))
	if p.answers == restartAnswers && float64(p.hits) >= minWarmHitRatio*r.hitFraction*restartAnswers {
		*p = inferredRestart{}
	}
}

// updateInferred drops inferred restarts that the list should have confirmed already. While too many servers
// are down at once, none of them accumulates the downtime that indicates a restart.
func (r *Router) updateInferred() {
	down := 0
	for _, s := range r.caches {
		down += int(boolToFloat(s.inferred.downSince != 0))
	}
	tooManyDown := r.tooMany(down)
	for _, s := range r.caches {
		p := &s.inferred
		if p.downSince != 0 && tooManyDown {
			p.downSince, p.downNotifiedAt = r.now, r.now
		}
		if r.now-p.started > maxDiscoveryLag {
			p.started = 0
		}
	}
	r.markCommonCause()
}

// markCommonCause marks the inferred restarts that coincide with those of most other servers.
func (r *Router) markCommonCause() {
	var starts []time.Duration
	for _, s := range r.caches {
		if started, _, known := s.inferred.startTime(r.now); known {
			starts = append(starts, started)
		}
	}
	if len(starts) == 0 {
		return
	}
	slices.Sort(starts)
	for _, s := range r.caches {
		started, _, _ := s.inferred.startTime(r.now)
		from, _ := slices.BinarySearch(starts, started-commonCauseWithin)
		to, _ := slices.BinarySearch(starts, started+commonCauseWithin)
		s.inferred.commonCause = r.tooMany(to - from)
	}
}

func (r *Router) tooMany(servers int) bool {
	return float64(servers) > maxDownFraction*float64(len(r.caches))
}

// knownStart returns when a server's process started and when this router was notified of that, by the list
// or by observations. It returns false if the process has run for long.
func (r *Router) knownStart(s *server) (started, notified time.Duration, known bool) {
	started, notified, known = s.inferred.startTime(r.now)
	if known && started > s.latestStart && !s.inferred.commonCause {
		return started, notified, true
	}
	return s.latestStart, s.listedAt, s.Started != 0
}
