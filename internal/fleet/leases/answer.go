package leases

import (
	"cmp"
	"slices"
	"time"
)

// answer answers a pull with all valid leases or, if they are too many for one answer, with those that the asking router
// needs most.
func (s *Store) answer(now time.Duration, to int, number uint32) {
	s.dropExpired(now)
	begin := func() []byte { return appendAnswer(uint16(s.self), uint16(to), number) }
	emptyLen := len(begin())
	b, datagrams := begin(), 0
	flush := func() {
		if len(b) > emptyLen {
			s.outgoing = append(s.outgoing, Datagram{to, appendChecksum(b)})
			b, datagrams = begin(), datagrams+1
		}
	}
	for _, stored := range s.byNeed(to) {
		lease := stored.Lease
		lease.EndsIn = stored.endsAt - now
		encoded := appendLease(nil, &lease, stored.expires-now)
		if len(b)+len(encoded)+checksumBytes > maxDatagramBytes {
			flush()
		}
		if datagrams == maxAnswerDatagrams {
			return
		}
		b = append(b, encoded...)
		stored.answers++
		stored.sentTo.add(to)
	}
	flush()
}

// byNeed returns all leases in the order in which the asking router needs them. Leases that were not sent to it from here
// come first: this router's own before the others, since no router has them earlier, and the latest first. Then come those
// that were sent to it, in case the datagrams were lost: those that were in the fewest answers first.
func (s *Store) byNeed(asking int) []*storedLease {
	list := make([]*storedLease, 0, len(s.leases))
	for _, stored := range s.leases {
		list = append(list, stored)
	}
	slices.SortFunc(list, func(a, b *storedLease) int {
		sentTo := a.sentTo.has(asking)
		switch {
		case sentTo != b.sentTo.has(asking):
			return trueLast(sentTo)
		case sentTo:
			return cmp.Or(cmp.Compare(a.answers, b.answers), a.Key.compare(b.Key))
		}
		if own := int(a.Owner) == s.self; own != (int(b.Owner) == s.self) {
			return trueLast(!own)
		}
		return cmp.Or(cmp.Compare(b.received, a.received), a.Key.compare(b.Key))
	})
	return list
}

// trueLast returns the result of comparing two items. Exactly one of them meets a condition, and that item is to be sorted
// last. first says whether it is the first of the two.
func trueLast(first bool) int {
	if first {
		return 1
	}
	return -1
}

const wordBits = 64

// routerSet is a bit set of router numbers.
type routerSet []uint64

func (s routerSet) has(router int) bool {
	word := router / wordBits
	return word < len(s) && s[word]>>(router%wordBits)&1 == 1
}

func (s *routerSet) add(router int) {
	for router/wordBits >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[router/wordBits] |= 1 << (router % wordBits)
}
