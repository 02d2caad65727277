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
