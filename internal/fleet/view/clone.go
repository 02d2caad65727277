package view

import (
	"encoding/binary"
	"slices"
)

// Clone returns a deep copy of the view, for model checking. The datagram that was received last is not copied.
func (v *View) Clone() *View {
	c := *v
	c.members = slices.Clone(v.members)
	c.own = &c.members[c.self]
	c.updates.levels = make([][]queuedUpdate, len(v.updates.levels))
	for i, level := range v.updates.levels {
		c.updates.levels[i] = slices.Clone(level)
	}
	c.updates.corrections = slices.Clone(v.updates.corrections)
	c.detailQueue, c.observations, c.probes = slices.Clone(v.detailQueue), slices.Clone(v.observations), slices.Clone(v.probes)
	c.probeOrder, c.events, c.outgoing = slices.Clone(v.probeOrder), slices.Clone(v.events), slices.Clone(v.outgoing)
	c.received = message{}
	return &c
}

// AppendState appends everything that determines what the view does next, except for the state of its random source. A
// search may treat two views of one router with equal states as one. Times are relative to now.
func (v *View) AppendState(b []byte) []byte {
	appendInts := func(values ...int64) {
		for _, value := range values {
			b = binary.AppendVarint(b, value)
		}
	}
	boolToInt := func(condition bool) int64 {
		if condition {
			return 1
		}
		return 0
	}
	since := func(t int64) int64 { return int64(v.now) - t }
	for i := range v.members {
		m := &v.members[i]
		appendInts(int64(m.State), int64(m.Phase), m.Incarnation.Start, int64(m.Incarnation.Count),
			int64(m.accusers), int64(m.sentCount), int64(m.heardCount))
		if m.State == Suspect {
			appendInts(since(int64(m.suspectedAt)))
		}
	}
	for _, p := range v.probes {
		appendInts(int64(p.target), since(int64(p.dueAt)), int64(p.step), int64(p.requester))
	}
	appendInts(-1, since(int64(v.nextProbeAt)), int64(v.healthScore), int64(v.repairBudget), boolToInt(v.leaving),
		int64(len(v.probeOrder)), int64(v.probeCount%lookupInterval), int64(v.agreeing))
	return b
}
