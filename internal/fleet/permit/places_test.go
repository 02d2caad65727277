package permit

import (
	"bytes"
	"testing"
	"time"
)

// Each place of each group reads as it was written. Those with numbers up to 255 are written as by programs that knew no others.
func TestSlotBytes(t *testing.T) {
	groups := []uint16{WholeFleet, FirstZone, FirstZone + MostZones - 1, AllCaches, FirstCacheZone, FirstCacheZone + MostZones - 1, Releases}
	for _, group := range groups {
		for number := range uint16(MostPlaces) {
			s := Slot{Group: group, Number: number}
			b := AppendSlot(nil, s)
			if got := ReadSlot(b); got != s || len(b) != SlotBytes {
				t.Fatalf("%+v becomes %x, and that %+v", s, b, got)
			}
			if former := []byte{byte(group >> 8), byte(group), byte(number)}; number <= 255 && !bytes.Equal(b, former) {
				t.Fatalf("%+v becomes %x, formerly %x", s, b, former)
			}
		}
	}
}

// Each zone has a group of its own, up to the last; no zone's number is taken for a place's.
func TestZoneGroups(t *testing.T) {
	for _, first := range []uint16{FirstZone, FirstCacheZone} {
		for zone, want := range map[int]uint16{0: first, 5: first + 5, MostZones - 1: first + MostZones - 1, MostZones: first + MostZones - 1, 1 << 20: first + MostZones - 1} {
			if got, ok := zoneGroup(first, zone); got != want || !ok || !inZone(want, first, zone) || got&numberBits != 0 {
				t.Errorf("zone %d has group %x", zone, got)
			}
		}
		if _, ok := zoneGroup(first, -1); ok || inZone(first, first, -1) {
			t.Error("a zone that is not known has a group")
		}
	}
}

// A bound is what is stated, up to the places that there can be.
func TestBoundOf(t *testing.T) {
	for _, c := range []struct {
		bound Bound
		n     int
		want  int
	}{{Bound{Number: 1024}, 2000, 1024}, {Bound{Number: MostPlaces + 1}, 60000, MostPlaces}, {Bound{Part: 0.5}, 2048, 1024},
		{Bound{Part: 1}, 60000, MostPlaces}, {Bound{Part: 0.001}, 10, 1}, {Bound{Part: 1}, 3, 3}} {
		if got := c.bound.Of(c.n); got != c.want {
			t.Errorf("%+v of %d is %d, not %d", c.bound, c.n, got, c.want)
		}
	}
}

// One router has 1,024 slot caches out within seconds where the bound is that, each in a place of its own; of more it asks for
// none goes out.
func TestManyPlaces(t *testing.T) {
	const bound, asked = 1024, 1100
	r := newRing(5, Bound{Number: 1}, Bound{})
	for _, a := range r.agents {
		a.Caches = Bound{Number: bound}
	}
	a := r.agents[1]
	var permits []uint64
	for i := range uint32(asked) {
		permits = append(permits, a.NewPermit(i))
		a.Seek(r.now, permits[i], []uint16{AllCaches})
	}
	r.run(5 * time.Second)
	by := map[Slot]uint64{}
	held := 0
	for _, permit := range permits {
		if phase, _, slots, _ := a.Other(r.now, permit); phase == Holding {
			held++
			by[slots[0]] = permit
		}
	}
	if held != bound || len(by) != bound {
		t.Errorf("%d hold %d places of %d", held, len(by), bound)
	}
}

// Where 120 routers ask at once and 100 may be out, most of these are out within a minute, and never more.
func TestManyRoutersOut(t *testing.T) {
	const routers, bound, wanted = 120, 100, 90
	r := newRing(routers, Bound{Number: bound}, Bound{})
	for _, a := range r.agents {
		a.Want(r.now)
	}
	most := r.run(time.Minute)
	if out := len(r.holders()); out < wanted || most > bound {
		t.Errorf("%d are out, %d at the most", out, most)
	} else {
		t.Logf("%d are out, %d at the most", out, most)
	}
}
