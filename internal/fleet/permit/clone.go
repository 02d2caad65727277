package permit

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Clone is another elector that knows the same, for model checking.
func (e *Elector) Clone() *Elector {
	c := *e
	c.leases, c.seqs = maps.Clone(e.leases), maps.Clone(e.seqs)
	return &c
}

// Clone is another seeker that stands the same.
func (s *Seeker) Clone() *Seeker {
	c := *s
	c.slots, c.answered, c.held, c.out = slices.Clone(s.slots), slices.Clone(s.answered), maps.Clone(s.held), slices.Clone(s.out)
	return &c
}

// AppendState appends all on which hangs what an elector will answer. Times are told from now on.
func (e *Elector) AppendState(b []byte, now time.Duration) []byte {
	b = binary.AppendVarint(b, int64(max(0, e.silent-now)))
	var lines []string
	for s, l := range e.leases {
		if l.until > now {
			x := binary.AppendVarint(AppendSlot([]byte{1}, s), int64(l.permit))
			lines = append(lines, string(binary.AppendVarint(x, int64(l.until-now))))
		}
	}
	for p, q := range e.seqs {
		if q.until > now {
			x := binary.AppendVarint([]byte{2}, int64(p))
			lines = append(lines, string(binary.AppendVarint(binary.AppendVarint(x, int64(q.seq)), int64(q.until-now))))
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		b = append(b, l...)
	}
	return append(b, 0xff)
}

// AppendState appends all on which hangs what a seeker will do.
func (s *Seeker) AppendState(b []byte, now time.Duration) []byte {
	for _, x := range []int64{int64(s.Phase(now)), int64(s.seq), int64(now - s.sent), int64(now - s.again), int64(max(0, s.until-now)),
		int64(s.granted), int64(s.refused), int64(s.returns)} {
		b = binary.AppendVarint(b, x)
	}
	for _, x := range s.slots {
		b = AppendSlot(b, x)
	}
	for _, done := range s.answered {
		if done {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	var held []string
	for x, p := range s.held {
		held = append(held, string(binary.AppendVarint(AppendSlot(nil, x), int64(p))))
	}
	slices.Sort(held)
	for _, x := range held {
		b = append(b, x...)
	}
	return append(b, 0xfe)
}
