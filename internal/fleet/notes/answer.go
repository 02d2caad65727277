package notes

import (
	"cmp"
	"slices"
	"time"
)

// answer sends all notes that are believed, or, where they are too many for one answer, those that were sent least: whoever
// misses some hears of them by other answers, or when they are said anew.
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
	for _, h := range s.leastSent() {
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
	}
	flush()
}

// leastSent are all notes, those that were sent least since they were taken first.
func (s *Store) leastSent() []*held {
	list := make([]*held, 0, len(s.notes))
	for _, h := range s.notes {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *held) int { return cmp.Compare(a.sent, b.sent) })
	return list
}
