package view

import (
	"math/bits"
	"time"
)

// updateQueue holds the membership updates that this router spreads. The updates that it has sent least often go first.
type updateQueue struct {
	maxSends      uint8            // after this many sends an update leaves the queue
	maxEagerSends uint8            // an update sent fewer times is eager: it may make a datagram longer than softMaxBytes
	levels        [][]queuedUpdate // indexed by the number of sends
	corrections   []correction
}

// queuedUpdate is an update about a router. It is outdated if the router's Member has another generation.
type queuedUpdate struct {
	router     uint16
	generation uint32
}

// correction is a claim about a router. It is to be sent to another router, whose information is outdated.
type correction struct{ to, router uint16 }

// sendMultiplier scales how often each router sends an update. Nearly all of n routers know an update after each has sent it
// log2(n) times. Three times as many sends also reach the routers that have missed it (SWIM, section 4.1: lambda log n).
const sendMultiplier = 3

// setRouterCount sets the numbers of sends for a fleet of n routers.
func (q *updateQueue) setRouterCount(n int) {
	log := uint8(bits.Len(uint(n)))
	q.maxSends, q.maxEagerSends = sendMultiplier*log, log
	levels := make([][]queuedUpdate, q.maxSends)
	copy(levels, q.levels)
	q.levels = levels
}

// push queues a change of a member.
func (q *updateQueue) push(router uint16, m *Member) {
	m.sentCount, m.heardCount = 0, 0
	if len(q.levels) == 0 {
		q.levels = make([][]queuedUpdate, 1)
	}
	q.levels[0] = append(q.levels[0], queuedUpdate{router, m.generation})
}

// maxCorrections limits the work that a datagram can cause. The queue never gets that long: a datagram causes at most one
// correction for its sender and one for each of its 18 claims, and the queue is emptied before the next datagram is read.
const maxCorrections = 512

// addCorrection queues a correction about a router.
func (q *updateQueue) addCorrection(to, router uint16) {
	if len(q.corrections) < maxCorrections {
		q.corrections = append(q.corrections, correction{to, router})
	}
}

// eagerCount returns the number of eager updates.
func (q *updateQueue) eagerCount() (n int) {
	for _, level := range q.levels[:min(int(q.maxEagerSends), len(q.levels))] {
		n += len(level)
	}
	return n
}

// enoughAgreeing is the number of received datagrams in a row with this view's checksum, after which this router's updates
// count as known to the whole fleet.
const enoughAgreeing = 8

// keepSuspicionsOnly drops all updates but suspicions. Equal checksums don't show that other routers know the suspicions.
func (q *updateQueue) keepSuspicionsOnly(members []Member) {
	for i, level := range q.levels {
		kept := level[:0]
		for _, update := range level {
			if members[update.router].State == Suspect {
				kept = append(kept, update)
			}
		}
		q.levels[i] = kept
	}
}

// pop calls visit with up to n updates that have been sent fewer than sendLimit times, and counts them as sent. It returns
// their number.
func (q *updateQueue) pop(n int, sendLimit uint8, members []Member, visit func(router uint16)) (visited int) {
	var taken [][2]int // each level that was read, and the number of entries that were read from it
	for sends := 0; sends < min(int(sendLimit), len(q.levels)) && visited < n; sends++ {
		level := q.levels[sends]
		k := 0
		for k < len(level) && visited < n {
			update := level[k]
			k++
			if m := &members[update.router]; m.generation == update.generation && int(m.sentCount) == sends {
				visit(update.router)
				visited++
				continue
			}
			level[k-1].generation = 0 // a later change of the member has replaced this entry
		}
		taken = append(taken, [2]int{sends, k})
	}
	// The last level comes first, because updates move to higher levels and none may move twice.
	for i := len(taken) - 1; i >= 0; i-- {
		sends, k := taken[i][0], taken[i][1]
		level := q.levels[sends]
		for _, update := range level[:k] {
			if update.generation == 0 {
				continue
			}
			m := &members[update.router]
			// Sends of the same update by other routers, as far as they were heard, count too: they spread it as well (Demers
			// and others, "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987: feedback and counter).
			sends := int(m.sentCount) + 1 + int(m.heardCount)
			m.sentCount, m.heardCount = uint8(min(sends, 255)), 0
			if sends < len(q.levels) {
				q.levels[sends] = append(q.levels[sends], update)
			}
		}
		q.levels[sends] = append(level[:0], level[k:]...)
	}
	return visited
}

// softMaxBytes is the length up to which a datagram is filled with information that is not urgent. With 85 bytes, a
// router that sends 3.3 probes per second and answers as many stays within its permitted traffic.
const softMaxBytes = 85

// send queues a datagram. Its space is filled in this order: claims about the required routers, eager updates,
// observations, and details of this and other routers. Up to two updates that are not eager are added if there are no
// eager ones and softMaxBytes leaves space for them. Exchanges carry no observations or details. Datagrams on behalf of
// another router contain only the required claims.
func (v *View) send(k kind, to int, seq uint32, subject int, required ...int) {
	v.sendDatagram(k, to, seq, subject, false, required)
}

