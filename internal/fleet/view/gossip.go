package view

import (
	"math/bits"
	"time"
)

// queue orders what is told of members: what has been sent least goes first.
type queue struct {
	most   uint8 // how often each change is sent
	eager  uint8 // how often it may make datagrams longer than quiet ones are
	levels [][]item
	debts  []debt
}

type item struct {
	who uint16
	gen uint32
}

// debt is what a neighbour has been found to know worse.
type debt struct{ to, who uint16 }

// A change is known by nearly all once each has told it log2(n) times; three times as many for those that have missed it
// (SWIM, section 4.1: lambda log n).
const spread = 3

func (q *queue) limit(n int) {
	log := uint8(bits.Len(uint(n)))
	q.most, q.eager = spread*log, log
	levels := make([][]item, q.most)
	copy(levels, q.levels)
	q.levels = levels
}

// push takes a change of a member up.
func (q *queue) push(who uint16, m *Member) {
	m.sent, m.heard = 0, 0
	if len(q.levels) == 0 {
		q.levels = make([][]item, 1)
	}
	q.levels[0] = append(q.levels[0], item{who, m.gen})
}

// mostDebts bounds work, and no list: what one datagram shows to be known worse is at most its sender and its 18 claims, and is
// sent before the next datagram is read.
const mostDebts = 512

// owe notes that a neighbour is to be told of a member once more.
func (q *queue) owe(to, who uint16) {
	if len(q.debts) < mostDebts {
		q.debts = append(q.debts, debt{to, who})
	}
}

// hasEager tells how many changes are still fresh.
func (q *queue) hasEager() (n int) {
	for _, l := range q.levels[:min(int(q.eager), len(q.levels))] {
		n += len(l)
	}
	return n
}

// enoughAlike neighbours in a row that say the same as this router show that its news is old.
const enoughAlike = 8

// settle forgets all news but suspicions, which the sum of a view doesn't show.
func (q *queue) settle(members []Member) {
	for i, l := range q.levels {
		kept := l[:0]
		for _, it := range l {
			if members[it.who].State == Suspect {
				kept = append(kept, it)
			}
		}
		q.levels[i] = kept
	}
}

// pop gives up to n changes that have been sent less than a number of times, and counts them as sent.
func (q *queue) pop(n int, below uint8, members []Member, take func(who uint16)) (taken int) {
	var again [][2]int // level and number of items that were taken from it
	for level := 0; level < min(int(below), len(q.levels)) && taken < n; level++ {
		l := q.levels[level]
		k := 0
		for k < len(l) && taken < n {
			it := l[k]
			k++
			if m := &members[it.who]; m.gen == it.gen && int(m.sent) == level {
				take(it.who)
				taken++
				continue
			}
			l[k-1].gen = 0 // overtaken by a later change
		}
		again = append(again, [2]int{level, k})
	}
	for i := len(again) - 1; i >= 0; i-- { // upwards last, or one would be taken twice
		level, k := again[i][0], again[i][1]
		l := q.levels[level]
		for _, it := range l[:k] {
			if it.gen == 0 {
				continue
			}
			m := &members[it.who]
			// What others say as well is told as often by them (Demers and others, "Epidemic Algorithms for Replicated
			// Database Maintenance", PODC 1987: feedback and counter).
			level := int(m.sent) + 1 + int(m.heard)
			m.sent, m.heard = uint8(min(level, 255)), 0
			if level < len(q.levels) {
				q.levels[level] = append(q.levels[level], it)
			}
		}
		q.levels[level] = append(l[:0], l[k:]...)
	}
	return taken
}

// quietBytes is the length up to which a datagram is filled with what is not urgent. With it a router sends what
// it may: 85 bytes, 3.3 probes a second sent and as many answered.
const quietBytes = 85

// send makes a datagram. Its room is given to claims that the receiver needs, fresh news, own and others' details,
// sightings, and news that has been told often already.
func (v *View) send(k kind, to int, seq uint32, about int, needs ...int) {
	v.write(k, to, seq, about, false, needs)
}

