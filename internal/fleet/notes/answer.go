package notes

import (
	"cmp"
	"slices"
	"time"
)

// answer sends all notes that are believed, or, where they are too many for one answer, those that the asker needs most.
func (s *Store) answer(now time.Duration, to int, number uint32) {
	s.forget(now)
	begin := func() []byte { return appendReply(uint16(s.self), uint16(to), number) }
	empty := len(begin())
	b, replies := begin(), 0
	flush := func() {
		if len(b) > empty {
			s.out = append(s.out, Datagram{to, seal(b)})
			b, replies = begin(), replies+1
		}
	}
	for _, h := range s.byNeed(to) {
		n := h.Note
		n.Ends = h.ends - now
		item := appendNote(nil, &n, h.until-now)
		if len(b)+len(item)+checkBytes > mostBytes {
			flush()
		}
		if replies == mostReplies {
			return
		}
		b = append(b, item...)
		h.sent++
		h.told.add(to)
	}
	flush()
}

// byNeed are all notes in the order in which an asker needs them: those that it has not been told from here, this router's own
// first since nobody else has them earlier, the latest first; then the others, in case they were lost on the way, those that were
// sent least first.
func (s *Store) byNeed(asker int) []*held {
	list := make([]*held, 0, len(s.notes))
	for _, h := range s.notes {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *held) int {
		told := a.told.has(asker)
		switch {
		case told != b.told.has(asker):
			return trueLast(told)
		case told:
			return cmp.Or(cmp.Compare(a.sent, b.sent), a.Key.compare(b.Key))
		}
		if own := int(a.Owner) == s.self; own != (int(b.Owner) == s.self) {
			return trueLast(!own)
		}
		return cmp.Or(cmp.Compare(b.taken, a.taken), a.Key.compare(b.Key))
	})
	return list
}

// trueLast compares a condition that holds for one of two alone.
func trueLast(first bool) int {
	if first {
		return 1
	}
	return -1
}

const wordBits = 64

// routerSet is a set of routers by number.
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