// sendDatagram does what send does, and can add a comparison of the members to the datagram.
func (v *View) sendDatagram(k kind, to int, seq uint32, subject int, withComparison bool, required []int) {
	b := v.encodeOwnHead(k, to, seq, subject)
	const end = MaxDatagramBytes - checksumBytes
	if withComparison {
		b = v.appendComparison(b, seq)
	}
	capacity := (end - len(b) - sectionHeadBytes) / claimBytes
	section := len(b)
	b = append(b, byte(tagClaims), 0)
	n := 0
	appendMember := func(router uint16) {
		if int(router) != v.self { // the head of the datagram makes the claim about this router
			c := v.claimAbout(int(router))
			b = appendClaim(b, &c)
			n++
		}
	}
	for _, router := range required {
		if n < capacity {
			appendMember(uint16(router))
		}
	}
	if k != kindPingRequest && !(k == kindPing && subject != to) && !(k == kindAck && subject != v.self) {
		v.updates.pop(capacity-n, v.updates.maxEagerSends, v.members, appendMember)
		if spare := (softMaxBytes - checksumBytes - len(b)) / claimBytes; spare > 0 && v.updates.eagerCount() == 0 {
			v.updates.pop(min(spare, 2), v.updates.maxSends, v.members, appendMember)
		}
	}
	if b[section+1] = byte(n); n == 0 {
		b = b[:section]
	}
	if k == kindPing || k == kindAck && subject == v.self || k == kindUpdate {
		b = v.appendObservations(b, end)
		b = v.appendDetails(b, softMaxBytes-checksumBytes)
	}
	v.queueDatagram(to, b)
}

// encodeOwnHead returns the encoded head of a datagram from this router.
func (v *View) encodeOwnHead(k kind, to int, seq uint32, subject int) []byte {
	h := head{kind: k, from: uint16(v.self), to: uint16(to), routerCount: uint16(v.routerCount), seq: seq, subject: uint16(subject),
		inc: v.own.Incarnation, state: v.own.State, phase: v.own.Phase, viewChecksum: v.checksum}
	return appendHead(make([]byte, 0, MaxDatagramBytes), &h)
}

// queueDatagram adds the checksum to a datagram and queues it to be sent.
func (v *View) queueDatagram(to int, b []byte) {
	b = appendChecksum(b)
	v.outgoing = append(v.outgoing, Datagram{to, b})
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(b))
}

// claimAbout returns a claim with what this router knows about a router.
func (v *View) claimAbout(router int) claim {
	m := &v.members[router]
	c := claim{router: uint16(router), state: m.State, phase: m.Phase, inc: m.Incarnation}
	if m.State == Suspect {
		c.accusers, c.suspicionAge = m.accusers, v.now-m.suspectedAt
	}
	return c
}

// SetDetails sets the details that this router publishes about itself; Seq and DuplicateNumber are set by the view. Unless
// the version or the settings change, new details are published no more often than the fleet has capacity for: a router
// passes on about twenty details per second, so that each of n routers may publish new ones every n/10 seconds, and at
// most every 2 seconds.
func (v *View) SetDetails(d Details) {
	same := d.VersionHash == v.ownDetails.VersionHash && d.SettingsHash == v.ownDetails.SettingsHash
	v.ownDetails.VersionHash, v.ownDetails.SettingsHash, v.ownDetails.RequestRate, v.ownDetails.Zone = d.VersionHash, d.SettingsHash, d.RequestRate, d.Zone
	if interval := max(2*time.Second, time.Duration(v.routerCount)*time.Second/10); v.own.Details.Seq == 0 || !same ||
		v.now-v.detailsPublishedAt >= interval {
		v.publishDetails()
	}
}

// publishDetails queues this router's details under a new sequence number.
func (v *View) publishDetails() {
	v.detailsPublishedAt = v.now
	v.ownDetails.Seq = v.own.Details.Seq + 1
	if v.ownDetails.Seq == 0 {
		v.ownDetails.Seq = 1
	}
	v.storeDetails(v.self, v.ownDetails)
}

// storeDetails stores a router's new details and queues them to be sent.
func (v *View) storeDetails(router int, d Details) {
	m := &v.members[router]
	if !m.detailsQueued {
		v.detailQueue = append(v.detailQueue, uint16(router))
	}
	m.Details, m.detailsSentCount, m.detailsQueued = d, 0, true
}

// handleDetail stores the details of another router if they are newer than the known ones.
func (v *View) handleDetail(d *detail) {
	if int(d.router) >= v.routerCount || int(d.router) == v.self {
		return
	}
	m := &v.members[d.router]
	// The details must come from the process that this view knows: those of a former process don't describe the present one.
	if m.Known() && m.Incarnation.Start == d.start && (m.Details.Seq == 0 || int16(d.Seq-m.Details.Seq) > 0) {
		v.storeDetails(int(d.router), d.Details)
	}
}

// appendDetails appends the details that have waited longest, as many as fit into a datagram of length end.
func (v *View) appendDetails(b []byte, end int) []byte {
	n := min((end-len(b)-sectionHeadBytes)/detailBytes, len(v.detailQueue))
	if n <= 0 {
		return b
	}
	section := len(b)
	b = append(b, byte(tagDetails), 0)
	for range n {
		router := v.detailQueue[0]
		v.detailQueue = v.detailQueue[1:]
		m := &v.members[router]
		if m.detailsQueued = m.Details.Seq != 0; !m.detailsQueued { // the process that published them has ended
			continue
		}
		d := detail{router: router, start: m.Incarnation.Start, Details: m.Details}
		b = appendDetail(b, &d)
		b[section+1]++
		m.detailsSentCount++
		if m.detailsQueued = m.detailsSentCount < v.updates.maxSends; m.detailsQueued {
			v.detailQueue = append(v.detailQueue, router)
		}
	}
	if b[section+1] == 0 {
		b = b[:section]
	}
	return b
}
