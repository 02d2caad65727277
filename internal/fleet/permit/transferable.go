package permit

import (
	"math/rand/v2"
	"time"
)

// Permits of slot caches and of releases are transferable: they belong to no router. One router requests such a permit, and
// when that router is gone another one can go on renewing it with what it knows of the permit. Once a transferable permit has
// been held, its slots are never given back: any router that has heard that a slot cache is out of service believes so for as
// long as the lease lasts, and the slots must stay taken for longer than any router believes it.

// NewPermit returns a new permit number for a slot cache or a release.
func (a *Agent) NewPermit(id uint32) uint64 {
	return a.Random()<<48 | uint64(id)<<16 | uint64(a.Self)
}

// CacheID returns the ID of the slot cache that a permit of the slot caches' groups is for.
func CacheID(permit uint64) uint32 { return uint32(permit >> 16) }

// CacheGroups returns the groups that limit a slot cache of a zone; a negative zone is unknown.
func (a *Agent) CacheGroups(zone int) []uint16 {
	groups := []uint16{GroupAllCaches}
	if group, ok := zoneGroup(GroupFirstCacheZone, zone); ok && a.MaxCachesPerZone != (Bound{}) {
		groups = append(groups, group)
	}
	return groups
}

// AcquireTransferable requests a transferable permit with a slot in each of the groups, and renews it until Abandon is called.
func (a *Agent) AcquireTransferable(now time.Duration, permit uint64, groups []uint16) {
	a.startTransferable(now, permit, 0, false,
		func(held map[Slot]uint64) []Slot { return a.chooseDistinctSlots(permit, groups, held) })
}

// Adopt goes on with a transferable permit that another router, or an earlier incarnation of this one, has requested. Its
// requests get sequence numbers above seq, so that they are newer than those of the earlier owner.
func (a *Agent) Adopt(now time.Duration, permit uint64, slots []Slot, seq uint32) {
	a.startTransferable(now, permit, seq, true, func(map[Slot]uint64) []Slot { return slots })
}

// startTransferable creates the acquirer of a transferable permit and sends its first requests.
func (a *Agent) startTransferable(now time.Duration, permit uint64, seq uint32, neverReleases bool,
	choose func(map[Slot]uint64) []Slot) {
	acquirer := NewAcquirer(permit, len(a.voters), MaxLease)
	acquirer.seq, acquirer.Choose, acquirer.NeverReleases = seq, choose, neverReleases
	acquirer.Random = rand.New(rand.NewPCG(a.Random(), permit)).Float64
	if a.transferable == nil {
		a.transferable = map[uint64]*Acquirer{}
	}
	a.transferable[permit] = acquirer
	acquirer.Acquire(now)
	a.flush()
}

// Abandon stops requesting and renewing a transferable permit. The lease expires by itself.
func (a *Agent) Abandon(permit uint64) { delete(a.transferable, permit) }

// TransferableStatus returns the phase of a transferable permit, how long it lasts without renewal, the slots that it holds or
// requests, and the reason of the latest refusal while it is requested.
func (a *Agent) TransferableStatus(now time.Duration, permit uint64) (phase Phase, remaining time.Duration, slots []Slot,
	reason string) {
	acquirer := a.transferable[permit]
	if acquirer == nil {
		return Idle, 0, nil, ""
	}
	switch phase = acquirer.Phase(now); phase {
	case Holding:
		remaining = acquirer.HeldUntil() - now
	case Requesting:
		reason = refusalReason(acquirer)
	}
	return phase, remaining, acquirer.Slots(), reason
}

// mayGrantCache reports whether a new permit of a slot cache is within the limit of the slot's group. Slot caches that are down
// count against the limit, whatever the reason.
func (a *Agent) mayGrantCache(fleet *FleetState, permit uint64, s Slot) bool {
	unavailable := map[uint32]bool{}
	for held, l := range a.voter.leases {
		if held.Group == s.Group {
			unavailable[CacheID(l.permit)] = true
		}
	}
	for id := range fleet.DownCaches {
		if s.Group == GroupAllCaches || isZoneGroup(s.Group, GroupFirstCacheZone, fleet.CacheZones[id]) {
			unavailable[id] = true
		}
	}
	delete(unavailable, CacheID(permit))
	limit := a.cacheGroupLimit(fleet, s.Group)
	return int(s.Number) < limit && len(unavailable) < limit
}

// cacheGroupLimit returns how many members of a group of slot caches may be out of service, or 1 for the group of releases.
func (a *Agent) cacheGroupLimit(fleet *FleetState, group uint16) int {
	switch {
	case group == GroupReleases:
		return 1
	case group == GroupAllCaches:
		return a.MaxCaches.Limit(len(fleet.CacheZones))
	case a.MaxCachesPerZone == (Bound{}):
		return MaxSlots
	}
	n := 0
	for _, zone := range fleet.CacheZones {
		if isZoneGroup(group, GroupFirstCacheZone, zone) {
			n++
		}
	}
	return a.MaxCachesPerZone.Limit(n)
}
