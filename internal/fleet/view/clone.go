package view

import (
	"encoding/binary"
	"slices"
)

// Clone is another view that says and will do the same, for model checking. What was received last is not in it.
func (v *View) Clone() *View {
	c := *v
	c.members = slices.Clone(v.members)
	c.own = &c.members[c.self]
	c.news.levels = make([][]item, len(v.news.levels))
	for i, l := range v.news.levels {
		c.news.levels[i] = slices.Clone(l)
	}
	c.news.debts = slices.Clone(v.news.debts)
	c.details, c.sights, c.probes = slices.Clone(v.details), slices.Clone(v.sights), slices.Clone(v.probes)
	c.order, c.events, c.out = slices.Clone(v.order), slices.Clone(v.events), slices.Clone(v.out)
	c.in = message{}
	return &c
}

// AppendState appends all on which hangs what the view will say and do, but for chance: two views of one router with the same
// state are as good as one to a search. Times are told from now on.
func (v *View) AppendState(b []byte) []byte {
	n := func(x ...int64) {
		for _, x := range x {
			b = binary.AppendVarint(b, x)
		}
	}
	flag := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	since := func(t int64) int64 { return int64(v.now) - t }
	for i := range v.members {
		m := &v.members[i]
		n(int64(m.State), int64(m.Phase), m.Inc.Start, int64(m.Inc.Count), int64(m.accusers), int64(m.sent), int64(m.heard))
		if m.State == Suspect {
			n(since(int64(m.suspectedAt)))
		}
	}
	for _, p := range v.probes {
		n(int64(p.target), since(int64(p.due)), int64(p.step), int64(p.asker))
	}
	n(-1, since(int64(v.next)), int64(v.health), int64(v.repairs), flag(v.leaving), int64(len(v.order)), int64(v.turn%lookupTurn), int64(v.alike))
	return b
}
