package permit

import (
	"math/rand/v2"
	"time"
)

// Permits of slot caches, and of releases, belong to no router: one asks for them, and another one can go on with what it has
// learned of them when the first is gone. Once they were held their slots are never given back: whoever has heard that a slot
// cache is out believes it for as long as the lease lasts, which must outlive them all.

// NewPermit draws the number of a permit for a slot cache or a release.
func (a *Agent) NewPermit(id uint32) uint64 {
	return a.Chance()<<48 | uint64(id)<<16 | uint64(a.Self)
}

// CacheOf is the slot cache that a permit of the slot caches' groups is for.
func CacheOf(permit uint64) uint32 { return uint32(permit >> 16) }

// CacheGroups are those that bound a slot cache of a zone; a negative one is not known.
func (a *Agent) CacheGroups(zone int) []uint16 {
	groups := []uint16{AllCaches}
	if group, ok := zoneGroup(FirstCacheZone, zone); ok && a.OfZone != (Bound{}) {
		groups = append(groups, group)
	}
	return groups
}

// Seek asks for a permit in groups, and goes on asking and renewing until Forget.
func (a *Agent) Seek(now time.Duration, permit uint64, groups []uint16) {
	a.seek(now, permit, 0, false, func(held map[Slot]uint64) []Slot { return a.chooseApart(permit, groups, held) })
}

// Adopt goes on with a permit that another router, or a former life, has asked for. What it asks is later than all that was
// asked before a number.
func (a *Agent) Adopt(now time.Duration, permit uint64, slots []Slot, seq uint32) {
	a.seek(now, permit, seq, true, func(map[Slot]uint64) []Slot { return slots })
}

func (a *Agent) seek(now time.Duration, permit uint64, seq uint32, keeps bool, choose func(map[Slot]uint64) []Slot) {
	k := NewSeeker(permit, len(a.electors), MostLease)
	k.seq, k.Choose, k.Keeps = seq, choose, keeps
	k.Chance = rand.New(rand.NewPCG(a.Chance(), permit)).Float64
	if a.others == nil {
		a.others = map[uint64]*Seeker{}
	}
	a.others[permit] = k
	k.Want(now)
	a.flush()
}

// Forget asks and renews no more. The lease runs out by itself.
func (a *Agent) Forget(permit uint64) { delete(a.others, permit) }

// Other is where such a permit stands: its phase, for how long it is held, by which slots, and why it was last refused.
func (a *Agent) Other(now time.Duration, permit uint64) (p Phase, left time.Duration, slots []Slot, reason string) {
	k := a.others[permit]
	if k == nil {
		return Idle, 0, nil, ""
	}
	switch p = k.Phase(now); p {
	case Holding:
		left = k.Until() - now
	case Asking:
		reason = why(k)
	}
	return p, left, k.Slots(), reason
}

// allowCache holds a slot cache's new permit against its bound. Those that are down use up places, whatever the reason.
func (a *Agent) allowCache(sight *Sight, permit uint64, s Slot) bool {
	out := map[uint32]bool{}
	for held, l := range a.elector.leases {
		if held.Group == s.Group {
			out[CacheOf(l.permit)] = true
		}
	}
	for id := range sight.CachesDown {
		if s.Group == AllCaches || inZone(s.Group, FirstCacheZone, sight.Caches[id]) {
			out[id] = true
		}
	}
	delete(out, CacheOf(permit))
	most := a.boundCaches(sight, s.Group)
	return int(s.Number) < most && len(out) < most
}

// boundCaches is how many of a group of slot caches may be out.
func (a *Agent) boundCaches(sight *Sight, group uint16) int {
	switch {
	case group == Releases:
		return 1
	case group == AllCaches:
		return a.Caches.Of(len(sight.Caches))
	case a.OfZone == (Bound{}):
		return MostPlaces
	}
	n := 0
	for _, zone := range sight.Caches {
		if inZone(group, FirstCacheZone, zone) {
			n++
		}
	}
	return a.OfZone.Of(n)
}
