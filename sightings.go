package hoptiller

// Sightings: what routers tell each other of servers before the list does. A server that refused
// connections for a while and takes them again has a new process, whose cache is cold, though its start is
// not listed yet. Its start is presumed until the list tells it or something speaks against it, and what is
// sent to it is bounded as to any cold server (coldRoom). Keys don't move for it: weights go by the list.

import (
	"slices"
	"time"
)

// Sighting is what some router saw of a server.
type Sighting struct {
	Server uint32
	Up     bool          // it takes connections again; else it refuses them
	Age    time.Duration // since it was seen
}

const (
	leastDown   = 500 * time.Millisecond // for which a server whose process is replaced is down
	judgesAfter = 2 * time.Second        // after its first list an instance judges by itself
	mostPart    = 0.5                    // of the servers; more that are down at once are the fault of ways
	atOnce      = time.Second            // between starts that may have one cause
	warmAnswers = 16                     // the first ones after a presumed start, which show if it is warm
	warmPart    = 0.7                    // of the usual part of hits, from which it is
	hitsOver    = 64.0                   // answers over which the usual part of hits is kept
)

// presumption is what sightings say of a server's process. The zero value is: nothing.
type presumption struct {
	down     time.Duration // since when it refuses connections; 0: it does not
	downTold time.Duration // when this instance knew of that
	started  time.Duration // when it started at the latest; 0: no start is presumed
	told     time.Duration // when this instance knew of that
	answers  int           // since then
	hits     int           // among them
	common   bool          // most other servers started at about the same time: it is the fault of ways
}

// Sighted takes what some router saw of a server. The same may be told again and again.
func (r *Router) Sighted(now time.Duration, seen Sighting) {
	r.now = now
	s := r.known[seen.Server]
	if s == nil || s.origin || r.set.Cold <= 0 {
		return
	}
	at, p := now-seen.Age, &s.presumed
	switch {
	case !seen.Up && p.down == 0 && at > max(s.passed, s.coldSince, p.started):
		p.down, p.downTold = at, now
	case seen.Up && p.down != 0 && at > p.down:
		p.back(at, now)
	case seen.Up && p.started == 0 && seen.Age < mostDiscoveryLag && r.isNew(s, at):
		p.begin(at, now)
	default:
		return
	}
	r.weigh()
}

// isNew tells whether this instance had not known a server for long enough to judge what was seen at a time.
func (r *Router) isNew(s *server, at time.Duration) bool {
	return s.toldAt == r.firstAt && at-s.toldAt < judgesAfter
}

// begin presumes that a process started.
func (p *presumption) begin(at, now time.Duration) {
	p.started, p.told, p.answers, p.hits = at, now, 0, 0
}

// back takes the end of a time in which a server refused connections. One that was short is no restart.
func (p *presumption) back(at, now time.Duration) {
	long := at-p.down >= leastDown
	p.down = 0
	if long {
		p.begin(at, now)
	}
}

// start tells when the process started, and when that was told; false: nothing says that there is a new
// one. That of a server which is still down will be later.
func (p *presumption) start(now time.Duration) (started, told time.Duration, known bool) {
	if p.down != 0 && now-p.down >= leastDown {
		return p.down, p.downTold, true
	}
	return p.started, p.told, p.started != 0
}

// learnPresumed takes an answer of a server. The first ones of a new process are misses nearly all.
func (r *Router) learnPresumed(s *server, sent time.Duration, hit bool) {
	p := &s.presumed
	if p.down != 0 && sent > p.down {
		p.back(r.now, r.now)
	}
	if p.started == 0 {
		if p.down == 0 {
			r.hits += (one(hit) - r.hits) / hitsOver
		}
		return
	}
	p.answers++
	p.hits += int(one(hit))
	if p.answers == warmAnswers && float64(p.hits) >= warmPart*r.hits*warmAnswers {
		*p = presumption{}
	}
}

// followPresumed ends presumptions that the list would have borne out by now. While too many servers are
// down at once, the time that tells a restart begins for none of them.
func (r *Router) followPresumed() {
	down := 0
	for _, s := range r.caches {
		down += int(one(s.presumed.down != 0))
	}
	many := r.tooMany(down)
	for _, s := range r.caches {
		p := &s.presumed
		if p.down != 0 && many {
			p.down, p.downTold = r.now, r.now
		}
		if r.now-p.started > mostDiscoveryLag {
			p.started = 0
		}
	}
	r.markCommon()
}

// markCommon finds the presumed starts that came with most others' at once.
func (r *Router) markCommon() {
	var starts []time.Duration
	for _, s := range r.caches {
		if started, _, known := s.presumed.start(r.now); known {
			starts = append(starts, started)
		}
	}
	if len(starts) == 0 {
		return
	}
	slices.Sort(starts)
	for _, s := range r.caches {
		started, _, _ := s.presumed.start(r.now)
		from, _ := slices.BinarySearch(starts, started-atOnce)
		to, _ := slices.BinarySearch(starts, started+atOnce)
		s.presumed.common = r.tooMany(to - from)
	}
}

func (r *Router) tooMany(servers int) bool { return float64(servers) > mostPart*float64(len(r.caches)) }

// startKnown tells when a server's process started, and when that was told, by the list or by sightings;
// false: it has run for long.
func (r *Router) startKnown(s *server) (started, told time.Duration, known bool) {
	started, told, known = s.presumed.start(r.now)
	if known && started > s.coldSince && !s.presumed.common {
		return started, told, true
	}
	return s.coldSince, s.toldAt, s.Started != 0
}