func (v *View) write(k kind, to int, seq uint32, about int, compare bool, needs []int) {
	b := v.begin(k, to, seq, about)
	const end = MostBytes - checkBytes
	if compare {
		b = v.appendBits(b, seq)
	}
	room := (end - len(b) - sectionBytes) / claimBytes
	at := len(b)
	b = append(b, byte(tagClaims), 0)
	n := 0
	put := func(who uint16) {
		if int(who) != v.self { // the head says it
			c := v.claim(int(who))
			b = appendClaim(b, &c)
			n++
		}
	}
	for _, who := range needs {
		if n < room {
			put(uint16(who))
		}
	}
	if k != ask && !(k == ping && about != to) && !(k == ack && about != v.self) {
		v.news.pop(room-n, v.news.eager, v.members, put)
		if quiet := (quietBytes - checkBytes - len(b)) / claimBytes; quiet > 0 && v.news.hasEager() == 0 {
			v.news.pop(min(quiet, 2), v.news.most, v.members, put)
		}
	}
	if b[at+1] = byte(n); n == 0 {
		b = b[:at]
	}
	if k == ping || k == ack && about == v.self || k == news {
		b = v.appendSights(b, end)
		b = v.appendDetails(b, quietBytes-checkBytes)
	}
	v.post(to, b)
}

// begin makes a datagram's head.
func (v *View) begin(k kind, to int, seq uint32, about int) []byte {
	h := head{kind: k, from: uint16(v.self), to: uint16(to), of: uint16(v.of), seq: seq, about: uint16(about), inc: v.own.Inc,
		state: v.own.State, phase: v.own.Phase, sum: v.sum}
	return appendHead(make([]byte, 0, MostBytes), &h)
}

// post has a whole datagram sent.
func (v *View) post(to int, b []byte) {
	b = seal(b)
	v.out = append(v.out, Datagram{to, b})
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(b))
}

// claim is what this router says of one.
func (v *View) claim(who int) claim {
	m := &v.members[who]
	c := claim{who: uint16(who), state: m.State, phase: m.Phase, inc: m.Inc}
	if m.State == Suspect {
		c.accusers, c.age = m.accusers, v.now-m.suspectedAt
	}
	return c
}

// Tell renews what this router tells of itself, at most as often as the fleet has room for: a router passes on some
// twenty details a second, so that each of n may be renewed every n/10 seconds, and at the most every 2.
func (v *View) Tell(d Details) {
	same := d.Version == v.told.Version && d.Settings == v.told.Settings
	v.told.Version, v.told.Settings, v.told.Rate, v.told.Zone = d.Version, d.Settings, d.Rate, d.Zone
	if every := max(2*time.Second, time.Duration(v.of)*time.Second/10); v.own.Details.Seq == 0 || !same || v.now-v.toldAt >= every {
		v.renew()
	}
}

func (v *View) renew() {
	v.toldAt = v.now
	v.told.Seq = v.own.Details.Seq + 1
	if v.told.Seq == 0 {
		v.told.Seq = 1
	}
	v.learn(v.self, v.told)
}

func (v *View) learn(who int, d Details) {
	m := &v.members[who]
	if !m.detailsQueued {
		v.details = append(v.details, uint16(who))
	}
	m.Details, m.detailsSent, m.detailsQueued = d, 0, true
}

func (v *View) hearDetail(d *detail) {
	if int(d.who) >= v.of || int(d.who) == v.self {
		return
	}
	m := &v.members[d.who]
	// The life must be known: what a former one told is not this one's.
	if m.Known() && m.Inc.Start == d.start && (m.Details.Seq == 0 || int16(d.Seq-m.Details.Seq) > 0) {
		v.learn(int(d.who), d.Details)
	}
}

// appendDetails adds details up to a length of the whole: those that wait longest.
func (v *View) appendDetails(b []byte, end int) []byte {
	n := min((end-len(b)-sectionBytes)/detailBytes, len(v.details))
	if n <= 0 {
		return b
	}
	at := len(b)
	b = append(b, byte(tagDetails), 0)
	for range n {
		who := v.details[0]
		v.details = v.details[1:]
		m := &v.members[who]
		if m.detailsQueued = m.Details.Seq != 0; !m.detailsQueued { // of a life that has ended
			continue
		}
		d := detail{who: who, start: m.Inc.Start, Details: m.Details}
		b = appendDetail(b, &d)
		b[at+1]++
		m.detailsSent++
		if m.detailsQueued = m.detailsSent < v.news.most; m.detailsQueued {
			v.details = append(v.details, who)
		}
	}
	if b[at+1] == 0 {
		b = b[:at]
	}
	return b
}
