package notes

import (
	"errors"
	"testing"
	"time"

	"hoptiller/internal/fleet/permit"
)

// 1,024 slot caches may be out at once, asked of several routers. All routers hear of each, nobody takes one over from a router
// that is there, and what they send each other stays bounded.
func TestManyNotes(t *testing.T) {
	const routers, caches, asked = 5, 1024, 3
	const within, over = 25 * time.Second, 8 * time.Second
	const mostSent = 1000 // datagrams of notes a second and router
	f := newFleet(routers, 1, permit.Bound{Number: caches}, caches)
	for i := range caches {
		must(t, f.ask(i%asked, uint32(100+i), time.Hour))
	}
	begun := f.now
	for !f.knowAll(caches) {
		if f.now-begun > within {
			t.Fatalf("after %v router 0 knows of %d", within, len(f.out(0)))
		}
		f.run(time.Second)
	}
	t.Logf("all are out after %v", f.now-begun)
	f.sent = 0
	if most := f.run(over); most != caches || !f.knowAll(caches) {
		t.Errorf("%d are out", most)
	}
	if each := float64(f.sent) / over.Seconds() / routers; each > mostSent {
		t.Errorf("%.0f datagrams a second and router", each)
	} else {
		t.Logf("%.0f datagrams a second and router", each)
	}
	for i, r := range f.routers {
		for _, n := range r.keeper.All(f.clock(r)) {
			if n.Epoch%oneMore != 0 {
				t.Fatalf("router %d has slot cache %d taken over by router %d", i, n.ID, n.Owner)
			}
		}
	}
}

// knowAll tells whether all routers believe that so many slot caches are out.
func (f *fleet) knowAll(n int) bool {
	for i := range f.routers {
		if len(f.out(i)) != n {
			return false
		}
	}
	return true
}

// A store keeps so many notes and no more, whoever tells them, and has room again when they have ended.
func TestMostNotes(t *testing.T) {
	f := newFleet(2, 1, permit.Bound{Number: 1}, 1)
	s := &f.routers[0].keeper.Store
	now := f.clock(f.routers[0])
	for i := range uint32(MostNotes + 10) {
		s.Say(now, Note{Key: Key{Cache, i}, Epoch: 1}, time.Second)
	}
	if n := len(s.All(now)); n != MostNotes {
		t.Errorf("%d are kept", n)
	}
	if err := f.ask(0, 1<<20, time.Hour); !errors.Is(err, ErrFull) {
		t.Errorf("one more: %v", err)
	}
	now += time.Second
	if s.forget(now); len(s.notes) > 0 || s.sum != 0 || s.Full(now) {
		t.Errorf("%d are left, their sum is %x", len(s.notes), s.sum)
	}
}

// takenOver are the notes of which some router says that another one than was asked keeps them.
func (f *fleet) takenOver() (all []Note) {
	for _, r := range f.routers {
		for _, n := range r.keeper.All(f.clock(r)) {
			if n.Epoch%oneMore != 0 {
				all = append(all, n)
			}
		}
	}
	return all
}

// No note is taken over from a router that is there while renewals come faster than one answer can tell them: asked of one router or of
// all, with datagrams lost, in fleets in which two routers seldom ask each other.
func TestRenewalsAreNotStarved(t *testing.T) {
	const caches, over = 1024, 20 * time.Second
	for _, c := range []struct {
		name           string
		routers, asked int
		loss           float64
	}{
		{"asked of one", 5, 1, 0},
		{"asked of all", 5, 5, 0},
		{"with datagrams lost", 5, 3, 0.05},
		{"among twenty", 20, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(c.routers, 1, permit.Bound{Number: caches}, caches)
			f.loss = c.loss
			for i := range caches {
				must(t, f.ask(i%c.asked, uint32(100+i), time.Hour))
			}
			f.run(over)
			if !f.knowAll(caches) {
				t.Errorf("not all are out after %v", over)
			}
			if taken := f.takenOver(); len(taken) > 0 {
				t.Errorf("%d notes are taken over, slot cache %d by router %d", len(taken), taken[0].ID, taken[0].Owner)
			}
		})
	}
}
