package view

import "time"

const (
	// observationLifetime is how long an observation is kept. By then the list of cache servers shows what became of the
	// slot cache.
	observationLifetime = time.Minute

	// MaxObservations is the number of slot caches for which observations are kept. It is greater than the 1,024 slot
	// caches that a fleet may lose at once, and limits the memory that received datagrams can take up. Memory is allocated
	// only for observations that exist.
	MaxObservations = 2048

	piggybackedObservations = 2 // maximum number of observations in a datagram that also carries claims and details

	// A router that joined within the last joinTime is sent the observations that are at most recentObservationAge old.
	// The list of cache servers shows it the results of older ones.
	joinTime             = 2 * time.Second
	recentObservationAge = 10 * time.Second

	// observationsPerDatagram is the number of observations that fit into a datagram without other sections. Up to joinDatagrams
	// such datagrams answer a ping from a router that has just joined.
	observationsPerDatagram = (MaxDatagramBytes - headBytes - sectionHeadBytes - checksumBytes) / observationBytes
	joinDatagrams           = 2
)

// storedObservation is the latest observation of a slot cache.
type storedObservation struct {
	Observation
	at        time.Duration // when the observation was made, by this router's clock
	sentCount uint8
}

// Observe spreads to the fleet what this router observed of a slot cache before the list of cache servers showed it.
func (v *View) Observe(o Observation) { v.storeObservation(&o) }

// Observations returns the latest observation of each slot cache by any router. They are at most a minute old.
func (v *View) Observations(now time.Duration) (all []Observation) {
	return v.observationsSince(now, now-observationLifetime+1)
}

// NewObservations returns the observations that were stored since the last call.
func (v *View) NewObservations() []Observation {
	observations := v.newObservations
	v.newObservations = nil
	return observations
}

// storeObservation stores an observation if it is newer than the known one of its slot cache. If all space is taken, it
// replaces the oldest observation, unless it is older itself.
func (v *View) storeObservation(o *Observation) {
	at := v.now - o.Age
	if o.Age >= observationLifetime {
		return
	}
	oldest := -1
	for i := range v.observations {
		stored := &v.observations[i]
		if stored.CacheID == o.CacheID {
			if at > stored.at+2*observationAgeUnit || o.State != stored.State && at > stored.at {
				*stored = storedObservation{*o, at, 0}
				v.newObservations = append(v.newObservations, *o)
			}
			return
		}
		if oldest < 0 || stored.at < v.observations[oldest].at {
			oldest = i
		}
	}
	full := len(v.observations) >= MaxObservations
	switch {
	case oldest >= 0 && (v.now-v.observations[oldest].at >= observationLifetime || full && v.observations[oldest].at < at):
		v.observations[oldest] = storedObservation{*o, at, 0}
	case !full:
		v.observations = append(v.observations, storedObservation{*o, at, 0})
	default:
		return
	}
	v.newObservations = append(v.newObservations, *o)
}

// dropExpiredObservations frees the memory of the observations once all of them have expired.
func (v *View) dropExpiredObservations() {
	for i := range v.observations {
		if v.now-v.observations[i].at < observationLifetime {
			return
		}
	}
	v.observations = nil
}

// appendObservations appends the observations that have been sent least, as many as fit into a datagram of length end, but
// no more than piggybackedObservations. It leaves out those that have been sent maxSends times.
func (v *View) appendObservations(b []byte, end int) []byte {
	if len(v.observations) == 0 {
		return b
	}
	section := len(b)
	b = append(b, byte(tagObservations), 0)
	for range piggybackedObservations {
		leastSent := -1
		for i := range v.observations {
			if stored := &v.observations[i]; stored.sentCount < v.updates.maxSends && v.now-stored.at < observationLifetime &&
				(leastSent < 0 || stored.sentCount < v.observations[leastSent].sentCount) {
				leastSent = i
			}
		}
		if leastSent < 0 || len(b)+observationBytes > end {
			break
		}
		stored := &v.observations[leastSent]
		stored.sentCount++
		o := stored.Observation
		o.Age = v.now - stored.at
		b = appendObservation(b, &o)
		b[section+1]++
	}
	if b[section+1] == 0 {
		return b[:section]
	}
	return b
}

// sendRecentObservations sends recent observations to a router that has just joined. Each observation is sent only a few
// times after it was made, which may have been before the router joined.
func (v *View) sendRecentObservations(joined int) {
	if v.now-v.members[joined].Since >= joinTime {
		return
	}
	recent := v.observationsSince(v.now, v.now-recentObservationAge)
	for range joinDatagrams {
		if len(recent) == 0 || v.repairBudget == 0 {
			return
		}
		n := min(len(recent), observationsPerDatagram)
		v.repairBudget--
		v.sendObservations(joined, recent[:n])
		recent = recent[n:]
	}
}

// observationsSince returns the observations that were made at or after a moment, with their age now.
func (v *View) observationsSince(now, moment time.Duration) (recent []Observation) {
	for _, stored := range v.observations {
		if stored.at >= moment {
			stored.Age = now - stored.at
			recent = append(recent, stored.Observation)
		}
	}
	return recent
}

// sendObservations sends a datagram that contains only observations, at most observationsPerDatagram of them.
func (v *View) sendObservations(to int, observations []Observation) {
	b := v.encodeOwnHead(kindUpdate, to, 0, 0)
	b = append(b, byte(tagObservations), byte(len(observations)))
	for i := range observations {
		b = appendObservation(b, &observations[i])
	}
	v.queueDatagram(to, b)
}
