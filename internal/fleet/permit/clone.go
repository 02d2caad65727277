package permit

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Clone returns a copy of the voter, for model checking.
func (v *Voter) Clone() *Voter {
	c := *v
	c.leases, c.lastSeqs = maps.Clone(v.leases), maps.Clone(v.lastSeqs)
	return &c
}

// Clone returns a copy of the acquirer, for model checking.
func (a *Acquirer) Clone() *Acquirer {
	c := *a
	c.slots, c.answered, c.held, c.outgoing = slices.Clone(a.slots), slices.Clone(a.answered), maps.Clone(a.held),
		slices.Clone(a.outgoing)
	return &c
}

// AppendState appends an encoding of all state on which the voter's replies depend. Times are encoded relative to now.
func (v *Voter) AppendState(b []byte, now time.Duration) []byte {
	b = binary.AppendVarint(b, int64(max(0, v.silentUntil-now)))
	var lines []string
	for s, l := range v.leases {
		if l.expires > now {
			x := binary.AppendVarint(AppendSlot([]byte{1}, s), int64(l.permit))
			lines = append(lines, string(binary.AppendVarint(x, int64(l.expires-now))))
		}
	}
	for p, record := range v.lastSeqs {
		if record.expires > now {
			x := binary.AppendVarint([]byte{2}, int64(p))
			lines = append(lines, string(binary.AppendVarint(binary.AppendVarint(x, int64(record.seq)), int64(record.expires-now))))
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		b = append(b, l...)
	}
	return append(b, 0xff)
}

// AppendState appends an encoding of all state on which the acquirer's actions depend. Times are encoded relative to now.
func (a *Acquirer) AppendState(b []byte, now time.Duration) []byte {
	for _, x := range []int64{int64(a.Phase(now)), int64(a.seq), int64(now - a.sent), int64(now - a.nextSend),
		int64(max(0, a.heldUntil-now)), int64(a.grants), int64(a.refusals), int64(a.remainingReleases)} {
		b = binary.AppendVarint(b, x)
	}
	for _, x := range a.slots {
		b = AppendSlot(b, x)
	}
	for _, done := range a.answered {
		if done {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	var held []string
	for x, permit := range a.held {
		held = append(held, string(binary.AppendVarint(AppendSlot(nil, x), int64(permit))))
	}
	slices.Sort(held)
	for _, x := range held {
		b = append(b, x...)
	}
	return append(b, 0xfe)
}
