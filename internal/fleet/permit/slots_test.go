package permit

import (
	"bytes"
	"testing"
	"time"
)

// Each slot of each group decodes to what was encoded. Slots with numbers up to 255 are encoded as in earlier versions, which
// knew no larger numbers.
func TestSlotEncoding(t *testing.T) {
	groups := []uint16{GroupAllRouters, GroupFirstRouterZone, GroupFirstRouterZone + MaxZones - 1, GroupAllCaches, GroupFirstCacheZone,
		GroupFirstCacheZone + MaxZones - 1, GroupReleases}
	for _, group := range groups {
		for number := range uint16(MaxSlots) {
			s := Slot{Group: group, Number: number}
			b := AppendSlot(nil, s)
			if got := ReadSlot(b); got != s || len(b) != SlotBytes {
				t.Fatalf("%+v is encoded as %x, which decodes to %+v", s, b, got)
			}
			if earlier := []byte{byte(group >> 8), byte(group), byte(number)}; number <= 255 && !bytes.Equal(b, earlier) {
				t.Fatalf("%+v is encoded as %x, want %x", s, b, earlier)
			}
		}
	}
}

// Each zone has a group of its own, up to the last one, which the further zones share. No group number has bits that an
// encoded slot uses for its number.
func TestZoneGroups(t *testing.T) {
	for _, first := range []uint16{GroupFirstRouterZone, GroupFirstCacheZone} {
		for zone, want := range map[int]uint16{0: first, 5: first + 5, MaxZones - 1: first + MaxZones - 1,
			MaxZones: first + MaxZones - 1, 1 << 20: first + MaxZones - 1} {
			if got, ok := zoneGroup(first, zone); got != want || !ok || !isZoneGroup(want, first, zone) || got&numberMask != 0 {
				t.Errorf("zone %d has group %x", zone, got)
			}
		}
		if _, ok := zoneGroup(first, -1); ok || isZoneGroup(first, first, -1) {
			t.Error("an unknown zone has a group")
		}
	}
}

// A bound allows as many members as it states, up to the number of slots that a group can have.
func TestBoundOf(t *testing.T) {
	for _, c := range []struct {
		bound Bound
		n     int
		want  int
	}{{Bound{Number: 1024}, 2000, 1024}, {Bound{Number: MaxSlots + 1}, 60000, MaxSlots}, {Bound{Fraction: 0.5}, 2048, 1024},
		{Bound{Fraction: 1}, 60000, MaxSlots}, {Bound{Fraction: 0.001}, 10, 1}, {Bound{Fraction: 1}, 3, 3}} {
		if got := c.bound.Limit(c.n); got != c.want {
			t.Errorf("limit of %+v for %d members is %d, want %d", c.bound, c.n, got, c.want)
		}
	}
}

// One router gets permits for 1,024 slot caches within seconds if the bound is 1,024, each in a slot of its own. It requests
// more than that, and the rest get none.
func TestManySlots(t *testing.T) {
	const bound, requested = 1024, 1100
	f := newTestFleet(5, Bound{Number: 1}, Bound{})
	for _, a := range f.agents {
		a.MaxCaches = Bound{Number: bound}
	}
	a := f.agents[1]
	var permits []uint64
	for i := range uint32(requested) {
		permits = append(permits, a.NewPermit(i))
		a.AcquireTransferable(f.now, permits[i], []uint16{GroupAllCaches})
	}
	f.run(5 * time.Second)
	holders := map[Slot]uint64{}
	held := 0
	for _, permit := range permits {
		if phase, _, slots, _ := a.TransferableStatus(f.now, permit); phase == Holding {
			held++
			holders[slots[0]] = permit
		}
	}
	if held != bound || len(holders) != bound {
		t.Errorf("%d permits hold %d slots, want %d", held, len(holders), bound)
	}
}

// 120 routers request permits at once and the bound is 100. Most of those 100 get one within a minute, and never more than
// 100 hold one.
func TestManyRouters(t *testing.T) {
	const routers, bound, minHolders = 120, 100, 90
	f := newTestFleet(routers, Bound{Number: bound}, Bound{})
	for _, a := range f.agents {
		a.Acquire(f.now)
	}
	maxHolders := f.run(time.Minute)
	if holding := len(f.holders()); holding < minHolders || maxHolders > bound {
		t.Errorf("%d routers hold a permit, %d at the most", holding, maxHolders)
	} else {
		t.Logf("%d routers hold a permit, %d at the most", holding, maxHolders)
	}
}
