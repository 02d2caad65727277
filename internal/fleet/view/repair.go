package view

import "time"

// These limit what a router sends per period, regardless of the size of its fleet. What doesn't fit waits for the next period.
const (
	maxRepairs        = 8  // datagrams with repairs, corrections or observations for a joining router
	claimsPerDatagram = 18 // claims that fit into a datagram
	extraUpdates      = 3  // datagrams sent besides the probes when more updates are queued than the probes carry
)

// wantsComparison reports whether the answer to a datagram is to contain a comparison, because the sender's view differs.
// A single change spreads without it. A comparison is worthwhile when many members change, or when nothing changes and the
// views still differ.
func (v *View) wantsComparison(m *message) bool {
	return m.viewChecksum != v.checksum && int(m.routerCount) == v.routerCount &&
		(v.recentChanges > manyChanges || v.now-v.lastChangeAt > settleTime ||
			v.differingSince > 0 && v.now-v.differingSince > 2*settleTime)
}

const (
	recentChangesDecay = 0.8 // factor by which View.recentChanges decreases each period
	manyChanges        = 16  // value of View.recentChanges above which views are compared at once
	settleTime         = 1500 * time.Millisecond
)

// bitsPerMember returns how many bits of each member's fingerprint a comparison contains, so that it fits into a datagram
// besides claims. In a fleet of more than 1,008 members a comparison covers only some of them, different ones each time.
func bitsPerMember(routerCount int) int {
	for _, width := range []int{8, 4, 2} {
		if routerCount*width <= maxComparisonBytes*8 {
			return width
		}
	}
	return 1
}

// fingerprintBits returns the bits of a member's fingerprint for the comparison in the datagram with the sequence number
// seq. They differ from comparison to comparison, so that a difference that one comparison misses is found by the next.
func fingerprintBits(fingerprint uint64, seq uint32, width int) byte {
	mixed := (fingerprint ^ uint64(seq)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return byte(mixed >> (64 - width))
}

// appendComparison appends some bits of each member's fingerprint. A receiver that has other bits for a member knows
// something else about that member.
func (v *View) appendComparison(b []byte, seq uint32) []byte {
	width := bitsPerMember(v.routerCount)
	n := min(v.routerCount, maxComparisonBytes*8/width)
	first := 0
	if n < v.routerCount {
		first = v.randomInt(v.routerCount)
	}
	b = append(b, byte(tagComparison), byte(2+(n*width+7)/8), byte(first>>8), byte(first))
	section := len(b)
	b = append(b, make([]byte, (n*width+7)/8)...)
	for k := range n {
		bits := fingerprintBits(v.members[(first+k)%v.routerCount].fingerprint, seq, width)
		b[section+k*width/8] |= bits << (k * width % 8)
	}
	return b
}

// sendRepairs sends a neighbour this router's claims about those members for which the neighbour's comparison differs. The
// neighbour replies with the claims for which its own knowledge is newer.
func (v *View) sendRepairs(to int, seq uint32, comparison []byte) {
	first, comparison := int(comparison[0])<<8|int(comparison[1]), comparison[2:]
	width := bitsPerMember(v.routerCount)
	n := min(v.routerCount, len(comparison)*8/width)
	begin := v.randomInt(n)
	var required []int
	flush := func() {
		if len(required) > 0 && v.repairBudget > 0 {
			v.repairBudget--
			v.sendDatagram(kindExchange, to, 0, 0, false, required)
		}
		required = required[:0]
	}
	for i := range n {
		k := (begin + i) % n
		router := (first + k) % v.routerCount
		if router == v.self || router == to || v.repairBudget == 0 { // datagram heads carry the claims about these two routers
			continue
		}
		if byte(comparison[k*width/8]>>(k*width%8))&byte(1<<width-1) != fingerprintBits(v.members[router].fingerprint, seq, width) {
			if required = append(required, router); len(required) == claimsPerDatagram {
				flush()
			}
		}
	}
	flush()
}

// sendCorrections sends the queued corrections, in one datagram or more for each neighbour, and drops those beyond the
// budget of the period.
func (v *View) sendCorrections() {
	for len(v.updates.corrections) > 0 && v.repairBudget > 0 {
		to := v.updates.corrections[0].to
		var required []int
		remaining := v.updates.corrections[:0]
		for _, c := range v.updates.corrections {
			if c.to == to && len(required) < claimsPerDatagram {
				required = append(required, int(c.router))
				continue
			}
			remaining = append(remaining, c)
		}
		v.updates.corrections = remaining
		v.repairBudget--
		v.sendDatagram(kindUpdate, int(to), 0, 0, false, required)
	}
	v.updates.corrections = v.updates.corrections[:0]
}
