package view

import "time"

const (
	// sightLife is how long a sighting is kept; the list has told by then what became of the slot cache.
	sightLife = time.Minute

	// MostSights is how many slot caches sightings are kept of: more than the 1,024 that a fleet may lose at once. It bounds the
	// memory that datagrams can take; what is not seen takes none.
	MostSights = 2048

	perMessage = 2 // sightings in a datagram, beside claims and details

	// joinTime is for how long a router that has joined is told of what was seen before, and recentSight how old that may be: what
	// is older was told by the list.
	joinTime    = 2 * time.Second
	recentSight = 10 * time.Second

	// sightsPerDatagram fit into a datagram that has nothing else, and joinDatagrams of these answer one probe.
	sightsPerDatagram = (MostBytes - headBytes - sectionBytes - checkBytes) / sightBytes
	joinDatagrams     = 2
)

type sighting struct {
	Sight
	at   time.Duration // when it was seen, by this router's clock
	sent uint8
}

// Saw tells the fleet what this router saw of a slot cache before the list did.
func (v *View) Saw(s Sight) { v.hearSight(&s) }

// Sights are what any router saw of slot caches, at most a minute old, the latest of each.
func (v *View) Sights(now time.Duration) (all []Sight) {
	return v.sightsSince(now, now-sightLife+1)
}

// NewSights gives the sightings that have become known since it was last asked.
func (v *View) NewSights() []Sight {
	s := v.newSights
	v.newSights = nil
	return s
}

func (v *View) hearSight(s *Sight) {
	at := v.now - s.Age
	if s.Age >= sightLife {
		return
	}
	oldest := -1
	for i := range v.sights {
		k := &v.sights[i]
		if k.Cache == s.Cache {
			if at > k.at+2*sightUnit || s.State != k.State && at > k.at {
				*k = sighting{*s, at, 0}
				v.newSights = append(v.newSights, *s)
			}
			return
		}
		if oldest < 0 || k.at < v.sights[oldest].at {
			oldest = i
		}
	}
	full := len(v.sights) >= MostSights
	switch {
	case oldest >= 0 && (v.now-v.sights[oldest].at >= sightLife || full && v.sights[oldest].at < at):
		v.sights[oldest] = sighting{*s, at, 0}
	case !full:
		v.sights = append(v.sights, sighting{*s, at, 0})
	default:
		return
	}
	v.newSights = append(v.newSights, *s)
}

// forgetSights frees the room of sightings once all of them are old.
func (v *View) forgetSights() {
	for i := range v.sights {
		if v.now-v.sights[i].at < sightLife {
			return
		}
	}
	v.sights = nil
}

// appendSights adds sightings that have not been told often yet.
func (v *View) appendSights(b []byte, end int) []byte {
	if len(v.sights) == 0 {
		return b
	}
	start := len(b)
	b = append(b, byte(tagSights), 0)
	for range perMessage {
		least := -1
		for i := range v.sights {
			if k := &v.sights[i]; k.sent < v.news.most && v.now-k.at < sightLife && (least < 0 || k.sent < v.sights[least].sent) {
				least = i
			}
		}
		if least < 0 || len(b)+sightBytes > end {
			break
		}
		k := &v.sights[least]
		k.sent++
		s := k.Sight
		s.Age = v.now - k.at
		b = appendSight(b, &s)
		b[start+1]++
	}
	if b[start+1] == 0 {
		return b[:start]
	}
	return b
}

// tellJoining tells a router that has just joined of recent sightings. The others are told of each only a few times after it was made,
// which may be before the new one was there.
func (v *View) tellJoining(joined int) {
	if v.now-v.members[joined].Since >= joinTime {
		return
	}
	recent := v.sightsSince(v.now, v.now-recentSight)
	for range joinDatagrams {
		if len(recent) == 0 || v.repairs == 0 {
			return
		}
		n := min(len(recent), sightsPerDatagram)
		v.repairs--
		v.tellSights(joined, recent[:n])
		recent = recent[n:]
	}
}

// sightsSince are the sightings that were made from a moment on, with their age now.
func (v *View) sightsSince(now, moment time.Duration) (recent []Sight) {
	for _, s := range v.sights {
		if s.at >= moment {
			s.Age = now - s.at
			recent = append(recent, s.Sight)
		}
	}
	return recent
}

// tellSights sends a datagram of nothing but up to sightsPerDatagram sightings.
func (v *View) tellSights(to int, sights []Sight) {
	b := v.begin(news, to, 0, 0)
	b = append(b, byte(tagSights), byte(len(sights)))
	for i := range sights {
		b = appendSight(b, &sights[i])
	}
	v.post(to, b)
}
